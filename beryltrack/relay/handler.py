"""Runs the statements that other instances send through this one, an owner.

A relayed session takes one of the owner's connections for a statement or for a
transaction, and gives it back after. Everything that is decided about a request,
which database runs it, what it must show, whether it is repeated, stays with the
instance that took it from its caller; the owner lends connections and no more. What
was not sent to a database is refused as such. What was sent and has lost its answer
ends the session, so that the other side judges it by its own rules for that.
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
)
from beryltrack.groups.messages import DatabaseStatus, LogPosition
from beryltrack.groups.task import GroupTask
from beryltrack.load.messages import Demand
from beryltrack.relay.access import DatabaseAccess
from beryltrack.relay.load_teller import LoadTeller, ToldSession
from beryltrack.relay.statuses import StatusSharing
from beryltrack.requests.outcomes import NOT_RUN_REFUSALS
from beryltrack.requests.protocol import RunLost, RunResult
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

log = logging.getLogger(__name__)

BEHIND = SqlError(
    OBJECT_NOT_IN_PREREQUISITE_STATE, "the replica has just refused the position"
)
"""Of a statement that asks for a position which its replica lacked a moment ago."""
ANSWER_TIME = 0.05
"""Seconds of an operation's time that are left for a refusal to arrive: two ways of
4 ms between availability zones, and a process that is late. One that comes too late is
taken for a lost answer, and a write for one whose outcome nobody knows."""

UNREACHED = make_refusal("this instance does not reach the database", 0.0)
"""Of a statement for a database that this instance alone does not reach."""

OTHER_OWNERS = "the group has other owners"


class Lender(NamedTuple):
    """What lends connections to one database.

    Parameters
    ----------
    pool : DatabaseAccess
        The connections.
    task : GroupTask
        Watches the database's group.
    """

    pool: DatabaseAccess
    task: GroupTask


GetLender = Callable[[str, str], Lender | None]


class Proven(NamedTuple):
    """What is proven of a group's primary.

    Parameters
    ----------
    position : LogPosition
        A position that shows all that was acknowledged until `age` seconds ago.
    age : float
        Seconds since the primary was asked for it.
    """

    position: LogPosition
    age: float


class RelayedUnit(Protocol):
    """A statement of another instance.

    `after` is what its database must show, None for nothing.
    """

    after: LogPosition | None

    @property
    def proves_lead(self) -> bool:
        """True if a database refuses it once it leads no more."""


class RelayedSession(ToldSession, Protocol):
    """A session of another instance.

    `pinned` is the connection of its transaction; `proven_at` when the newest proof
    that it was told of was asked for. `demand` is what the next operation asks for, and
    `is_counted` says whether another instance has counted it.
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
        """Run a statement; its rows go out as they come."""

    def send_refusal(self, error: SqlError) -> None:
        """Say that a statement was not run."""

    def send_not_owner(self) -> None:
        """Say that this instance gives no connections to the session's group."""

    def send_end(self, end: ResponseEnd, proven: Proven | None) -> None:
        """Send the end of an answer, and what is proven of the primary if it is new."""

    def send_status(self, status: DatabaseStatus, proven: Proven | None) -> None:
        """Send the status of the session's database."""

    def set_gone(self, callback: Callable[[], object] | None) -> None:
        """Call back when the session ends."""

    def abort(self) -> None:
        """End the session at once."""


class RelayHandler:
    """Lends an owner's connections to the sessions of other instances.

    Parameters
    ----------
    seconds : callable
        The clock of the pools' deadlines.
    get_lender : callable
        Returns who lends connections to a group's database; None if this instance
        lends none.
    time_limit : float
        Seconds within which a statement must be done, if its own time is not shorter.
    teller : LoadTeller
        Tells sessions of the load.
    incarnation : int
        Number of this process, which sessions are told; zero if it takes no demands.
    lagging_pause : float
        Least seconds for which a replica that was behind is asked for nothing that it
        lacked; zero: it is asked again at once.
    is_owner : callable
        Says whether this instance lends connections to a group's databases.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        get_lender: GetLender,
        time_limit: float,
        teller: LoadTeller,
        incarnation: int,
        lagging_pause: float = 0.0,
        is_owner: Callable[[str], bool] = lambda group: False,
    ):
        self._is_owner = is_owner
        self.incarnation = incarnation
        self._teller = teller
        self._seconds = seconds
        self._get_lender = get_lender
        self._time_limit = time_limit
        self._lagging_pause = lagging_pause
        self._statuses = StatusSharing(self._find_lender)
        self._lent: dict[RelayedSession, Lender] = {}
        self._is_leaving = False

    def leave(self) -> None:
        """Refuse what is new from now on; open transactions may end."""
        self._is_leaving = True

    def refuse(self, session: RelayedSession) -> None:
        """Say why this instance lends a session no connections."""
        if self._is_owner(session.group) and not self._is_leaving:
            session.send_refusal(UNREACHED)
        else:
            session.send_not_owner()

    def takes(self, session: RelayedSession) -> bool:
        """Return whether this instance lends connections to a session's database."""
        return self._find_lender(session.group, session.database) is not None

    def handle(self, unit: RelayedUnit, session: RelayedSession) -> Deferred[None]:
        """Run one statement of a session."""
        return Deferred.fromCoroutine(self._handle(unit, session))

    def handle_status(self, session: RelayedSession) -> Deferred[None]:
        """Answer with a status that was asked for after this call.

        A status takes a slot of its database and is paid for: all sessions that
        wait for the next one share it.
        """
        return Deferred.fromCoroutine(self._send_status(session))

    def forget(self, session: RelayedSession) -> None:
        """Roll back what a session that is gone has left open."""
        connection, session.pinned = session.pinned, None
        lender = self._lent.pop(session, None)
        if connection is not None and lender is not None:
            lender.pool.release(connection, False)

    async def _handle(self, unit: RelayedUnit, session: RelayedSession) -> None:
        """Run one statement on a connection of the pool."""
        connection, is_first = session.pinned, session.pinned is None
        if connection is None:
            if self._is_behind(unit, session):
                session.send_refusal(BEHIND)
                return
            connection = await self._lend(session)
            if connection is None:
                return
        session.set_gone(connection.close)
        pool, task = self._lent[session]
        sent_at = task.get_time()
        result = await session.run_on(connection, unit)
        session.set_gone(None)
        if isinstance(result, RunLost):
            self._finish_lost(session, connection, result)
            return
        _observe_end(task, session.database, unit, result, sent_at, is_first)
        if is_first and _is_lagging(unit, result) and not connection.way:
            task.observe_lagging(session.database, unit.after)
        self._teller.tell(session, pool)
        session.send_end(result, _get_news(session, task))
        session.pinned = connection
        if result.status is TransactionStatus.IDLE:
            is_refused = result.error and result.error.sqlstate in NOT_RUN_REFUSALS
            self._take_back(session, connection, True, not (is_first and is_refused))

    def _is_behind(self, unit: RelayedUnit, session: RelayedSession) -> bool:
        """Return whether a replica has just refused what a statement asks for.

        All instances' reads pass through a few owners: one refusal tells them for all.
        """
        lender = self._find_lender(session.group, session.database)
        if lender is None or unit.after is None:
            return False
        return lender.task.is_presumed_behind(
            session.database, unit.after, self._lagging_pause
        )

    def _find_lender(self, group: str, database: str) -> Lender | None:
        """Return what lends connections to a database, None once this one leaves."""
        return None if self._is_leaving else self._get_lender(group, database)

    async def _lend(self, session: RelayedSession) -> PooledConnection | None:
        """Return a connection for a session; None if it was refused or has gone."""
        lender = self._find_lender(session.group, session.database)
        if lender is None:
            self.refuse(session)
            return None
        # Whoever is refused at the last moment must hear so before it gives up.
        time_left = max(0.0, session.demand.time_left - ANSWER_TIME)
        limit = min(self._time_limit, time_left)
        deadline = self._seconds() + limit
        acquiring = lender.pool.lend(deadline, session.demand, session.is_counted)
        session.set_gone(acquiring.cancel)
        try:
            connection = await acquiring
        except PoolRefused as refused:
            self._teller.tell(session, lender.pool)
            session.send_refusal(_make_error(refused))
            return None
        except CancelledError:
            log.info("relay: A session to %s ended while it waited.", session.database)
            return None
        finally:
            session.set_gone(None)
        self._lent[session] = lender
        return connection

    def _take_back(
        self,
        session: RelayedSession,
        connection: PooledConnection,
        reusable: bool,
        has_run: bool = True,
    ) -> None:
        """Take a connection back after a statement or a transaction."""
        session.pinned = None
        lender = self._lent.pop(session, None)
        if lender is not None:
            lender.pool.release(connection, reusable, has_run)

    def _finish_lost(
        self, session: RelayedSession, connection: PooledConnection, lost: RunLost
    ) -> None:
        """End a statement whose connection was lost."""
        is_first = session.pinned is None
        has_run = lost.is_sent or not is_first
        self._take_back(session, connection, False, has_run)
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
            session.send_status(shared.answer, _get_news(session, shared.task))


def _observe_end(
    task: GroupTask,
    database: str,
    unit: RelayedUnit,
    end: ResponseEnd,
    sent_at: float,
    is_first: bool,
) -> None:
    """Take in what an answer tells of its database.

    Inside of a transaction it may tell of the time at which that began.
    """
    if end.position is None:
        return
    shown_at = sent_at if is_first and end.error is None else None
    task.observe_position(database, end.position, shown_at)
    if end.error is None and unit.proves_lead:
        task.observe_leadership(database, end.position, sent_at)


def _is_lagging(unit: RelayedUnit, end: ResponseEnd) -> bool:
    """Return whether a database did not show what a statement asked for."""
    is_refused = end.error is not None and end.error.sqlstate == CANNOT_CONNECT_NOW
    return is_refused and unit.after is not None


def _get_news(session: RelayedSession, task: GroupTask) -> Proven | None:
    """Return the newest proof, None if the session was told of it before.

    An owner has many proofs from the statements that pass. Without them each
    instance would ask each primary for a position of its own every second: on 74
    instances that made 59,700 status requests beside 23,700 statements.
    """
    sample = task.get_proof()
    if sample is None or sample.sent_at <= session.proven_at:
        return None
    session.proven_at = sample.sent_at
    return Proven(sample.position, max(0.0, task.get_time() - sample.sent_at))


def _make_error(refused: PoolRefused) -> SqlError:
    """Return the error of a statement that got no connection."""
    refusal = refused.refusal
    return make_refusal(refusal.reason.value, refusal.retry_after, refusal.sqlstate)
