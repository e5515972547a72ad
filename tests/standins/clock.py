"""A group of stand-in databases with a clock that the test advances."""

from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.task import Clock

from beryltrack_standins.database.database import Database
from beryltrack_standins.database.dialect import parse_statements
from beryltrack_standins.database.session import Session, SessionLimits
from beryltrack_standins.group import ReplicationGroup

RECEIVE_DELAY = 0.001


class ClockGroup:
    """Three databases; the first is the primary of term 1."""

    def __init__(self, slots=3):
        self.clock = Clock()
        self.databases = [Database(self.clock, name) for name in "abc"]
        self.limits = SessionLimits(DeferredSemaphore(slots), 0.0, 5.0)
        self.group = ReplicationGroup(self.clock, self.databases, RECEIVE_DELAY)
        self.group.start()

    def make_session(self, number=0):
        """Return a new session of one database."""
        return Session(self.clock, self.databases[number], self.limits)

    def advance(self, seconds=0.1):
        """Advance the clock in steps of 10 ms."""
        self.clock.pump([0.01] * round(seconds / 0.01))

    def fail_over(self, term=2, number=1):
        """Promote a replica by grants of the two replicas, a majority."""
        for database in self.databases[1:]:
            database.grant(term, "p", 0.0)
        assert self.databases[number].promote(term, "p")

    def count_rows(self, number):
        """Return the number of rows that readers of a database see."""
        rows = execute(self.make_session(number), "SELECT count(*) FROM t")
        return list(rows.result.rows)[0][0]


def execute(session, text, parameters=()):
    """Start a statement; return a Deferred of its answer."""
    (statement,) = parse_statements(text)
    deferred = Deferred.fromCoroutine(session.run(statement, parameters))

    def finish(answer):
        session.finish_implicit()
        return answer

    return deferred.addCallback(finish)


def get_error(deferred):
    """Return the error of a failed statement."""
    failures = []
    deferred.addErrback(failures.append)
    return failures[0].value


def get_state(deferred):
    """Return the SQLSTATE of a failed statement."""
    return get_error(deferred).sqlstate
