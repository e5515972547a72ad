"""Detection of overdue statements."""

from types import SimpleNamespace

from twisted.internet.task import Clock

from beryltrack.requests.overdue import LATE_AFTER, OverdueWatch

LIMIT = 1.0


class Connection:
    """Records that it was closed."""

    closed = False
    run_until = LIMIT

    def __init__(self, since):
        self.run_since = since

    def close(self):
        self.closed = True


def start_watch(since, is_silent=False):
    clock, connection, signs = Clock(), Connection(since), []
    pool = SimpleNamespace(get_running=lambda: [connection])
    task = SimpleNamespace(suspect=lambda name, since: signs.append(name))
    runtime = SimpleNamespace(pools={"db-1": pool}, task=task)
    OverdueWatch(
        clock, clock.seconds, lambda: [runtime], Connection.close, lambda _: is_silent
    ).start()
    return clock, connection, signs


def test_a_late_statement_makes_its_database_suspect():
    clock, connection, signs = start_watch(0.0)
    clock.advance(LATE_AFTER)
    assert signs == []
    clock.advance(0.05)
    assert signs == ["db-1"] and not connection.closed


def test_a_statement_past_its_limit_is_given_up():
    clock, connection, _ = start_watch(0.0)
    clock.pump([0.05] * 21)
    assert connection.closed


def test_a_statement_through_a_silent_owner_is_given_up_earlier():
    clock, connection, _ = start_watch(0.0, is_silent=True)
    clock.pump([0.05] * 8)
    assert not connection.closed
    clock.pump([0.05] * 2)
    assert connection.closed


def test_no_statement_is_late_right_after_a_pause():
    """Guards against giving up statements whose answers are still unread."""
    clock, connection, signs = start_watch(0.0, is_silent=True)
    clock.advance(0.05)
    clock.advance(3.0)
    assert not connection.closed and signs == []


def test_a_statement_unanswered_after_a_pause_is_given_up_at_its_limit():
    """Guards against a pause that keeps a lost statement running."""
    clock, connection, signs = start_watch(0.0)
    clock.advance(3.0)
    clock.pump([0.05] * 17)
    assert not connection.closed and signs
    clock.pump([0.05] * 3)
    assert connection.closed
