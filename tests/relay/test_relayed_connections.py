"""Detection of silent owners, and the connections that are closed with them."""

from types import SimpleNamespace

from beryltrack.relay.relayed_connections import close_overdue, is_silent


class Connection:
    """A connection through an owner."""

    def __init__(self, via, run_since=None, last_received_at=0.0):
        self.via, self.run_since, self.last_received_at = (
            via,
            run_since,
            last_received_at,
        )
        self.closed = False

    def close(self):
        self.closed = True


def make_pool(*connections):
    def close_idle(connection):
        if connection.run_since is None:
            connection.close()

    return SimpleNamespace(get_connections=lambda: connections, close_idle=close_idle)


def test_the_idle_connections_of_a_silent_owner_are_closed():
    late, idle, busy = Connection("n1", 5.0), Connection("n1"), Connection("n1", 6.0)
    other = Connection("n2")
    assert close_overdue(late, [make_pool(late, idle), make_pool(busy, other)]) == "n1"
    assert late.closed and idle.closed
    assert not busy.closed and not other.closed


def test_an_owner_that_answered_on_another_connection_is_kept():
    late, idle = Connection("n1", 5.0), Connection("n1", last_received_at=5.1)
    assert close_overdue(late, [make_pool(late, idle)]) == ""
    assert late.closed and not idle.closed


def test_an_overdue_direct_connection_is_closed_alone():
    late, idle = Connection("", 5.0), Connection("")
    assert close_overdue(late, [make_pool(late, idle)]) == ""
    assert late.closed and not idle.closed


def test_only_an_owner_can_be_silent():
    direct, late = Connection("", 5.0), Connection("n1", 5.0)
    assert not is_silent(direct, [make_pool(direct)])
    assert is_silent(late, [make_pool(late)])
    assert not is_silent(
        late, [make_pool(late, Connection("n1", last_received_at=5.1))]
    )


def test_an_owner_that_has_answered_elsewhere_is_kept():
    """Its database hangs, and the few statements sent there get no answer."""
    late, idle = Connection("n1", 5.0), Connection("n1")
    pools = [make_pool(late, idle)]
    answered_at = {"n1": 5.2}
    assert not is_silent(late, pools, lambda name, since: answered_at[name] > since)
    assert (
        close_overdue(late, pools, lambda name, since: answered_at[name] > since) == ""
    )
    assert late.closed and not idle.closed
    answered_at["n1"] = 4.9
    assert is_silent(late, pools, lambda name, since: answered_at[name] > since)
