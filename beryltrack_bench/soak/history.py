"""Records what callers sent and databases ran, and finds consistency violations.

Callers and databases live in the soak's own process, so that all times are of one
clock. Each violation names the statement that shows it.
"""

import math
import statistics
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack.settings.messages import Endpoint
from beryltrack_standins.lines.database import DatabaseSession
from beryltrack_standins.lines.group import Database, Group

PRIMARY_ROUTE, BOUNDED_ROUTE, OWN_ROUTE = "primary", "bounded", "own"


QUOTA_WINDOW = 5.0
"""Length of the windows in which operations of an account are counted, seconds."""

QUOTA_OVERAGE, QUOTA_SLACK = 0.1, 20.0
"""How far an account may exceed its limit: a share of it, plus operations."""

CHANGE_TIMEOUT = 5.0
"""Seconds after which a lower limit holds in each window: the time of a settings change
(3 s), and the extra time of an instance that the store refuses."""


DRAIN_LIMIT = 7.0
"""Seconds after its report from which a leaving database must get no new work."""


STOP_TIME = 5.0
"""Seconds from a node's SIGTERM in which it cuts off no statement: its grace period,
and a second more."""

CUT_SLACK = 0.2
"""Seconds within which a statement may come too late to be read."""

STABILITY_TIME = 4.0
"""Seconds for which a node must have been undisturbed to be held to that limit."""


class AccountLimit(NamedTuple):
    """The limit of an account: operations a second, and operations at once."""

    rate: float
    burst: float

    def compute_max_operations(self) -> float:
        """Return the maximum of operations in a window."""
        nominal = self.rate * QUOTA_WINDOW + self.burst
        return nominal * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


class Violation(NamedTuple):
    """A violation: its kind, the statement's identifier, and the observation."""

    kind: str
    request: str
    text: str


class SentStatement(NamedTuple):
    """A statement that a caller has sent.

    Parameters
    ----------
    request : bytes
        Its identifier.
    text : bytes
        Its text; for an EXECUTE its mode, shape and fields.
    session : int
        Number of the caller's session.
    transaction : int
        Number of its transaction; 0 for none.
    route : str
        Kind of the route.
    max_age : float
        Staleness that its reads accept, seconds.
    sent_at : float
        When it, or its transaction, was sent.
    values : tuple
        The session's values, sorted.
    account : str
        The client account of the caller; empty where there are none.
    """

    request: bytes
    text: bytes
    session: int
    transaction: int
    route: str
    max_age: float
    sent_at: float
    values: tuple
    account: str = ""


class AcknowledgedCommit(NamedTuple):
    """An acknowledged commit: its time, log position, and the caller's session."""

    at: float
    position: LogPosition
    session: int


class History:
    """Records a run and collects its violations.

    Parameters
    ----------
    group : Group
        The group of databases.
    seconds : callable
        The clock of the run.
    find_node : callable
        Returns the node that opened a connection to a database; empty if unknown.
    """

    def __init__(
        self,
        group: Group,
        seconds,
        find_node: Callable[[DatabaseSession], str] = lambda session: "",
    ):
        self._find_node = find_node
        self._holders: dict[str, str] = {}
        self.violations: list[Violation] = []
        self.outcomes: Counter[str] = Counter()
        self._group = group
        self._seconds = seconds
        self._sent: dict[bytes, SentStatement] = {}
        self._commits: dict[bytes, list[LogPosition]] = {}
        self._acknowledged: dict[bytes, AcknowledgedCommit] = {}
        self._refused: dict[bytes, str] = {}
        self._transaction_sessions: dict[int, DatabaseSession] = {}
        self._replaced: set[bytes] = set()
        self._operations: dict[str, list[float]] = {}
        self._limits: dict[str, list[tuple[float, AccountLimit]]] = {}
        self._draining: dict[str, float] = {}
        self._disturbed_at = -math.inf
        self._stopped: dict[Endpoint, float] = {}
        self._stop_times: list[float] = []

    def record_draining(self, database: str) -> None:
        """Record that a database has reported that it leaves."""
        self._draining[database] = self._seconds()

    def end_draining(self, database: str) -> None:
        """Record that a database does not leave any more."""
        self._draining.pop(database, None)

    def record_disturbance(self) -> None:
        """Record that nodes are cut off from the store or paused, until now at least.

        For some seconds after that they need not know which databases leave.
        """
        self._disturbed_at = self._seconds()

    def record_stop(self, node: Endpoint) -> None:
        """Record that a node was sent SIGTERM."""
        self._stopped[node] = self._seconds()

    def record_gone(self, node: str, took: float, grace: float) -> None:
        """Record how many seconds after SIGTERM a process has ended or was killed."""
        self._stop_times.append(took)
        if took > grace:
            self._add_violation("GONE", b"-", f"{node} still runs after {grace:g} s")

    def summarize_stops(self) -> dict[str, float]:
        """Return the median and the longest time of a stop, seconds; empty without."""
        if not self._stop_times:
            return {}
        median = statistics.median(self._stop_times)
        return {"median": round(median, 2), "longest": round(max(self._stop_times), 2)}

    def record_cut(
        self, node: Endpoint, request: bytes, sent_at: float, limit: float
    ) -> None:
        """Record that a connection ended without an answer to a statement.

        Parameters
        ----------
        node : Endpoint
            The address of the node.
        request : bytes
            The statement.
        sent_at : float
            When it was sent.
        limit : float
            Its route's time limit, seconds.
        """
        now = self._seconds()
        stopped_at, ran = self._stopped.get(node, -math.inf), now - sent_at
        if now <= stopped_at + STOP_TIME and CUT_SLACK < ran < limit:
            text = (
                f"sent {sent_at - stopped_at:.2f} s after the SIGTERM, no answer, and "
                f"the connection ended {ran:.2f} s later"
            )
            self._add_violation("CUT", request, text)

    def record_limit(self, account: str, limit: AccountLimit) -> None:
        """Record a limit that operators have set for an account."""
        self._limits.setdefault(account, []).append((self._seconds(), limit))

    def record_sent(self, sent: SentStatement) -> None:
        """Record a statement that a caller sends."""
        self._sent[sent.request] = sent

    def record_acknowledged(self, request: bytes) -> None:
        """Record that a commit was acknowledged to its caller."""
        positions = self._commits.get(request)
        if not positions:
            self._add_violation(
                "MIXED", request, "acknowledged, but no database committed it"
            )
            return
        if request in self._replaced:
            self._add_violation(
                "ONE", request, "committed at a primary that was replaced"
            )
        sent = self._sent[request]
        self._acknowledged[request] = AcknowledgedCommit(
            self._seconds(), positions[-1], sent.session
        )

    def record_refused(self, requests: Iterable[bytes], code: str) -> None:
        """Record that a refusal guaranteed that some statements are not applied."""
        self._refused.update(dict.fromkeys(requests, code))

    def observe_run(
        self, database: Database, session: DatabaseSession, request: bytes, text: bytes
    ) -> None:
        """Check a statement that a database runs."""
        sent = self._sent.get(request)
        if sent is None:
            self._add_violation("UNASKED", request, f"{database.name} runs {text!r}")
            return
        self._check_account(sent, session, text)
        self._check_text(sent, session, text)
        self._check_transaction(sent, session, text)
        self._check_draining(sent, database, text)
        is_read = text.startswith((b"READ", b"EXECUTE"))
        if sent.values != tuple(sorted(session.values.items())):
            text = f"{database.name} runs {text!r} of {sent.route}, transaction "
            text += f"{sent.transaction}, with {session.values}, not {sent.values}"
            self._add_violation("PINNED", request, text)
        if is_read:
            self._check_staleness(sent, database)

    def observe_commit(self, request: bytes, position: LogPosition) -> None:
        """Record the log position of a statement that has committed."""
        self._commits.setdefault(request, []).append(position)
        if position.term < self._group.term:
            self._replaced.add(request)

    def observe_control(
        self, database: Database, session: DatabaseSession, text: bytes, held: int
    ) -> None:
        """Check that no node ends a hold that another node has set since.

        Such a hold protects an election that may still be under way: what the database
        receives and confirms from then on, the new primary may lack.
        """
        node = self._find_node(session)
        if text == b"PAUSE %d" % database.held:
            self._holders[database.name] = node
        holder = self._holders.get(database.name, node)
        if text == b"RESUME" and held and node and holder and node != holder:
            text = f"{node} ended the hold of {database.name} by {holder} for {held}"
            self._add_violation("HOLD", b"-", text)

    def check_session_answer(
        self, node: str, route: str, answer: list[bytes], is_served: bool = True
    ) -> None:
        """Check a node's answer for a route or key that was changed long enough ago.

        `is_served` is False for a revoked key.
        """
        codes = (b"ERROR NODATABASE ", b"ERROR UNKNOWNKEY ")
        is_refused = any(line.startswith(codes) for line in answer)
        if answer and is_refused is is_served:
            self._add_violation("CONFIG", route.encode(), f"{node} says {answer}")

    def check_connections(self, node: str, in_use: float) -> None:
        """Check that a node without callers has no database connection in use."""
        if in_use:
            text = f"{node} has {in_use:g} connections in use without a caller"
            self._add_violation("LEAK", b"-", text)

    def finish(self, breaches: Iterable[str] = ()) -> None:
        """Check the log of the last primary, quotas, and the order of tokens."""
        for text in breaches:
            self._add_violation("ONE", b"-", text)
        for account in self._limits:
            self._check_quota(account)
        if self._group.primary is None:
            self._add_violation("LOST", b"-", "the group has no primary at the end")
            return
        logged = {commit.position for commit in self._group.primary.log}
        for request, positions in self._commits.items():
            count = sum(position in logged for position in positions)
            if count > 1:
                self._add_violation("TWICE", request, f"{count} commits are kept")
            if count and request in self._refused:
                self._add_violation(
                    "REFUSED", request, f"{self._refused[request]}, but is kept"
                )
        for request, each in self._acknowledged.items():
            if each.position not in logged:
                self._add_violation(
                    "LOST", request, f"the commit {each.position} is gone"
                )

    def _check_account(
        self, sent: SentStatement, session: DatabaseSession, text: bytes
    ) -> None:
        """Check the account of a statement's connection, and count operations."""
        if not sent.account:
            return
        if session.account != sent.account:
            text = f"of {sent.account} on a connection of {session.account}"
            self._add_violation("UNASKED", sent.request, text)
        if not sent.transaction or text.startswith(b"BEGIN"):
            self._operations.setdefault(sent.account, []).append(self._seconds())

    def _check_draining(
        self, sent: SentStatement, database: Database, text: bytes
    ) -> None:
        """Check that a leaving database gets new work for a limited time only."""
        since = self._draining.get(database.name, math.inf)
        is_new = not sent.transaction or text.startswith(b"BEGIN")
        due = max(since + DRAIN_LIMIT, self._disturbed_at + STABILITY_TIME)
        if is_new and self._seconds() > due:
            late = f"{database.name} runs {text!r} {self._seconds() - since:.1f} s"
            self._add_violation("DRAIN", sent.request, f"{late} after it left")

    def _check_quota(self, account: str) -> None:
        """Check that no window exceeds the highest limit in force during it."""
        times = self._operations.get(account, [])
        for first, start in enumerate(times):
            count = bisect(times, start + QUOTA_WINDOW) - first
            max_count = max(
                limit.compute_max_operations()
                for since, limit, until in _pair_limits(self._limits[account])
                if since <= start + QUOTA_WINDOW and until >= start - CHANGE_TIMEOUT
            )
            if count > max_count:
                text = (
                    f"{count} operations from {start:.2f} s on, {max_count:.0f} allowed"
                )
                self._add_violation("QUOTA", account.encode(), text)
                return

    def _check_text(
        self, sent: SentStatement, session: DatabaseSession, text: bytes
    ) -> None:
        """Check that the text that runs is the text that was sent."""
        if text.startswith(b"EXECUTE "):
            _, name, *fields = text.split(b" ", 2)
            text = b" ".join((*session.prepared.get(name, (b"?", b"?")), *fields))
        if text != sent.text:
            self._add_violation("UNASKED", sent.request, f"{text!r} for {sent.text!r}")

    def _check_transaction(
        self, sent: SentStatement, session: DatabaseSession, text: bytes
    ) -> None:
        """Check that each transaction runs on one connection of its own."""
        is_begin = text.startswith(b"BEGIN")
        is_open = session.writes is not None
        if is_open is not bool(sent.transaction and not is_begin):
            self._add_violation(
                "PINNED", sent.request, f"{text!r}, transaction open: {is_open}"
            )
        if is_begin:
            self._transaction_sessions[sent.transaction] = session
        elif (
            sent.transaction
            and self._transaction_sessions.get(sent.transaction) is not session
        ):
            self._add_violation(
                "PINNED", sent.request, "another connection than its BEGIN"
            )

    def _check_staleness(self, sent: SentStatement, database: Database) -> None:
        """Check that a read sees all commits that its route requires."""
        visible = {commit.position for commit in database.log[: database.applied]}
        age = sent.max_age if sent.route != PRIMARY_ROUTE else 0.0
        for request, each in self._acknowledged.items():
            is_own = sent.route == OWN_ROUTE and each.session == sent.session
            is_old = each.at < sent.sent_at - age
            is_due = is_old or (is_own and each.at < sent.sent_at)
            is_rolled_back = each.position in self._group.rolled_back
            if is_due and not is_rolled_back and each.position not in visible:
                text = f"{database.name} lacks {each.position} of {request.decode()}"
                text += f", acknowledged {sent.sent_at - each.at:.3f} s before a read"
                text += f" of {sent.route}, transaction {sent.transaction}"
                text += ", by its own session" * is_own
                self._add_violation("STALE", sent.request, text)
                return

    def _add_violation(self, kind: str, request: bytes, text: str) -> None:
        """Add a violation."""
        self.violations.append(Violation(kind, request.decode(), text))


def _pair_limits(
    limits: list[tuple[float, AccountLimit]],
) -> list[tuple[float, AccountLimit, float]]:
    """Return each limit with its time and the time of the next one."""
    ends = [since for since, _ in limits[1:]] + [float("inf")]
    return [(*each, end) for each, end in zip(limits, ends, strict=True)]
