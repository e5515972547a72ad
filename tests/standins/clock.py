"""A group of stand-in databases under a clock that the test moves."""

from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.task import Clock

from beryltrack_standins.database.database import Database
from beryltrack_standins.database.dialect import parse_statements
from beryltrack_standins.database.session import Session, SessionLimits
from beryltrack_standins.group import ReplicationGroup

RECEIVE_DELAY = 0.001


class ClockGroup:
    """Three databases, the first of which leads term 1."""

    def __init__(self, slots=3):
        self.clock = Clock()
        self.databases = [Database(self.clock, name) for name in "abc"]
        self.limits = SessionLimits(DeferredSemaphore(slots), 0.0, 5.0)
        self.group = ReplicationGroup(self.clock, self.databases, RECEIVE_DELAY)
        self.group.start()

    def make_session(self, number=0):
        """Return a new session on one database."""
        return Session(self.clock, self.databases[number], self.limits)

    def advance(self, seconds=0.1):
        """Let time pass in small steps."""
        self.clock.pump([0.01] * round(seconds / 0.01))

    def fail_over(self, term=2, number=1):
        """Make another database the primary, with grants of a majority."""
        for database in self.databases[1:]:
            database.grant(term, "p", 0.0)
        assert self.databases[number].promote(term, "p")

    def count_rows(self, number):
        """Return how many rows the readers of a database see."""
        rows = execute(self.make_session(number), "SELECT count(*) FROM t")
        return list(rows.result.rows)[0][0]


def execute(session, text, parameters=()):
    """Start a statement; the Deferred holds its answer once it is there."""
    (statement,) = parse_statements(text)
    deferred = Deferred.fromCoroutine(session.run(statement, parameters))

    def finish(answer):
        session.finish_implicit()
        return answer

    return deferred.addCallback(finish)


def get_error(deferred):
    """Return the error that a statement failed with."""
    failures = []
    deferred.addErrback(failures.append)
    return failures[0].value


def get_state(deferred):
    """Return the SQLSTATE that a statement failed with."""
    return get_error(deferred).sqlstate
