"""One proxy's handling of member states: precedence, suspicion, expiry."""

from beryltrack.peers.membership import MembershipDecider
from beryltrack.peers.messages import Member
from tests.peers.network import make_instance


def make_member(name="b", state="joined", incarnation=1):
    return Member(name, "127.0.0.1", 1, "z", state, incarnation)


def make_decider(*members):
    decider = MembershipDecider(make_member("a"))
    for member in members:
        decider.observe_member(member, 0.0)
    return decider


def get_state(decider, name="b"):
    return decider.get_member(name).state


def test_states_win_by_incarnation_then_rank_in_any_order():
    states = [make_member(state="suspected"), make_member(), make_member(incarnation=2)]
    for order in (states, states[::-1]):
        assert make_decider(*order).get_member("b") == make_member(incarnation=2)


def test_an_unrefuted_suspicion_ends_in_death():
    decider = make_decider(make_member())
    assert decider.suspect("b", 10.0) == (make_member(state="suspected"),)
    assert decider.suspect("b", 10.5) == ()
    assert decider.handle_timeouts(11.9).changed == ()
    assert decider.handle_timeouts(12.0).changed == (make_member(state="dead"),)


def test_a_refutation_in_time_ends_the_suspicion():
    decider = make_decider(make_member())
    decider.suspect("b", 10.0)
    decider.observe_member(make_member(incarnation=2), 11.0)
    assert decider.handle_timeouts(20.0).changed == ()
    assert decider.has_refuted_recently("b", 20.0)


def test_dead_members_expire_and_are_not_added_again():
    decider = make_decider(make_member(state="suspected"))
    decider.handle_timeouts(2.0)
    assert decider.handle_timeouts(4000.0).expired == ("b",)
    assert not decider.observe_member(make_member(state="dead"), 4001.0).accepted
    assert decider.observe_member(make_member(), 4001.0).accepted


def test_refutations_between_two_processes_of_one_name_are_rate_limited():
    decider = make_decider()
    refutations = [
        decider.observe_member(
            make_member("a", "suspected", step), step / 1000
        ).refutations
        for step in range(1, 1001)
    ]
    assert sum(map(len, refutations)) == 4
    assert decider.handle_timeouts(2.0).changed == (make_member("a", incarnation=1001),)
    assert decider.handle_timeouts(3.0).changed == ()


def test_a_listed_leaving_state_of_an_earlier_process_is_ignored():
    decider = make_decider(make_member())
    leaving = [make_instance("n1", "leaving")]
    leaving[0].name = "b"
    assert decider.observe_instances(leaving, 1.0) == ()
    assert decider.observe_instances(leaving, 61.0) == (make_member(state="leaving"),)


def test_listed_instances_are_contacts_until_they_leave_the_list():
    decider = make_decider()
    decider.observe_instances(
        [make_instance("n1"), make_instance("n2", "leaving")], 0.0
    )
    assert [get_state(decider, name) for name in ("n1", "n2")] == ["listed", "listed"]
    decider.observe_instances([], 1.0)
    assert decider.members == (make_member("a"),)
