"""Opens connections to databases, directly or through another instance.

An instance is often cut off from a database alone, while others reach it. An owner to
which no packet comes back from a database asks the others for a way, one after the
other, and tries in between whether it reaches the database itself again. So a partition
between some instances and a primary costs those a hop, and the group no change of
primary. A database that is slow or full is reached: it would only get more to do.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import Deferred, fail

from beryltrack.connections.messages import ConnectRefused, TargetUnreachable
from beryltrack.load.outlook import ReportedOutlook
from beryltrack.relay.directory import DIRECT_RETRY_INTERVAL, RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.relayed_connections import RelayedConnection
from beryltrack.settings.incarnations import get_identifier
from beryltrack.settings.messages import DatabaseSettings, Endpoint

log = logging.getLogger(__name__)

Open = Callable[[Endpoint, str, str, float, str], Deferred[RelayedConnection]]


class OpenPolicy(NamedTuple):
    """Times of opening, seconds, and which ways are taken.

    Parameters
    ----------
    relay_timeout : float
        Until another instance counts as out of reach.
    probe_timeout : float
        Until a database counts as still out of reach.
    uses_indirect_paths : bool
        False if a database that is out of reach is not reached through others.
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
        Says through which instance a connection goes.
    open_at : callable
        Opens a connection at an address, for a group's database, within a time, for
        an account.
    is_used : callable
        Says whether a group's database is still used.
    limits : OpenLimits
        Times.
    outlook : ReportedOutlook
        Takes what other instances tell of their load.
    """

    def __init__(
        self,
        reactor,
        directory: RelayDirectory,
        open_at: Open,
        is_used: Callable[[str, str], bool],
        limits: OpenPolicy,
        outlook: ReportedOutlook,
    ):
        self._outlook = outlook
        self._reactor = reactor
        self._directory = directory
        self._open_at = open_at
        self._is_used = is_used
        self._limits = limits

    def open(
        self, group: str, database: DatabaseSettings, timeout: float
    ) -> Deferred[RelayedConnection]:
        """Open a connection; `timeout` holds for one straight to the database."""
        return Deferred.fromCoroutine(self._open(group, database, timeout))

    def open_directly(
        self, group: str, database: DatabaseSettings, timeout: float, account: str = ""
    ) -> Deferred[RelayedConnection]:
        """Open a connection of an account to the database itself."""
        return Deferred.fromCoroutine(
            self._open_directly(group, database, timeout, account)
        )

    def open_session(
        self, group: str, database: DatabaseSettings, owner: str
    ) -> Deferred[RelayedConnection]:
        """Open a session to the database at another instance."""
        peer = self._directory.get_peer(owner)
        if peer is None:
            return fail(ConnectionError(f"{owner} is no instance any more"))
        return Deferred.fromCoroutine(self._open_through(peer, group, database))

    def observe_silence(self, connection: RelayedConnection) -> None:
        """Take another way next: nothing comes over this connection."""
        if connection.way:
            self._directory.avoid(connection.way)

    async def _open(
        self, group: str, database: DatabaseSettings, timeout: float
    ) -> RelayedConnection:
        """Try one way after the other, the direct one once."""
        reason: Exception | None = None
        while True:
            owner = self._choose(group, database)
            if owner is None and reason is not None:
                raise reason
            try:
                if owner is None:
                    return await self._open_directly(group, database, timeout)
                return await self._open_through(owner, group, database)
            except (ConnectRefused, OSError) as error:
                if not self._directory.is_unreachable(database.name):
                    raise
                reason = error

    def _choose(self, group: str, database: DatabaseSettings) -> Peer | None:
        limit = database.max_connections
        return self._directory.choose_via(group, database.name, limit)

    async def _open_directly(
        self, group: str, database: DatabaseSettings, timeout: float, account: str = ""
    ) -> RelayedConnection:
        """Open a connection to the database itself."""
        # A database knows its identifier alone; an owner is also told the incarnation.
        identifier = get_identifier(database.name)
        opening = self._open_at(database.endpoint, group, identifier, timeout, account)
        try:
            connection = await opening
        except TargetUnreachable:
            self._block(group, database)
            raise
        except (ConnectRefused, OSError):
            self._end_detour(database)
            raise
        self._end_detour(database)
        return connection

    async def _open_through(
        self, owner: Peer, group: str, database: DatabaseSettings
    ) -> RelayedConnection:
        """Open a session to another instance, and pass over one that gives none."""
        directory, name = self._directory, database.name
        opening = self._open_at(
            owner.relay_endpoint, group, name, self._limits.relay_timeout, ""
        )
        try:
            connection = await opening
        except ConnectRefused as refused:
            # One that is left for a database that it does not reach would be missed for
            # all others: where a primary was lost, all owners of its group were left.
            if refused.is_useless or directory.is_unreachable(name):
                directory.note_useless(name, owner.name)
            else:
                directory.note_refusal(owner.name)
            raise
        except OSError:
            directory.avoid(owner.name)
            raise
        connection.way = owner.name
        self._outlook.observe_owner(owner.name, connection.incarnation)
        connection.on_report = lambda told, sent_at: self._outlook.observe(
            owner.name, name, told, sent_at
        )
        connection.on_useless = lambda has_left: (
            directory.note_refusal(owner.name)
            if has_left
            else directory.note_useless(name, owner.name)
        )
        return connection

    def _block(self, group: str, database: DatabaseSettings) -> None:
        """Reach a database through others until it is reached directly again."""
        if not self._limits.uses_indirect_paths:
            return
        if self._directory.mark_unreachable(database.name):
            log.warning("relay: %s is reached through others.", database.name)
            self._probe_later(group, database)

    def _end_detour(self, database: DatabaseSettings) -> None:
        """Reach a database directly from now on."""
        if self._directory.is_unreachable(database.name):
            log.info("relay: %s is reached directly again.", database.name)
            self._directory.mark_reachable(database.name)

    def _probe_later(self, group: str, database: DatabaseSettings) -> None:
        """Try in a while whether a database can be reached directly again."""
        self._reactor.callLater(DIRECT_RETRY_INTERVAL, self._probe, group, database)

    def _probe(self, group: str, database: DatabaseSettings) -> None:
        """Try whether a database can be reached directly again."""
        if not self._directory.is_unreachable(database.name):
            return
        if not self._is_used(group, database.name):
            self._directory.mark_reachable(database.name)
            return
        opening = Deferred.fromCoroutine(
            self._open_directly(group, database, self._limits.probe_timeout)
        )
        opening.addCallbacks(
            lambda connection: connection.end_session(),
            lambda failure: self._probe_later(group, database),
        )
