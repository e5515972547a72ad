"""Routing where databases check the required position themselves."""

from beryltrack.groups.lagging import Lag
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.routing.decider import RoutingPolicy, choose_target
from beryltrack.routing.messages import (
    NeedSample,
    ReadRequest,
    Refuse,
    UseTarget,
    WriteRequest,
)
from beryltrack.sessions.request_options import READS_PRIMARY

POLICY = RoutingPolicy(max_wait=0.0, checks_positions=True)
OLD, NEW = LogPosition(1, 5), LogPosition(1, 9)


def make_view(**replica):
    primary = DatabaseView("a", PRIMARY, 1, NEW, NEW, reachable=True, seen_at=10.0)
    other = DatabaseView("b", term=1, received=OLD, applied=OLD, reachable=True)
    databases = (primary, other._replace(**replica))
    return GroupView("main", 1, "a", NEW, 10.0, databases)


def make_read(**changes):
    return ReadRequest(10.0, LogPosition(0, 0), 1.5, needed=NEW)._replace(**changes)


def choose(view, request, now=10.0):
    return choose_target(view, request, (), now, POLICY)


def test_a_replica_is_tried_with_the_position_it_must_show():
    assert choose(make_view(), make_read()) == UseTarget("b", True, False, NEW)


def test_the_required_position_includes_the_sessions_writes():
    token = LogPosition(1, 12)
    found = choose(make_view(), make_read(token=token, written_at=5.0))
    assert found.after == token


def test_just_after_a_write_of_the_session_the_primary_serves():
    request = make_read(token=LogPosition(1, 12), written_at=9.9)
    assert choose(make_view(), request).database == "a"


def test_a_replica_that_was_behind_is_not_tried_for_a_while():
    view = make_view(lag=Lag(9.9, 9.9, NEW))
    assert choose(view, make_read()).database == "a"
    assert choose(view, make_read(), 10.5).database == "b"


def test_a_replica_known_to_have_applied_the_position_always_serves():
    view = make_view(lag=Lag(9.9, 9.9, NEW), applied=NEW)
    assert choose(view, make_read(written_at=9.99)).database == "b"


def test_without_a_proof_the_primary_is_sampled_first():
    view = make_view()._replace(confirmed_at=5.0)
    assert isinstance(choose(view, make_read(needed=None)), NeedSample)


CONFIRMING = POLICY._replace(samples_position=False)


def test_where_other_databases_confirm_the_term_no_position_is_sampled():
    read = ReadRequest(10.0, None, 0.0, READS_PRIMARY, deadline=11.0)
    view = make_view()._replace(confirmed_at=9.0)
    choice = choose_target(view, read, (), 10.0, CONFIRMING)
    assert choice == NeedSample(1.0, False)
    write = choose_target(view, WriteRequest(10.0), (), 10.0, CONFIRMING)
    assert write == NeedSample(1.0, False)


def test_a_term_confirmed_after_the_arrival_lets_a_read_run_at_the_primary():
    read = ReadRequest(10.0, None, 0.0, READS_PRIMARY, deadline=11.0)
    choice = choose_target(make_view(), read, (), 10.01, CONFIRMING)
    assert choice == UseTarget("a", False, after=NEW)


def test_the_primary_too_must_show_its_last_known_position():
    """Guards against reads at a primary that restarted empty after its last status."""
    view = make_view()._replace(confirmed_at=10.0)
    read = make_read(reads=READS_PRIMARY, max_age=0.0, token=None)
    assert choose(view, read) == UseTarget("a", False, False, NEW)


LOST = make_view()._replace(
    databases=(
        make_view().databases[0]._replace(reachable=False),
        *make_view().databases[1:],
    )
)


def test_no_proof_is_requested_for_a_write_while_the_primary_is_unreachable():
    """Each waiting write requested a proof every 25 ms while a primary was lost."""
    choice = choose_target(LOST, WriteRequest(10.0), (), 10.0, CONFIRMING)
    assert isinstance(choice, Refuse)


def test_a_read_requests_one_proof_that_may_let_a_replica_serve_it():
    read = make_read(needed=None, deadline=11.0)
    lost = LOST._replace(confirmed_at=5.0)
    assert isinstance(choose_target(lost, read, (), 10.0, CONFIRMING), NeedSample)
    tried = read._replace(tried_proof=True)
    assert isinstance(choose_target(lost, tried, (), 10.0, CONFIRMING), Refuse)
    # The primary is reachable again, so a proof can help again.
    back = make_view()._replace(confirmed_at=5.0)
    assert isinstance(choose_target(back, tried, (), 10.0, CONFIRMING), NeedSample)


def test_where_primaries_are_sampled_a_write_waits_for_the_next_primary():
    choice = choose_target(LOST, WriteRequest(10.0), (), 10.0, POLICY)
    assert isinstance(choice, NeedSample)


RELAYED = POLICY._replace(runs_unproven=True)
CURRENT = ReadRequest(10.0, None, 0.0, READS_PRIMARY, may_run_unproven=True)


def test_a_forwarded_read_runs_in_parallel_with_the_proof_of_the_lead():
    view = make_view()._replace(confirmed_at=9.8)
    found = choose_target(view, CURRENT, (), 10.0, RELAYED)
    assert found == UseTarget("a", False, False, NEW, needs_proof=True)


def test_the_proof_comes_first_without_forwarding_or_a_recent_confirmation():
    lately = make_view()._replace(confirmed_at=9.8)
    long_ago = make_view()._replace(confirmed_at=9.0)
    newer = CURRENT._replace(token=LogPosition(2, 1))
    alone = CURRENT._replace(may_run_unproven=False)
    cases = [(long_ago, CURRENT), (lately, newer), (lately, alone)]
    for view, request in cases:
        assert isinstance(choose_target(view, request, (), 10.0, RELAYED), NeedSample)
    assert isinstance(choose(lately, CURRENT), NeedSample)


def test_with_a_sample_no_further_proof_is_needed():
    read = CURRENT._replace(sample=NEW)
    assert not choose_target(make_view(), read, (), 10.0, RELAYED).needs_proof
