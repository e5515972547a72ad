"""Runs the statements that other instances relay through this one, an owner.

A relayed session uses one of the owner's connections for one statement or transaction.
All decisions about a request (which database runs it, which position it must show,
whether it is retried) stay with the instance that received it from its caller; the
owner only lends connections. A statement that was not sent to a database is refused as
not run. One that was sent and lost its answer ends the session, so that the other
instance applies its own rules for lost answers.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from twisted.internet.defer import CancelledError, Deferred

from beryltrack.connections.messages import PooledConnection, PoolRefused
from beryltrack.errors import (
    CANNOT_CONNECT_NOW,
    OBJECT_NOT_IN_PREREQUISITE_STATE,
    SqlError,
    make_refusal,
    make_rolled_back_error,
)
from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack.groups.task import GroupTask
from beryltrack.load.messages import Demand
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.load_reporter import LoadReporter, ReportSession
from beryltrack.relay.statuses import StatusSharing
from beryltrack.requests.outcomes import NOT_RUN_REFUSALS
from beryltrack.requests.protocol import RunLost, RunResult
from beryltrack.requests.shutdown import SHUTDOWN_TEXT, Shutdown
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

log = logging.getLogger(__name__)

REPLICA_BEHIND = SqlError(
    OBJECT_NOT_IN_PREREQUISITE_STATE, "the replica has just refused the position"
)
"""Error of a statement for a position that its replica lacked a moment ago."""

REFUSAL_MARGIN = 0.05
"""Seconds of an operation's time that are reserved for the delivery of a refusal: two
transits of 4 ms between availability zones and a late process. A refusal that arrives
too late counts as a lost answer, and the outcome of a write as unknown."""

TARGET_UNREACHABLE = make_refusal("this instance does not reach the database", 0.0)
"""Error of a statement for a database that this instance alone does not reach."""

NOT_OWNER_MESSAGE = "the group has other owners"
"""Text of the error by which this instance lends a group no connections."""


class Lender(NamedTuple):
    """The source of connections to one database.

    Parameters
    ----------
    pool : DatabaseAccess
        The connections.
    task : GroupTask
        Monitors the database's group.
    """

    pool: DatabaseAccess
    task: GroupTask


GetLender = Callable[[str, str], Lender | None]


class AgedProof(NamedTuple):
    """A proof of a primary's position, with its age instead of a local time.

    Parameters
    ----------
    position : LogPosition
        A position that includes everything acknowledged until `age` seconds ago.
    age : float
        Seconds since the position was requested from the primary.
    """

    position: LogPosition
    age: float


class RelayedUnit(Protocol):
    """A statement of another instance.

    `after` is the position that its database must show; None for any.
    """

    after: LogPosition | None

    @property
    def proves_leadership(self) -> bool:
        """True if a database that is no longer the primary refuses the statement."""


class RelayedSession(ReportSession, Protocol):
    """A session of another instance.

    `pinned` is the connection of its open transaction. `proven_at` is when the newest
    proof that it was sent had been requested, in seconds. `demand` belongs to its next
    operation; `is_counted` says whether another instance has counted that operation.
    """

    group: str
    demand: Demand
    is_counted: bool
    pinned: PooledConnection | None
    status: TransactionStatus
    proven_at: float

    def run_on(
        self, connection: PooledConnection, unit: RelayedUnit
    ) -> Deferred[RunResult]:
        """Run a statement; its rows are sent as they arrive."""

    def send_refusal(self, error: SqlError) -> None:
        """Send the error of a statement that was not run."""

    def send_error(self, error: SqlError) -> None:
        """Send the error of a statement; the transaction status follows."""

    def send_ready(self, status: TransactionStatus) -> None:
        """Send the end of an answer with the transaction status."""

    def send_not_owner(self) -> None:
        """Send that this instance lends no connections to the session's group."""

    def send_end(self, end: ResponseEnd, proven: AgedProof | None) -> None:
        """Send the end of an answer, with a proof unless `proven` is None."""

    def send_status(self, status: DatabaseStatus, proven: AgedProof | None) -> None:
        """Send the status of the session's database, with a proof if there is one."""

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Call back when the session ends."""

    def abort(self) -> None:
        """Close the session at once."""


class RelayHandler:
    """Lends an owner's connections to the sessions of other instances.

    Parameters
    ----------
    seconds : callable
        The clock of the pools' deadlines.
    get_lender : callable
        Returns the lender of connections to a group's database; None if this instance
        lends none.
    time_limit : float
        Seconds within which a statement must be done unless its own limit is shorter.
    reporter : LoadReporter
        Sends load reports to sessions.
    incarnation : int
        Number of this process, sent to sessions; zero if it does not read demands.
    lagging_pause : float
        Minimum seconds for which a lagging replica is sent no statement that needs a
        position it lacked; with zero it is asked again at once.
    is_owner : callable
        Returns whether this instance lends connections to a group's databases.
    shutdown : Shutdown, optional
        Decides which statements may still begin while this instance shuts down.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        get_lender: GetLender,
        time_limit: float,
        reporter: LoadReporter,
        incarnation: int,
        lagging_pause: float = 0.0,
        is_owner: Callable[[str], bool] = lambda group: False,
        shutdown: Shutdown | None = None,
    ):
        self._is_owner = is_owner
        self._shutdown = shutdown or Shutdown(seconds)
        self.incarnation = incarnation
        self._reporter = reporter
        self._seconds = seconds
        self._get_lender = get_lender
        self._time_limit = time_limit
        self._lagging_pause = lagging_pause
        self._statuses = StatusSharing(self._find_lender)
        self._lenders: dict[RelayedSession, Lender] = {}
        self._is_leaving = False

    def leave(self) -> None:
        """Refuse new operations from now on; open transactions may end."""
        self._is_leaving = True

    def refuse(self, session: RelayedSession) -> None:
        """Send the reason why this instance lends a session no connections."""
        if self._is_owner(session.group) and not self._is_leaving:
            session.send_refusal(TARGET_UNREACHABLE)
        else:
            session.send_not_owner()

    def serves(self, session: RelayedSession) -> bool:
        """Return whether this instance lends connections to a session's database."""
        return self._find_lender(session.group, session.database) is not None

    def handle(self, unit: RelayedUnit, session: RelayedSession) -> Deferred[None]:
        """Run one statement of a session."""
        return Deferred.fromCoroutine(self._handle(unit, session))

    def handle_status(self, session: RelayedSession) -> Deferred[None]:
        """Answer with a status that is requested after this call.

        A status uses a slot of its database and is billed, so all sessions that wait
        for the next one share it.
        """
        return Deferred.fromCoroutine(self._send_status(session))

    def drop_session(self, session: RelayedSession) -> None:
        """Roll back the open transaction of a session that has closed."""
        connection, session.pinned = session.pinned, None
        lender = self._lenders.pop(session, None)
        if connection is not None and lender is not None:
            lender.pool.release(connection, False)

    async def _handle(self, unit: RelayedUnit, session: RelayedSession) -> None:
        """Run one statement on the pinned connection or one of the pool."""
        connection, is_first = session.pinned, session.pinned is None
        if connection is None:
            if self._is_behind(unit, session):
                session.send_refusal(REPLICA_BEHIND)
                return
            connection = await self._lend(session)
            if connection is None:
                return
        pool, task = self._lenders[session]
        if not self._shutdown.may_start(pool, self._time_limit, not is_first):
            self._refuse_late(session, connection, is_first)
            return
        session.set_close_callback(connection.close)
        sent_at = task.get_time()
        result = await session.run_on(connection, unit)
        session.set_close_callback(None)
        if isinstance(result, RunLost):
            self._finish_lost(session, connection, result)
            return
        _observe_end(task, session.database, unit, result, sent_at, is_first)
        if is_first and _is_lagging(unit, result) and not connection.via:
            task.observe_lagging(session.database, unit.after)
        self._reporter.report_load(session, pool)
        session.send_end(result, _get_new_proof(session, task))
        session.pinned = connection
        if result.status is TransactionStatus.IDLE:
            is_refused = result.error and result.error.sqlstate in NOT_RUN_REFUSALS
            self._release(session, connection, True, not (is_first and is_refused))

    def _is_behind(self, unit: RelayedUnit, session: RelayedSession) -> bool:
        """Return whether a replica has just refused a statement's position.

        All instances' reads pass through a few owners, so one refusal serves them all.
        """
        lender = self._find_lender(session.group, session.database)
        if lender is None or unit.after is None:
            return False
        return lender.task.is_presumed_behind(
            session.database, unit.after, self._lagging_pause
        )

    def _find_lender(self, group: str, database: str) -> Lender | None:
        """Return the lender of a database; None once this instance leaves."""
        return None if self._is_leaving else self._get_lender(group, database)

    async def _lend(self, session: RelayedSession) -> PooledConnection | None:
        """Return a connection for a session; None if it was refused or has closed."""
        lender = self._find_lender(session.group, session.database)
        if lender is None:
            self.refuse(session)
            return None
        # A refusal at the last moment must arrive before the other instance times out.
        time_left = max(0.0, session.demand.time_left - REFUSAL_MARGIN)
        limit = min(self._time_limit, time_left)
        deadline = self._seconds() + limit
        acquiring = lender.pool.lend(deadline, session.demand, session.is_counted)
        session.set_close_callback(acquiring.cancel)
        try:
            connection = await acquiring
        except PoolRefused as refused:
            self._reporter.report_load(session, lender.pool)
            session.send_refusal(_make_error(refused))
            return None
        except CancelledError:
            log.info(
                "relay: a session to %s closed while it waited for a connection; "
                "nothing was run.",
                session.database,
            )
            return None
        finally:
            session.set_close_callback(None)
        self._lenders[session] = lender
        return connection

    def _release(
        self,
        session: RelayedSession,
        connection: PooledConnection,
        reusable: bool,
        has_run: bool = True,
    ) -> None:
        """Return a connection to its pool after a statement or a transaction."""
        session.pinned = None
        lender = self._lenders.pop(session, None)
        if lender is not None:
            lender.pool.release(connection, reusable, has_run)

    def _refuse_late(
        self, session: RelayedSession, connection: PooledConnection, is_first: bool
    ) -> None:
        """Refuse a statement that would not be answered before the shutdown ends."""
        if is_first:
            self._release(session, connection, True, False)
            self.refuse(session)
        else:
            self._release(session, connection, False)
            session.send_error(make_rolled_back_error(SHUTDOWN_TEXT))
            session.send_ready(TransactionStatus.IDLE)

    def _finish_lost(
        self, session: RelayedSession, connection: PooledConnection, lost: RunLost
    ) -> None:
        """End a statement whose connection was lost."""
        is_first = session.pinned is None
        has_run = lost.is_sent or not is_first
        self._release(session, connection, False, has_run)
        if has_run:
            session.abort()
        else:
            session.send_refusal(make_refusal(lost.reason, 0.0))

    async def _send_status(self, session: RelayedSession) -> None:
        """Wait for the next status of a session's database, and send it."""
        shared = await self._statuses.wait(session.group, session.database)
        if shared is None:
            self.refuse(session)
        elif isinstance(shared.answer, SqlError):
            session.send_refusal(shared.answer)
        else:
            session.send_status(shared.answer, _get_new_proof(session, shared.task))


def _observe_end(
    task: GroupTask,
    database: str,
    unit: RelayedUnit,
    end: ResponseEnd,
    sent_at: float,
    is_first: bool,
) -> None:
    """Record the position of an answer, and the lead that it proves.

    Inside a transaction the position may date from the transaction's start.
    """
    if end.position is None:
        return
    shown_at = sent_at if is_first and end.error is None else None
    task.observe_position(database, end.position, shown_at)
    if end.error is None and unit.proves_leadership:
        task.observe_leadership(database, end.position, sent_at)


def _is_lagging(unit: RelayedUnit, end: ResponseEnd) -> bool:
    """Return whether a database did not show the position that a statement needs."""
    is_refused = end.error is not None and end.error.sqlstate == CANNOT_CONNECT_NOW
    return is_refused and unit.after is not None


def _get_new_proof(session: RelayedSession, task: GroupTask) -> AgedProof | None:
    """Return the newest proof; None if the session was sent it before.

    An owner gets many proofs from the statements that it relays. Without them each
    instance would request a position from each primary every second: with 74 instances
    that made 59,700 status requests beside 23,700 statements.
    """
    sample = task.get_proof()
    if sample is None or sample.sent_at <= session.proven_at:
        return None
    session.proven_at = sample.sent_at
    return AgedProof(sample.position, max(0.0, task.get_time() - sample.sent_at))


def _make_error(refused: PoolRefused) -> SqlError:
    """Return the error for a statement that got no connection."""
    refusal = refused.refusal
    return make_refusal(refusal.reason.value, refusal.retry_after, refusal.sqlstate)
