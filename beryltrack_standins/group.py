"""Asynchronous replication between the databases of a stand-in group."""

from collections.abc import Sequence

from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import LoopingCall

from beryltrack.groups.messages import PRIMARY
from beryltrack_standins.database.database import Database

HEARTBEAT_INTERVAL = 0.02
"""Seconds between two rounds of replication without commits."""

_FIRST_TERM = 1
_FIRST_CANDIDATE = "first"


class ReplicationGroup:
    """Replicates asynchronously from the reachable primary of the highest term.

    Replicas pull its log a short time after each commit, and at each heartbeat.

    Parameters
    ----------
    clock : IReactorTime
        Source of time and delayed calls.
    databases : sequence of Database
        The members.
    receive_delay : float
        Seconds from a commit to its receipt by the replicas.
    """

    def __init__(
        self, clock: IReactorTime, databases: Sequence[Database], receive_delay: float
    ):
        self.databases = databases
        self._clock = clock
        self._receive_delay = receive_delay
        self._heartbeat = LoopingCall(self.replicate)
        self._heartbeat.clock = clock
        self._pending: IDelayedCall | None = None

    def start(self) -> None:
        """Make the first database the primary of the first term, and replicate."""
        for database in self.databases:
            database.grant(_FIRST_TERM, _FIRST_CANDIDATE, 0.0)
        self.databases[0].promote(_FIRST_TERM, _FIRST_CANDIDATE)
        for database in self.databases:
            database.subscribe(self._schedule)
        self.replicate()
        self._heartbeat.start(HEARTBEAT_INTERVAL)

    def stop(self) -> None:
        """Stop replication."""
        self._heartbeat.stop()
        if self._pending is not None and self._pending.active():
            self._pending.cancel()

    def replicate(self) -> None:
        """Have each reachable database pull from the reachable primary."""
        reachable = [database for database in self.databases if database.reachable]
        primaries = [database for database in reachable if _is_primary(database)]
        if not primaries:
            return
        primary = max(primaries, key=lambda database: database.log.term)
        for database in reachable:
            if database is not primary:
                database.pull(primary.log)

    def _schedule(self) -> None:
        """Schedule replication after the delay, unless it is scheduled."""
        if self._pending is None:
            self._pending = self._clock.callLater(
                self._receive_delay, self._replicate_scheduled
            )

    def _replicate_scheduled(self) -> None:
        """Replicate after a commit."""
        self._pending = None
        self.replicate()


def _is_primary(database: Database) -> bool:
    """Return whether a database considers itself the primary."""
    return database.log.role == PRIMARY
