"""Interfaces between request flows and the wire protocol of callers and targets.

Routing, retries, confirmation and transactions do not depend on the wire protocol.
Each protocol implements `WireProtocol`; no other module of this package depends on its
messages. A unit is what is answered with one ready message: a simple query, a batch
of the extended query protocol, or a statement of the line protocol.
"""

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from returns.result import Result
from twisted.internet.defer import Deferred, TimeoutError
from twisted.python.failure import Failure

from beryltrack.connections.messages import PooledConnection, TargetLost
from beryltrack.errors import SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.requests.sink import AnswerSink
from beryltrack.routing.messages import StatementKind
from beryltrack.sessions.request_options import RequestOptions
from beryltrack.settings.messages import GroupSettings, RuleSettings
from beryltrack.wire.messages import ResponseEnd, ResponseSink, TransactionStatus

if TYPE_CHECKING:
    from beryltrack.requests.answers import RequestContext
    from beryltrack.requests.session import CallerSession, PinnedTransaction


class RequestPolicy(NamedTuple):
    """The time limits and the priority of a request.

    Parameters
    ----------
    request_timeout : float
        Seconds from a request's arrival within which it must reach a target and
        its commit must be confirmed.
    target_timeout : float
        Seconds that a request waits for a usable database, for example while a new
        primary takes over, before it is refused.
    run_timeout : float or None
        Seconds that a target may take to answer; None without a limit. After that the
        connection is closed, so that the run counts as lost.
    read_timeout : float or None
        `run_timeout` of a read that can be run again on another target.
    priority : int
        Zero is the most urgent.
    target_latency : float
        Seconds within which its caller wants it done.
    """

    request_timeout: float = 10.0
    target_timeout: float = 5.0
    run_timeout: float | None = None
    read_timeout: float | None = None
    priority: int = 0
    target_latency: float = math.inf


class RunLost(NamedTuple):
    """A run without a complete answer.

    Parameters
    ----------
    is_sent : bool
        True if the target may have run the unit.
    reason : str
        Cause of the loss.
    """

    is_sent: bool
    reason: str


RunResult = ResponseEnd | RunLost


def describe_loss(failure: Failure) -> RunLost:
    """Return the lost run for a failure; used as errback of a run."""
    failure.trap(TargetLost, TimeoutError)
    lost = failure.value
    if isinstance(lost, TargetLost):
        return RunLost(lost.sent, lost.reason)
    return RunLost(True, f"no answer in time: {lost}")


class UnitPlan(Protocol):
    """One analysed unit of a caller."""

    @property
    def kind(self) -> StatementKind:
        """Combined kind of its statements."""

    @property
    def options(self) -> RequestOptions:
        """Its request options, such as the accepted age of data."""

    @property
    def request_id(self) -> str:
        """Identifier that the caller gave it; empty without one."""

    @property
    def is_read(self) -> bool:
        """True if a replica may run it, outside of a transaction."""

    @property
    def is_at_most_once(self) -> bool:
        """True if it carries an identifier, changes data and must run at most once."""

    @property
    def policy(self) -> RequestPolicy | None:
        """Its time limits; None for those of the instance."""


class UnitCaller(ResponseSink, Protocol):
    """A caller, as the flows of its requests use it.

    `account` is its client account; empty where there are no accounts.
    """

    session: "CallerSession"
    status: TransactionStatus
    is_closed: bool
    account: str

    @property
    def database(self) -> str:
        """The database name that it connected with."""

    @property
    def in_transaction(self) -> bool:
        """True while it has an open transaction."""

    def send_error(self, error: SqlError) -> None:
        """Send an error."""

    def send_ready(self, status: TransactionStatus) -> None:
        """Report the end of the unit's answer, and the transaction status."""

    def set_close_callback(self, callback) -> None:
        """Call `callback` when the caller disconnects; at once if it has."""


class SessionCaller(UnitCaller, Protocol):
    """A caller of a protocol whose sessions run some statements by themselves."""

    def answer_local(self, is_done: bool) -> None:
        """Answer a statement that ran on the session alone."""


class UnitHandler(Protocol):
    """Runs the units of callers; `RequestTask` implements it."""

    def check_session(self, caller: UnitCaller) -> SqlError | None:
        """Open a caller's session."""

    def handle(self, unit: object, caller: UnitCaller) -> "Deferred[None]":
        """Run one unit; fires after `caller.send_ready`."""

    def drop_session(self, caller: UnitCaller) -> None:
        """Release all state of a caller that has disconnected."""


class UnitForwarder(Protocol):
    """Forwards units to other instances."""

    def should_forward(self, context: "RequestContext") -> bool:
        """Return whether another instance runs a unit."""

    async def run(self, context: "RequestContext") -> None:
        """Forward a unit to another instance, and answer the caller."""


class WireProtocol(Protocol):
    """Plans and runs the units of one wire protocol."""

    def check_session(self, caller: UnitCaller) -> SqlError | None:
        """Open a caller's session; return an error if its settings are wrong."""

    def plan(
        self,
        unit: object,
        caller: UnitCaller,
        group: GroupSettings,
        rules: tuple[RuleSettings, ...],
    ) -> Result[UnitPlan, SqlError]:
        """Return the plan of a unit, or the error that refuses it."""

    def get_request_id(self, unit: object) -> str:
        """Return the identifier of a unit without a plan; empty if unknown."""

    def describe_missing(self, caller: UnitCaller) -> SqlError:
        """Return the refusal for a caller whose database is not in the settings."""

    def answer_locally(self, plan: UnitPlan, caller: UnitCaller) -> bool:
        """Answer a unit that concerns only the proxy; return False for all others."""

    def answer_rolled_back(self, plan: UnitPlan, caller: UnitCaller) -> bool:
        """Answer the end of a transaction that was rolled back with its connection.

        Return False for a unit that needs the answer of a target.
        """

    async def run(
        self,
        connection: PooledConnection,
        plan: UnitPlan,
        sink: AnswerSink,
        caller: UnitCaller,
        after: LogPosition | None,
    ) -> RunResult:
        """Apply the caller's session to a connection, and run a unit on it.

        `after` is a position that the replica has reported. A target that can check
        it, and does not show it any more, refuses the unit.
        """

    async def run_pinned(
        self,
        connection: PooledConnection,
        plan: UnitPlan,
        sink: AnswerSink,
        caller: UnitCaller,
    ) -> RunResult:
        """Run a unit on the connection of the caller's open transaction."""

    def observe_answer(
        self, plan: UnitPlan, caller: UnitCaller, connection: PooledConnection
    ) -> None:
        """Record session changes of a unit that ran outside of a transaction."""

    def observe_pinned(self, plan: UnitPlan, caller: UnitCaller) -> None:
        """Record session changes of a unit that ran inside a transaction."""

    def proves_leadership(self, plan: UnitPlan) -> bool:
        """Return whether a database that ran a unit without error claims to lead.

        What that claim proves depends on the databases; see `LeadershipProof`.
        """

    def has_committed(
        self,
        plan: UnitPlan,
        pinned: "PinnedTransaction",
        caller: UnitCaller,
        end: ResponseEnd,
    ) -> bool:
        """Return whether the end of a transaction may have committed changes."""

    def encode_token(self, caller: UnitCaller) -> bytes:
        """Return the message that reports a session's new token; may be empty."""

    async def run_at_most_once(self, context: "RequestContext") -> None:
        """Run an at-most-once unit outside of a transaction."""

    async def insert_for_commit(
        self, context: "RequestContext", pinned: "PinnedTransaction"
    ) -> bool:
        """Insert a transaction's row before its commit; True if it was rolled back."""

    async def resolve_commit(self, context: "RequestContext") -> None:
        """Determine whether an at-most-once transaction has committed, and answer."""


class ProtocolWithoutRequestIds:
    """Base of a protocol whose statements carry no identifier for at-most-once.

    Its sessions end with their connection and need no token; their state is recorded
    when it is sent to a target.
    """

    def answer_rolled_back(self, plan: UnitPlan, caller: SessionCaller) -> bool:
        """Answer a ``ROLLBACK``; the answer to a ``COMMIT`` names its database."""
        if plan.kind is not StatementKind.ROLLBACK:
            return False
        caller.status = TransactionStatus.IDLE
        caller.answer_local(True)
        return True

    def observe_answer(
        self, plan: UnitPlan, caller: UnitCaller, connection: PooledConnection
    ) -> None:
        """Do nothing: session changes are recorded with the answer."""

    def observe_pinned(self, plan: UnitPlan, caller: UnitCaller) -> None:
        """Do nothing: session changes are recorded with the answer."""

    def encode_token(self, caller: UnitCaller) -> bytes:
        """Return no message: sessions have no token here."""
        return b""

    async def run_at_most_once(self, context: "RequestContext") -> None:
        """Never called: this protocol has no at-most-once requests."""
        raise NotImplementedError

    async def insert_for_commit(
        self, context: "RequestContext", pinned: "PinnedTransaction"
    ) -> bool:
        """Never called: this protocol has no at-most-once requests."""
        raise NotImplementedError

    async def resolve_commit(self, context: "RequestContext") -> None:
        """Never called: this protocol has no at-most-once requests."""
        raise NotImplementedError
