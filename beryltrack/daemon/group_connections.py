"""Shares the databases' connections between the pools of all instances.

Follows the members of the fleet and derives which groups this instance owns, how many
connections each pool may open, and which sessions through other owners are retired.
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
        Knows the owners of each group.
    groups : GroupTable
        The groups.
    policies : NodePolicies
        The policies of the pools.
    has_answered : callable
        Returns whether another instance has answered this one since a time.
    """

    def __init__(
        self,
        name: str,
        directory: RelayDirectory,
        groups: GroupTable,
        policies: NodePolicies,
        has_answered: HasAnswered = never_answered,
    ):
        self._has_answered = has_answered
        self._name = name
        self._directory = directory
        self._groups = groups
        self._policies = policies

    @property
    def has_members(self) -> bool:
        """True once the members of the fleet are known."""
        return self._directory.has_members

    @property
    def pools(self) -> list[DatabaseAccess]:
        """The pools of all databases."""
        runtimes = self._groups.runtimes
        return [pool for runtime in runtimes for pool in runtime.pools.values()]

    def set_members(self, peers: tuple[Peer, ...]) -> None:
        """Set the members of the fleet."""
        self._directory.set_peers(peers)
        for runtime in self._groups.runtimes:
            self._set_candidates(runtime)

    def start_group(self, runtime: GroupRuntime) -> None:
        """Set the failover candidates of a group and start to watch it."""
        if self.has_members:
            self._set_candidates(runtime)
        else:
            # In a fleet that starts each instance would rank itself first.
            runtime.task.set_instances((self._name,), False)
        runtime.ensure_started()

    def set_accounts(self, has_accounts: bool) -> None:
        """Set whether connections belong to accounts."""
        limits = [get_max_connections(each.settings) for each in self._groups.runtimes]
        is_known = has_accounts and limits
        has_changed = self._directory.set_accounts(min(limits) if is_known else None)
        if has_changed and self.has_members:
            for runtime in self._groups.runtimes:
                self._set_candidates(runtime)

    def apply_shares(self) -> None:
        """Give each pool its share of the database's connections."""
        policies = self._policies
        pools = (
            policies.account_pools if self._directory.has_accounts else policies.pools
        )
        for runtime in self._groups.runtimes:
            limit = get_max_connections(runtime.settings)
            placement = self._directory.get_placement(runtime.settings.name, limit)
            share = placement.get_share(self._name)
            is_owner = self._is_owner(runtime)
            self._set_gate_capacity(runtime, share)
            for pool in runtime.pools.values():
                pool.direct.set_policy(pools)
                # The share stays while a database is unreachable: if no other instance
                # reaches it either, an attempt fails within 0.1 s. Without a share
                # requests waited 0.25 s for one, 320 in the queues of a dozen instances
                # in 5 s.
                pool.set_limit(share if is_owner else 0)
                pool.retire_stale()

    def _set_gate_capacity(self, runtime: GroupRuntime, connections: int) -> None:
        """Set this instance's share of the statement slots of a group's databases.

        If all instances own the group nothing is relayed, and only the number of
        connections limits the statements: the pools then have no gate.
        """
        limit = get_max_connections(runtime.settings)
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
        """Return the lender of a database's connections, None if not an owner."""
        runtime = self._groups.get(group)
        pool = runtime.pools.get(database) if runtime is not None else None
        if pool is None or not self._is_owner(runtime):
            return None
        is_unreachable = self._directory.is_unreachable(database)
        if is_unreachable and not self._directory.has_accounts:
            # Another owner that connects directly serves as well.
            return None
        runtime.ensure_started()
        return Lender(pool, runtime.task)

    def abort_overdue(self, connection: RelayedConnection) -> None:
        """Close an overdue connection; avoid the owner it goes through if silent."""
        owner = close_overdue(connection, self.pools, self._has_answered)
        if owner:
            self._directory.avoid(owner)

    def is_silent(self, connection: RelayedConnection) -> bool:
        """Return whether the other end of a connection no longer answers."""
        return is_silent(connection, self.pools, self._has_answered)

    def _is_owner(self, runtime: GroupRuntime) -> bool:
        """Return whether this instance opens connections to a group's databases."""
        limit = get_max_connections(runtime.settings)
        return self._directory.is_owner(runtime.settings.name, limit)

    def _set_candidates(self, runtime: GroupRuntime) -> None:
        """Set a group's failover candidates, and retire unusable connections."""
        limit = get_max_connections(runtime.settings)
        name = runtime.settings.name
        names = self._directory.get_candidates(name, limit)
        is_owner = self._directory.is_owner(name, limit)
        runtime.task.set_instances(names, is_owner)
        vias = ("", *names) if is_owner else names
        for database, pool in runtime.pools.items():
            pool.retain_sessions(names)
            pool.retire(self._make_staleness_check(database, is_owner))
        runtime.task.set_allowed_vias(vias)

    def _make_staleness_check(
        self, database: str, is_owner: bool
    ) -> Callable[[RelayedConnection], bool]:
        """Return a predicate for connections to a database that are to be retired."""
        return lambda _: not is_owner or self._directory.is_unreachable(database)


def get_max_connections(group: GroupSettings) -> int:
    """Return the connections that all instances may open to a database of a group."""
    return min(item.max_connections for item in group.databases)
