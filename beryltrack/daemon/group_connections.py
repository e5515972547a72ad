"""How an instance's pools share the databases' connections with other instances.

It follows the members of the fleet: which groups this instance owns, how many
connections each pool may open, and which ways to a database are used no more.
"""

from collections.abc import Callable

from beryltrack.daemon.groups import GroupTable
from beryltrack.daemon.node_policies import NodePolicies
from beryltrack.load.limit import SharedCapacity
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.handler import Lender
from beryltrack.relay.owners import Peer
from beryltrack.relay.relayed_connections import (
    HasAnswered,
    RelayedConnection,
    close_overdue,
    is_silent,
    never_answered,
)
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import GroupSettings


class GroupConnections:
    """The connections of one instance to the databases of all groups.

    Parameters
    ----------
    name : str
        Name of this instance.
    directory : RelayDirectory
        Says who owns each group.
    groups : GroupTable
        The groups.
    policies : NodePolicies
        What steers the pools.
    has_answered : callable
        Says of an instance whether it has answered this one since a time.
    """

    def __init__(
        self,
        name: str,
        directory: RelayDirectory,
        groups: GroupTable,
        policies: NodePolicies,
        has_answered: HasAnswered = never_answered,
    ):
        self._was_heard = has_answered
        self._name = name
        self._directory = directory
        self._groups = groups
        self._policies = policies

    @property
    def has_members(self) -> bool:
        """True once it is known which instances there are."""
        return self._directory.has_members

    @property
    def pools(self) -> list[DatabaseAccess]:
        """The pools of all databases."""
        runtimes = self._groups.runtimes
        return [pool for runtime in runtimes for pool in runtime.pools.values()]

    def set_members(self, peers: tuple[Peer, ...]) -> None:
        """Take in which instances there are."""
        self._directory.set_peers(peers)
        for runtime in self._groups.runtimes:
            self._set_candidates(runtime)

    def start_group(self, runtime: GroupRuntime) -> None:
        """Watch a group from now on."""
        if self.has_members:
            self._set_candidates(runtime)
        else:
            # Of a fleet that starts each instance would take itself for the first.
            runtime.task.set_nodes((self._name,), False)
        runtime.ensure_started()

    def set_accounts(self, has_accounts: bool) -> None:
        """Take in whether connections belong to accounts."""
        limits = [get_most_connections(each.settings) for each in self._groups.runtimes]
        is_known = has_accounts and limits
        has_changed = self._directory.set_accounts(min(limits) if is_known else None)
        if has_changed and self.has_members:
            for runtime in self._groups.runtimes:
                self._set_candidates(runtime)

    def share(self) -> None:
        """Give each pool its part of the database's connections."""
        policies = self._policies
        pools = (
            policies.account_pools if self._directory.has_accounts else policies.pools
        )
        for runtime in self._groups.runtimes:
            limit = get_most_connections(runtime.settings)
            placement = self._directory.get_placement(runtime.settings.name, limit)
            share = placement.get_share(self._name)
            is_owner = self._is_owner(runtime)
            self._limit_statements(runtime, share)
            for pool in runtime.pools.values():
                pool.direct.set_policy(pools)
                # Also while a database is out of reach: where no other instance reaches
                # it either, an attempt tells so within 0.1 s. Without a share requests
                # waited 0.25 s for one, 320 in the lines of a dozen instances in 5 s.
                pool.set_limit(share if is_owner else 0)
                pool.retire_stale()

    def _limit_statements(self, runtime: GroupRuntime, connections: int) -> None:
        """Say how much of a group's databases is this instance's part.

        Where all instances own the group nothing is relayed, and as many statements run
        as there are connections.
        """
        limit = get_most_connections(runtime.settings)
        owners = self._directory.get_placement(runtime.settings.name, limit).owners
        load = self._policies.load
        is_gated = load.is_limited or load.is_ordered
        is_asked = is_gated and owners and self._is_owner(runtime)
        for item in runtime.settings.databases:
            capacity = (
                SharedCapacity(item.slots, len(owners), connections)
                if is_asked
                else None
            )
            runtime.pools[item.name].set_capacity(capacity)

    def owns(self, group: str) -> bool:
        """Return whether this instance opens connections to a group's databases."""
        runtime = self._groups.get(group)
        return runtime is not None and self._is_owner(runtime)

    def get_lender(self, group: str, database: str) -> Lender | None:
        """Return what lends connections to a database, if this instance owns it."""
        runtime = self._groups.get(group)
        pool = runtime.pools.get(database) if runtime is not None else None
        if pool is None or not self._is_owner(runtime):
            return None
        is_unreachable = self._directory.is_unreachable(database)
        if is_unreachable and not self._directory.has_accounts:
            # Another owner serves as well, and goes straight to the database.
            return None
        runtime.ensure_started()
        return Lender(pool, runtime.task)

    def give_up(self, connection: RelayedConnection) -> None:
        """Close a connection that does not answer, and leave its way if that is so."""
        owner = close_overdue(connection, self.pools, self._was_heard)
        if owner:
            self._directory.avoid(owner)

    def is_silent(self, connection: RelayedConnection) -> bool:
        """Return whether nothing comes any more from where a connection goes."""
        return is_silent(connection, self.pools, self._was_heard)

    def _is_owner(self, runtime: GroupRuntime) -> bool:
        """Return whether this instance opens connections to a group's databases."""
        limit = get_most_connections(runtime.settings)
        return self._directory.is_owner(runtime.settings.name, limit)

    def _set_candidates(self, runtime: GroupRuntime) -> None:
        """Tell a group who may change its primary, and use no way that is over."""
        limit = get_most_connections(runtime.settings)
        name = runtime.settings.name
        names = self._directory.get_candidates(name, limit)
        is_owner = self._directory.is_owner(name, limit)
        runtime.task.set_nodes(names, is_owner)
        ways = ("", *names) if is_owner else names
        for database, pool in runtime.pools.items():
            pool.retain_sessions(names)
            pool.retire(self._get_staleness(database, is_owner))
        runtime.task.set_allowed_vias(ways)

    def _get_staleness(
        self, database: str, is_owner: bool
    ) -> Callable[[RelayedConnection], bool]:
        """Return what says of a connection to a database whether it is used no more."""
        return lambda _: not is_owner or self._directory.is_unreachable(database)


def get_most_connections(group: GroupSettings) -> int:
    """Return the most connections to a database of a group, of all instances."""
    return min(item.max_connections for item in group.databases)
