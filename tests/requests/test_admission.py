"""Admission control: the bound, the teams' shares, refusals and evictions."""

import random

from beryltrack.requests.admission import (
    AdmissionDecider,
    AdmissionPolicy,
    AdmissionReason,
    Admit,
    RefuseRequest,
)


def make_decider(most=4, **weights):
    policy = AdmissionPolicy(max_requests=most, min_requests=1, max_delay=0.05)
    return AdmissionDecider(policy, weights)


def admit_all(decider, team, numbers, now=0.0):
    return [a for n in numbers for a in decider.admit(n, team, now + 1.0, now)]


def get_reasons(actions):
    return [(a.request, a.reason) for a in actions if isinstance(a, RefuseRequest)]


def test_a_request_past_its_deadline_is_refused():
    actions = make_decider().admit(1, "a", 5.0, 5.0)
    assert get_reasons(actions) == [(1, AdmissionReason.EXPIRED)]


def test_one_team_may_use_the_whole_bound_without_competition():
    decider = make_decider()
    assert len(admit_all(decider, "a", range(4))) == 4
    actions = decider.admit(9, "a", 1.0, 0.0)
    assert get_reasons(actions) == [(9, AdmissionReason.OVERLOADED)]
    assert actions[0].retry_after > 0 and actions[0].sqlstate == "53300"


def test_a_team_below_its_share_evicts_the_newest_waiting_request():
    decider = make_decider()
    admit_all(decider, "a", range(4))
    actions = decider.admit(9, "b", 1.0, 0.0)
    assert get_reasons(actions) == [(3, AdmissionReason.TEAM_SHARE)]
    assert actions[-1] == Admit(9)
    assert decider.admitted_count == 4


def test_a_running_request_is_not_evicted():
    decider = make_decider()
    admit_all(decider, "a", range(4))
    for number in range(4):
        decider.start(number)
    actions = decider.admit(9, "b", 1.0, 0.0)
    assert get_reasons(actions) == [(9, AdmissionReason.OVERLOADED)]


def test_shares_follow_the_weights():
    decider = make_decider(most=8, a=1.0, b=3.0)
    admit_all(decider, "a", range(8))
    actions = admit_all(decider, "b", range(10, 20))
    assert decider.get_count("a") == 2 and decider.get_count("b") == 6
    assert get_reasons(actions)[-1] == (19, AdmissionReason.OVERLOADED)


def test_the_bound_shrinks_while_timers_are_late_and_grows_again():
    decider = make_decider(most=100)
    admit_all(decider, "a", range(50))
    for step in range(40):
        decider.observe_delay(0.2, float(step))
    assert decider.bound < 50
    for step in range(40, 80):
        decider.observe_delay(0.0, float(step))
    assert decider.bound == 100


def test_one_pause_of_the_process_does_not_shrink_the_bound():
    decider = make_decider(most=100)
    for step in range(50):
        decider.observe_delay(2.0 if step % 5 == 0 else 0.0, step * 0.1)
        assert decider.bound == 100


def test_counts_stay_right_in_any_order_of_events():
    rng, decider, admitted = random.Random(3), make_decider(most=6, b=2.0), {}
    for number in range(2000):
        team = rng.choice("abc")
        for action in decider.admit(number, team, 1e9, float(number)):
            if isinstance(action, Admit):
                admitted[action.request] = team
            else:
                admitted.pop(action.request, None)
        for request in rng.sample(
            sorted(admitted), min(len(admitted), rng.randrange(3))
        ):
            decider.start(request)
            if rng.random() < 0.5:
                decider.finish(request, float(number))
                del admitted[request]
        assert decider.admitted_count == len(admitted) <= 6
        counts = {team: list(admitted.values()).count(team) for team in "abc"}
        assert counts == {team: decider.get_count(team) for team in "abc"}
