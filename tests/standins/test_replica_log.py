"""Terms, grants and replication in the log of a stand-in database."""

from beryltrack.groups.messages import LogPosition
from beryltrack_standins.database.replica_log import ReplicaLog


def make_primary(term=1):
    log = ReplicaLog("a")
    log.grant(term, "p", 0.0, 10.0)
    log.promote(term, "p")
    return log


def test_a_term_is_granted_to_one_candidate_only():
    log = ReplicaLog("a")
    assert log.grant(1, "p", 0.5, 10.0).granted
    assert not log.grant(1, "q", 0.5, 10.0).granted
    assert log.grant(1, "p", 0.5, 10.0).granted


def test_no_grant_while_the_primary_replicates():
    primary, replica = make_primary(), ReplicaLog("b")
    replica.receive(primary, 10.0)
    assert not replica.grant(2, "p", 0.5, 10.1).granted
    assert replica.grant(2, "p", 0.5, 10.6).granted


def test_replication_of_a_lower_term_is_refused():
    primary, replica = make_primary(), ReplicaLog("b")
    replica.grant(2, "p", 0.0, 10.0)
    assert not replica.receive(primary, 10.0)
    assert replica.received == LogPosition(0, 0)


def test_the_tail_of_a_former_primary_is_discarded():
    old, new = make_primary(), ReplicaLog("b")
    new.receive(old, 10.0)
    old.append(("lost",))
    new.grant(2, "p", 0.0, 11.0)
    new.promote(2, "p")
    assert old.receive(new, 11.0)
    assert old.entries == new.entries
    assert not old.can_write()
