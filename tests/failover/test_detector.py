"""How long no replica has heard the primary."""

from beryltrack.failover.detector import compute_primary_silence
from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.view import DatabaseView, GroupView

NOW = 10.0


def make_view(*databases):
    return GroupView("orders", 1, "a", databases=databases)


def test_silence_counts_from_when_any_reachable_replica_last_heard_the_primary():
    view = make_view(
        DatabaseView("a", PRIMARY, reachable=True, seen_at=9.9, heard_age=0.0),
        DatabaseView("b", reachable=True, seen_at=9.5, heard_age=0.5),
        DatabaseView("c", reachable=True, seen_at=9.75, heard_age=0.75),
        DatabaseView("d", reachable=False, seen_at=9.9, heard_age=0.0),
    )
    assert compute_primary_silence(view, NOW) == 1.0


def test_group_without_a_reachable_replica_has_no_known_silence():
    assert compute_primary_silence(make_view(DatabaseView("b")), NOW) == 0.0
