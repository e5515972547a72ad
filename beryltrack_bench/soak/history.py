"""What callers asked, what databases ran, and which promise that breaks.

Callers and databases live in the soak's own process, so that all times are of one
clock. Each finding names the statement that shows it.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack_standins.lines.database import DatabaseSession
from beryltrack_standins.lines.group import Database, Group

PRIMARY_ROUTE, BOUNDED_ROUTE, OWN_ROUTE = "primary", "bounded", "own"


QUOTA_WINDOW = 5.0
"""Seconds of the windows in which operations of an account are counted."""

QUOTA_OVERAGE, QUOTA_SLACK = 0.1, 20.0
"""How far an account may exceed its limit: a part of it, and operations."""

CHANGE_LIMIT = 5.0
"""Seconds after which a lower limit binds in each window: the time of a change of the
settings (3 s) and what an instance that the store turns away needs beside it."""


class AccountLimit(NamedTuple):
    """How much an account may ask for: operations a second, and at once."""

    rate: float
    burst: float

    def get_most(self) -> float:
        """Return how many operations a window may have."""
        nominal = self.rate * QUOTA_WINDOW + self.burst
        return nominal * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


class Violation(NamedTuple):
    """A broken promise: its kind, the statement's identifier, and what was seen."""

    kind: str
    request: str
    text: str


class Sent(NamedTuple):
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
    asked_at : float
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
    asked_at: float
    values: tuple
    account: str = ""


class Acknowledged(NamedTuple):
    """A commit that a caller was told of: when, where in the log, and to whom."""

    at: float
    position: LogPosition
    session: int


class History:
    """Takes in a run and collects what it breaks.

    Parameters
    ----------
    group : Group
        The group of databases.
    seconds : callable
        The clock of the run.
    """

    def __init__(self, group: Group, seconds):
        self.violations: list[Violation] = []
        self.outcomes: Counter[str] = Counter()
        self._group = group
        self._seconds = seconds
        self._sent: dict[bytes, Sent] = {}
        self._commits: dict[bytes, list[LogPosition]] = {}
        self._acknowledged: dict[bytes, Acknowledged] = {}
        self._refused: dict[bytes, str] = {}
        self._places: dict[int, DatabaseSession] = {}
        self._replaced: set[bytes] = set()
        self._operations: dict[str, list[float]] = {}
        self._limits: dict[str, list[tuple[float, AccountLimit]]] = {}

    def note_limit(self, account: str, limit: AccountLimit) -> None:
        """Take that operators have set how much an account may ask for."""
        self._limits.setdefault(account, []).append((self._seconds(), limit))

    def note_sent(self, sent: Sent) -> None:
        """Take a statement that a caller sends."""
        self._sent[sent.request] = sent

    def note_acknowledged(self, request: bytes) -> None:
        """Take that a caller was told that a commit of its has succeeded."""
        positions = self._commits.get(request)
        if not positions:
            self._add("MIXED", request, "acknowledged, but no database committed it")
            return
        if request in self._replaced:
            self._add("ONE", request, "committed at a primary that was replaced")
        sent = self._sent[request]
        self._acknowledged[request] = Acknowledged(
            self._seconds(), positions[-1], sent.session
        )

    def note_refused(self, requests: Iterable[bytes], code: str) -> None:
        """Take that a caller was told that nothing of some statements is kept."""
        self._refused.update(dict.fromkeys(requests, code))

    def observe_run(
        self, database: Database, session: DatabaseSession, request: bytes, text: bytes
    ) -> None:
        """Judge a statement that a database runs."""
        sent = self._sent.get(request)
        if sent is None:
            self._add("UNASKED", request, f"{database.name} runs {text!r}")
            return
        self._check_account(sent, session, text)
        self._check_text(sent, session, text)
        self._check_place(sent, session, text)
        is_read = text.startswith((b"READ", b"EXECUTE"))
        if sent.values != tuple(sorted(session.values.items())):
            text = f"{database.name} runs {text!r} of {sent.route}, transaction "
            text += f"{sent.transaction}, with {session.values}, not {sent.values}"
            self._add("PINNED", request, text)
        if is_read:
            self._check_age(sent, database)

    def observe_commit(self, request: bytes, position: LogPosition) -> None:
        """Take the position of a statement that has committed."""
        self._commits.setdefault(request, []).append(position)
        if position.term < self._group.term:
            self._replaced.add(request)

    def note_session(
        self, node: str, route: str, answer: list[bytes], is_served: bool = True
    ) -> None:
        """Judge what a node says of a route or key, confirmed long enough before.

        `is_served` is False for a key that was taken away.
        """
        codes = (b"ERROR NODATABASE ", b"ERROR UNKNOWNKEY ")
        is_refused = any(line.startswith(codes) for line in answer)
        if answer and is_refused is is_served:
            self._add("CONFIG", route.encode(), f"{node} says {answer}")

    def finish(self, breaches: Iterable[str] = ()) -> None:
        """Judge what the log of the last primary holds, and the order of tokens."""
        for text in breaches:
            self._add("ONE", b"-", text)
        for account in self._limits:
            self._check_quota(account)
        if self._group.primary is None:
            self._add("LOST", b"-", "the group has no primary at the end")
            return
        kept = {commit.position for commit in self._group.primary.log}
        for request, positions in self._commits.items():
            count = sum(position in kept for position in positions)
            if count > 1:
                self._add("TWICE", request, f"{count} commits are kept")
            if count and request in self._refused:
                self._add("REFUSED", request, f"{self._refused[request]}, but is kept")
        for request, each in self._acknowledged.items():
            if each.position not in kept:
                self._add("LOST", request, f"the commit {each.position} is gone")

    def _check_account(self, sent: Sent, session: DatabaseSession, text: bytes) -> None:
        """Check whose connection a statement runs on, and count operations."""
        if not sent.account:
            return
        if session.account != sent.account:
            text = f"of {sent.account} on a connection of {session.account}"
            self._add("UNASKED", sent.request, text)
        if not sent.transaction or text.startswith(b"BEGIN"):
            self._operations.setdefault(sent.account, []).append(self._seconds())

    def _check_quota(self, account: str) -> None:
        """Check that no window has more operations than a limit of its time allows."""
        times = self._operations.get(account, [])
        for first, start in enumerate(times):
            count = bisect(times, start + QUOTA_WINDOW) - first
            most = max(
                limit.get_most()
                for since, limit, until in _pair_limits(self._limits[account])
                if since <= start + QUOTA_WINDOW and until >= start - CHANGE_LIMIT
            )
            if count > most:
                text = f"{count} operations from {start:.2f} s on, {most:.0f} allowed"
                self._add("QUOTA", account.encode(), text)
                return

    def _check_text(self, sent: Sent, session: DatabaseSession, text: bytes) -> None:
        """Compare what is run with what was sent."""
        if text.startswith(b"EXECUTE "):
            _, name, *fields = text.split(b" ", 2)
            text = b" ".join((*session.prepared.get(name, (b"?", b"?")), *fields))
        if text != sent.text:
            self._add("UNASKED", sent.request, f"{text!r} for {sent.text!r}")

    def _check_place(self, sent: Sent, session: DatabaseSession, text: bytes) -> None:
        """Check that transactions run on a connection of their own."""
        is_begin = text.startswith(b"BEGIN")
        is_open = session.writes is not None
        if is_open is not bool(sent.transaction and not is_begin):
            self._add("PINNED", sent.request, f"{text!r}, transaction open: {is_open}")
        if is_begin:
            self._places[sent.transaction] = session
        elif sent.transaction and self._places.get(sent.transaction) is not session:
            self._add("PINNED", sent.request, "another connection than its BEGIN")

    def _check_age(self, sent: Sent, database: Database) -> None:
        """Check that a read sees all that it must see."""
        shown = {commit.position for commit in database.log[: database.applied]}
        age = sent.max_age if sent.route != PRIMARY_ROUTE else 0.0
        for request, each in self._acknowledged.items():
            is_own = sent.route == OWN_ROUTE and each.session == sent.session
            is_old = each.at < sent.asked_at - age
            is_due = is_old or (is_own and each.at < sent.asked_at)
            gone = each.position in self._group.rolled_back
            if is_due and not gone and each.position not in shown:
                text = f"{database.name} lacks {each.position} of {request.decode()}"
                text += f", acknowledged {sent.asked_at - each.at:.3f} s before a read"
                text += f" of {sent.route}, transaction {sent.transaction}"
                text += ", by its own session" * is_own
                self._add("STALE", sent.request, text)
                return

    def _add(self, kind: str, request: bytes, text: str) -> None:
        """Keep a finding."""
        self.violations.append(Violation(kind, request.decode(), text))


def _pair_limits(
    limits: list[tuple[float, AccountLimit]],
) -> list[tuple[float, AccountLimit, float]]:
    """Return each limit with when it came and when the next one did."""
    ends = [since for since, _ in limits[1:]] + [float("inf")]
    return [(*each, end) for each, end in zip(limits, ends, strict=True)]
