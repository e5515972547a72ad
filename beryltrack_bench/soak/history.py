"""What callers asked, what databases ran, and which promise that breaks.

Callers and databases live in the soak's own process, so that all times are of one
clock. Each finding names the statement that shows it.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack_standins.lines.database import DatabaseSession
from beryltrack_standins.lines.group import Database, Group

PRIMARY_ROUTE, BOUNDED_ROUTE, OWN_ROUTE = "primary", "bounded", "own"


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
    """

    request: bytes
    text: bytes
    session: int
    transaction: int
    route: str
    max_age: float
    asked_at: float
    values: tuple


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

    def note_session(self, node: str, route: str, answer: list[bytes]) -> None:
        """Judge what a node says of a route that was confirmed long enough before."""
        if any(line.startswith(b"ERROR NODATABASE ") for line in answer):
            self._add("CONFIG", route.encode(), f"{node} says {answer}")

    def finish(self, breaches: Iterable[str] = ()) -> None:
        """Judge what the log of the last primary holds, and the order of tokens."""
        for text in breaches:
            self._add("ONE", b"-", text)
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
                self._add("STALE", sent.request, text)
                return

    def _add(self, kind: str, request: bytes, text: str) -> None:
        """Keep a finding."""
        self.violations.append(Violation(kind, request.decode(), text))
