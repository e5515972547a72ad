"""Opens connections to databases, directly or through another instance.

Often one instance is cut off from a database that others reach. An owner that gets no
packet back from a database connects through the other instances, one after the other,
and periodically probes the direct path. A partition between some instances and a
primary thus costs those one hop, and the group no change of primary. A database that is
slow or full counts as reachable: an indirect path would only add to its load.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, fail

from beryltrack.connections.messages import ConnectRefused, TargetUnreachable
from beryltrack.load.owner_loads import ReportedOwnerLoads
from beryltrack.relay.directory import DIRECT_RETRY_INTERVAL, RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.relayed_connections import RelayedConnection
from beryltrack.settings.incarnations import get_identifier
from beryltrack.settings.messages import DatabaseSettings, Endpoint

log = logging.getLogger(__name__)

OpenConnection = Callable[[Endpoint, str, str, float, str], Deferred[RelayedConnection]]


class OpenPolicy(NamedTuple):
    """Timeouts of opening connections, and which paths are used.

    Parameters
    ----------
    relay_timeout : float
        Seconds until another instance counts as unreachable.
    probe_timeout : float
        Seconds until a probed database counts as still unreachable.
    uses_indirect_paths : bool
        True if an unreachable database is reached through other instances.
    """

    relay_timeout: float
    probe_timeout: float
    uses_indirect_paths: bool = True


class TargetOpener:
    """Opens connections to databases.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    directory : RelayDirectory
        Chooses the instance through which a connection goes.
    open_at : callable
        Opens a connection to an endpoint for a group's database, within a timeout in
        seconds, for an account.
    is_used : callable
        Returns whether a group's database is still used.
    policy : OpenPolicy
        Timeouts, and which paths are used.
    owner_loads : ReportedOwnerLoads
        Receives the load reports of other instances.
    """

    def __init__(
        self,
        reactor,
        directory: RelayDirectory,
        open_at: OpenConnection,
        is_used: Callable[[str, str], bool],
        policy: OpenPolicy,
        owner_loads: ReportedOwnerLoads,
    ):
        self._owner_loads = owner_loads
        self._reactor = reactor
        self._directory = directory
        self._open_at = open_at
        self._is_used = is_used
        self._policy = policy

    def open(
        self, group: str, database: DatabaseSettings, timeout: float
    ) -> Deferred[RelayedConnection]:
        """Open a connection; `timeout` (seconds) applies to a direct one."""
        return Deferred.fromCoroutine(self._open(group, database, timeout))

    def open_directly(
        self, group: str, database: DatabaseSettings, timeout: float, account: str = ""
    ) -> Deferred[RelayedConnection]:
        """Open a direct connection to the database for an account."""
        return Deferred.fromCoroutine(
            self._open_directly(group, database, timeout, account)
        )

    def open_session(
        self, group: str, database: DatabaseSettings, owner: str
    ) -> Deferred[RelayedConnection]:
        """Open a session to the database at another instance.

        Fails with `ConnectionError` if that instance is no longer a member.
        """
        peer = self._directory.get_peer(owner)
        if peer is None:
            return fail(ConnectionError(f"{owner} is no longer a known instance"))
        return Deferred.fromCoroutine(self._open_session(peer, group, database))

    def observe_silence(self, connection: RelayedConnection) -> None:
        """Avoid the instance that relays a connection over which nothing arrives."""
        if connection.via:
            self._directory.avoid(connection.via)

    async def _open(
        self, group: str, database: DatabaseSettings, timeout: float
    ) -> RelayedConnection:
        """Try one path after the other, the direct one once."""
        last_error: Exception | None = None
        while True:
            owner = self._choose_via(group, database)
            if owner is None and last_error is not None:
                raise last_error
            try:
                if owner is None:
                    return await self._open_directly(group, database, timeout)
                return await self._open_session(owner, group, database)
            except (ConnectRefused, OSError) as error:
                if not self._directory.is_unreachable(database.name):
                    raise
                last_error = error

    def _choose_via(self, group: str, database: DatabaseSettings) -> Peer | None:
        limit = database.max_connections
        return self._directory.choose_via(group, database.name, limit)

    async def _open_directly(
        self, group: str, database: DatabaseSettings, timeout: float, account: str = ""
    ) -> RelayedConnection:
        """Open a direct connection and record whether the database was reachable."""
        # A database knows only its identifier; an owner is also sent the incarnation.
        identifier = get_identifier(database.name)
        opening = self._open_at(database.endpoint, group, identifier, timeout, account)
        try:
            connection = await opening
        except TargetUnreachable:
            self._mark_unreachable(group, database)
            raise
        except (ConnectRefused, OSError):
            self._mark_reachable(database)
            raise
        self._mark_reachable(database)
        return connection

    async def _open_session(
        self, owner: Peer, group: str, database: DatabaseSettings
    ) -> RelayedConnection:
        """Open a session at another instance; avoid it if it gives none."""
        directory, name = self._directory, database.name
        opening = self._open_at(
            owner.relay_endpoint, group, name, self._policy.relay_timeout, ""
        )
        try:
            connection = await opening
        except ConnectRefused as refused:
            # Avoiding an instance that does not reach one database would lose it for
            # all others: after the loss of a primary all owners of its group were
            # avoided.
            if refused.is_target_unreachable or directory.is_unreachable(name):
                directory.observe_target_unreachable(name, owner.name)
            else:
                directory.observe_refusal(owner.name)
            raise
        except OSError:
            directory.avoid(owner.name)
            raise
        connection.via = owner.name
        self._owner_loads.observe_owner(owner.name, connection.incarnation)
        connection.on_report = lambda report, sent_at: self._owner_loads.observe(
            owner.name, name, report, sent_at
        )
        connection.on_target_unreachable = lambda has_left: (
            directory.observe_refusal(owner.name)
            if has_left
            else directory.observe_target_unreachable(name, owner.name)
        )
        return connection

    def _mark_unreachable(self, group: str, database: DatabaseSettings) -> None:
        """Use indirect paths to a database until the direct one works again."""
        if not self._policy.uses_indirect_paths:
            return
        if self._directory.mark_unreachable(database.name):
            log.warning(
                "relay: no packet came back from %s; connecting through other "
                "instances until a direct probe succeeds.",
                database.name,
            )
            self._schedule_probe(group, database)

    def _mark_reachable(self, database: DatabaseSettings) -> None:
        """Use the direct path to a database from now on."""
        if self._directory.is_unreachable(database.name):
            log.info("relay: %s answers directly again.", database.name)
            self._directory.mark_reachable(database.name)

    def _schedule_probe(self, group: str, database: DatabaseSettings) -> None:
        """Schedule the next probe of the direct path to a database."""
        self._reactor.callLater(DIRECT_RETRY_INTERVAL, self._probe, group, database)

    def _probe(self, group: str, database: DatabaseSettings) -> None:
        """Probe the direct path to a database; repeat after a failure."""
        if not self._directory.is_unreachable(database.name):
            return
        if not self._is_used(group, database.name):
            self._directory.mark_reachable(database.name)
            return
        opening = Deferred.fromCoroutine(
            self._open_directly(group, database, self._policy.probe_timeout)
        )
        opening.addCallbacks(
            lambda connection: connection.end_session(),
            lambda failure: self._schedule_probe(group, database),
        )
