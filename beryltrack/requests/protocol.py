"""What the course of a request asks of the wire protocol at its two ends.

Routing, retries, confirmation and transactions are the same whichever protocol
callers and targets speak. Each protocol implements `WireProtocol` once; nothing
else in this slice knows a message of it.
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
    """The times that bound a request.

    Parameters
    ----------
    request_timeout : float
        Seconds from a request's arrival within which it must reach a target and
        its commit must be confirmed.
    target_timeout : float
        Seconds that a request waits for a database that can take it, for
        example while a new primary takes over, before it is refused.
    run_timeout : float or None
        Seconds that a target may take to answer; None if that is not bounded. The
        connection is closed then, so that the run ends as lost.
    read_timeout : float or None
        The same for a read that can be run again on another target.
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
    """A run whose answer was lost.

    Parameters
    ----------
    is_sent : bool
        True if the target may have run the unit.
    reason : str
        Why the connection ended.
    """

    is_sent: bool
    reason: str


RunResult = ResponseEnd | RunLost


def describe_loss(failure: Failure) -> RunLost:
    """Return how a run was lost, as an errback of the run."""
    failure.trap(TargetLost, TimeoutError)
    lost = failure.value
    if isinstance(lost, TargetLost):
        return RunLost(lost.sent, lost.reason)
    return RunLost(True, f"no answer in time: {lost}")


class UnitPlan(Protocol):
    """One unit of a caller, understood."""

    @property
    def kind(self) -> StatementKind:
        """The kind of its statements together."""

    @property
    def marks(self) -> RequestOptions:
        """What is asked for it beside its statements."""

    @property
    def request_id(self) -> str:
        """The caller's identifier of it; empty if it has none."""

    @property
    def is_read(self) -> bool:
        """True if a replica may run it, outside of a transaction."""

    @property
    def is_marked(self) -> bool:
        """True if it must run at most once and carries an identifier."""

    @property
    def policy(self) -> RequestPolicy | None:
        """The times that bound it; None for those of the instance."""


class UnitCaller(ResponseSink, Protocol):
    """A caller, as the course of its requests sees it.

    `account` is the client account that it belongs to; empty where there are none.
    """

    session: "CallerSession"
    status: TransactionStatus
    is_closed: bool
    account: str

    @property
    def database(self) -> str:
        """The database that it asked for."""

    @property
    def in_transaction(self) -> bool:
        """True while it has a transaction open."""

    def send_error(self, error: SqlError) -> None:
        """Send an error."""

    def send_ready(self, status: TransactionStatus) -> None:
        """Say that the unit is answered, and how its transaction stands."""

    def set_close_callback(self, callback) -> None:
        """Call `callback` when the caller disconnects; at once if it has."""


class UnitHandler(Protocol):
    """What runs the units of callers, as `RequestTask` does."""

    def check_session(self, caller: UnitCaller) -> SqlError | None:
        """Open a caller's session."""

    def handle(self, unit: object, caller: UnitCaller) -> "Deferred[None]":
        """Run one unit; ends after `caller.send_ready`."""

    def drop_session(self, caller: UnitCaller) -> None:
        """Give up all that is kept for a caller that is gone."""


class UnitForwarder(Protocol):
    """Passes units on to other instances."""

    def takes(self, context: "RequestContext") -> bool:
        """Return whether another instance is to run a unit."""

    async def run(self, context: "RequestContext") -> None:
        """Have another instance run a unit, and answer the caller."""


class WireProtocol(Protocol):
    """How one wire protocol understands and runs units."""

    def check_session(self, caller: UnitCaller) -> SqlError | None:
        """Open a caller's session; return an error if its settings are wrong."""

    def plan(
        self,
        unit: object,
        caller: UnitCaller,
        group: GroupSettings,
        rules: tuple[RuleSettings, ...],
    ) -> Result[UnitPlan, SqlError]:
        """Return the plan of a unit, or why it cannot be run."""

    def get_request_id(self, unit: object) -> str:
        """Return the caller's identifier of a unit that is not planned, if known."""

    def describe_missing(self, caller: UnitCaller) -> SqlError:
        """Return why a caller's database cannot be served."""

    def answer_locally(self, plan: UnitPlan, caller: UnitCaller) -> bool:
        """Answer a unit that concerns the proxy alone; False for all others."""

    async def run(
        self,
        connection: PooledConnection,
        plan: UnitPlan,
        sink: AnswerSink,
        caller: UnitCaller,
        after: LogPosition | None,
    ) -> RunResult:
        """Bring a connection to the caller's session, and run a unit on it.

        `after` is a position that a replica was seen to show. Where targets can
        check it, one that no longer shows it refuses the unit.
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
        """Keep what a unit that was run outside of a transaction has changed."""

    def observe_pinned(self, plan: UnitPlan, caller: UnitCaller) -> None:
        """Keep what a unit has changed inside of a transaction."""

    def proves_lead(self, plan: UnitPlan) -> bool:
        """Return whether a database that ran a unit without an error says it leads.

        What that word proves depends on the databases; see `LeadershipProof`.
        """

    def has_committed(
        self,
        plan: UnitPlan,
        pinned: "PinnedTransaction",
        caller: UnitCaller,
        end: ResponseEnd,
    ) -> bool:
        """Return whether the end of a transaction has made changes last."""

    def encode_token(self, caller: UnitCaller) -> bytes:
        """Return what tells a caller its session's new token; may be empty."""

    async def run_marked(self, context: "RequestContext") -> None:
        """Run a marked unit outside of a transaction, at most once."""

    async def insert_for_commit(
        self, context: "RequestContext", pinned: "PinnedTransaction"
    ) -> bool:
        """Record a marked transaction before its commit; True for a repeat."""

    async def resolve_commit(self, context: "RequestContext") -> None:
        """Find out whether a marked transaction has committed, and answer."""


class UnmarkedProtocol:
    """What a protocol answers whose statements carry no identifier of their own.

    A session is a connection there: its state needs no token, and what a connection
    has set is noted when it is sent.
    """

    def observe_answer(
        self, plan: UnitPlan, caller: UnitCaller, connection: PooledConnection
    ) -> None:
        """Keep nothing: the session's state is kept when it is answered."""

    def observe_pinned(self, plan: UnitPlan, caller: UnitCaller) -> None:
        """Keep nothing: the session's state is kept when it is answered."""

    def encode_token(self, caller: UnitCaller) -> bytes:
        """Return nothing: a session is a connection here."""
        return b""

    async def run_marked(self, context: "RequestContext") -> None:
        """Never called: no statement of this protocol is marked."""
        raise NotImplementedError

    async def insert_for_commit(
        self, context: "RequestContext", pinned: "PinnedTransaction"
    ) -> bool:
        """Never called: no statement of this protocol is marked."""
        raise NotImplementedError

    async def resolve_commit(self, context: "RequestContext") -> None:
        """Never called: no statement of this protocol is marked."""
        raise NotImplementedError
