"""What runs at a database through one owner, by the load that it answers."""

import math
import random

import pytest

from beryltrack.connections.messages import RefusalReason
from beryltrack.load.gate import GateDecider
from beryltrack.load.limit import Outcome, SharedCapacity
from beryltrack.load.messages import Demand, Refuse, Run
from beryltrack.load.policy import LoadPolicy

BOUNDS = SharedCapacity(slots=4, owners=4, connections=10)
WORK = 0.01
ANSWERED, FULL, LOST = Outcome.ANSWERED, Outcome.FULL, Outcome.LOST


class Site:
    """A gate at an owner that lets three statements run."""

    def __init__(self, **policy):
        self.gate = GateDecider(LoadPolicy(**policy), random.Random(1), 7)
        self.gate.set_capacity(BOUNDS, 0.0)
        self.number = 0
        self.ran, self.refused = [], {}

    def take(self, actions):
        """Note what was decided."""
        self.ran += [each.operation for each in actions if isinstance(each, Run)]
        self.refused |= {
            each.operation: each for each in actions if isinstance(each, Refuse)
        }

    def ask(self, priority=0, now=0.0, aim=0.3, left=1.0, account="", count=1, **more):
        """Let operations come; return the number of the last one."""
        for _ in range(count):
            self.number += 1
            demand = Demand(priority, aim, left, account, **more)
            self.take(self.gate.submit(self.number, demand, now))
        return self.number

    def end(self, number, now, seconds=WORK, outcome=ANSWERED):
        self.take(self.gate.finish(number, seconds, outcome, now))

    def learn(self, seconds=WORK):
        """Let a hundred operations pass, one after another."""
        for _ in range(100):
            self.end(self.ask(), 0.0, seconds)
        self.ran, self.refused = [], {}

    def serve(self, start, count, gap, seconds=WORK):
        """End the operation that runs for longest, again and again."""
        for turn in range(count):
            now = start + turn * gap
            self.end(next(iter(self.gate._running)), now, seconds)

    def reasons(self):
        return {each.reason for each in self.refused.values()}


@pytest.fixture
def site():
    made = Site()
    made.learn()
    return made


def test_refusals_of_a_full_database_do_not_make_operations_look_short(site):
    site.ask(count=3)
    for number in site.ran[:2]:
        site.end(number, 0.0, 0.0001, FULL)
    # Half of the limit is left, the least one: two operations run, one waits.
    site.ask(count=2)
    assert site.gate.get_report(0.0).waits[0] == pytest.approx(WORK)


def test_operations_run_at_once_up_to_the_limit(site):
    site.ask(count=5)
    assert len(site.ran) == 3 and site.gate.waiting == 2 and not site.refused


def test_one_that_ends_lets_the_next_one_run(site):
    site.ask(count=4)
    site.end(site.ran[0], 0.01)
    assert len(site.ran) == 4


def test_a_burst_of_the_least_urgent_does_not_put_back_the_most_urgent(site):
    site.ask(3, aim=0.6, left=4.0, count=500)
    urgent = site.ask(0)
    site.end(site.ran[0], 0.01)
    assert site.ran[-1] == urgent


def test_the_least_urgent_get_their_floor_under_a_flood_of_the_most_urgent(site):
    site.ask(0, count=10)
    low = site.ask(3, aim=0.6, left=4.0)
    for turn in range(25):
        site.ask(0, now=turn * 0.003)
        site.end(site.ran[turn], turn * 0.003)
    assert low in site.ran


def test_a_flood_of_the_most_urgent_is_forgotten_once_nobody_waits():
    site = Site()
    site.gate.set_capacity(BOUNDS._replace(connections=3), 0.0)
    site.learn(0.1)
    site.ask(0, aim=5.0, left=10.0, count=8)
    for turn in range(400):
        site.ask(0, now=turn * 0.033, aim=5.0, left=10.0)
        site.serve(turn * 0.033, 1, 0.0, 0.1)
    site.serve(14.0, 8, 0.033, 0.1)
    assert not (site.gate.running or site.gate.waiting)
    # Each runs at once, so that the one that has to wait waits for one statement.
    for turn in range(400):
        site.end(site.ask(3, now=15.0 + turn), 15.1 + turn, 0.1)
    low = site.ask(3, now=500.0, count=4)
    assert low not in site.refused and site.gate.waiting == 1


def test_one_hot_account_waits_behind_its_own(site):
    site.ask(2, account="hot", count=60)
    calm = [site.ask(2, account=name) for name in ("b", "c", "d")]
    site.serve(0.01, 5, 0.003)
    assert set(calm) <= set(site.ran) and not set(calm) & set(site.refused)


def test_a_hot_account_that_fills_the_queue_makes_room_for_others(site):
    site.ask(2, aim=1.0, left=4.0, account="hot", count=600)
    assert site.refused
    before = set(site.refused)
    calm = site.ask(2, aim=1.0, left=4.0, account="calm")
    (put_out,) = set(site.refused) - before
    assert put_out != calm and calm not in site.ran


def test_a_flood_of_displaced_reads_waits_behind_what_only_this_one_can_run(site):
    site.ask(1, count=30, is_displaced=True)
    own = site.ask(1)
    site.end(site.ran[0], 0.01)
    assert site.ran[-1] == own


def test_what_cannot_be_done_in_time_is_refused_at_once(site):
    site.ask(count=3)
    late = site.ask(aim=0.005, left=0.011)
    assert site.refused[late].reason is RefusalReason.TOO_LATE


def test_what_would_wait_too_long_for_its_aim_is_refused_at_once(site):
    site.ask(aim=0.1, left=0.6, count=200)
    assert site.reasons() == {RefusalReason.QUEUE_FULL}
    # Of 0.15 s, a quarter of the time left, three run in 0.01 s.
    assert 35 <= site.gate.waiting <= 55


def test_a_full_queue_puts_out_the_least_urgent_and_tells_it_at_once(site):
    site.ask(3, aim=1.0, left=4.0, count=200)
    site.ask(2, aim=1.0, left=4.0, count=200)
    site.refused.clear()
    urgent = site.ask(0)
    (refusal,) = site.refused.values()
    assert refusal.operation != urgent and refusal.reason is RefusalReason.QUEUE_FULL
    assert refusal.operation not in site.ran


def test_when_the_queue_is_full_only_of_more_urgent_ones_the_new_one_goes(site):
    site.ask(0, aim=1.0, left=4.0, count=400)
    site.refused.clear()
    low = site.ask(2, aim=1.0, left=4.0)
    assert list(site.refused) == [low]


def test_the_more_urgent_come_back_sooner(site):
    for priority in (0, 1, 2, 3):
        site.ask(priority, aim=0.6, left=4.0, count=15)
    late = [site.ask(each, aim=0.0, left=0.011) for each in (0, 1, 2, 3)]
    waits = [site.refused[each].retry_after for each in late]
    assert waits == sorted(waits) and waits[0] < waits[3] / 2


def test_the_time_to_come_back_is_that_in_which_the_queue_drains(site):
    site.ask(aim=0.6, left=4.0, count=63)
    late = site.ask(left=0.001)
    # Sixty wait, three run in 0.01 s.
    assert 0.2 <= site.refused[late].retry_after <= 0.31


def test_times_to_come_back_are_spread(site):
    site.ask(aim=0.6, left=4.0, count=63)
    late = [site.ask(left=0.001) for _ in range(20)]
    assert len({site.refused[each].retry_after for each in late}) == 20


def test_a_slow_database_is_given_fewer_and_the_urgent_still_run_in_time(site):
    """Statements take eight times as long from one moment on."""
    site.ask(3, aim=0.6, left=4.0, count=60)
    now = 0.0
    for _ in range(60):
        now += 0.045
        running = next(iter(site.gate._running), None)
        if running is None:
            break
        site.end(running, now, 8 * WORK)
        site.take(site.gate.tick(now))
        urgent = site.ask(0, now=now, aim=0.5)
        assert urgent not in site.refused
    assert site.gate.limit == 2
    # The least urgent made room: what waits is done within about a second.
    assert site.refused and site.gate.waiting * 8 * WORK / 2 <= 1.25


def test_behind_a_database_that_hangs_those_that_wait_are_told_so(site):
    site.ask(2, aim=0.6, left=4.0, count=40)
    site.take(site.gate.tick(0.2))
    assert not site.refused
    for tick in range(5, 20):
        site.take(site.gate.tick(tick * 0.05))
    # Four found out whether it answers again, after pauses that grow.
    assert len(site.ran) == 3 + 4
    assert site.gate.waiting <= 4 and site.reasons() == {RefusalReason.QUEUE_FULL}


def test_a_database_that_loses_a_fifth_of_its_answers_serves_the_others(site):
    """Each lost one keeps its connection for 1.5 s; 10 ms of work on two places."""
    site.learn()
    for turn in range(200):
        site.take(site.gate.tick(turn / 100))
        site.ask(now=turn / 100)
        done = [n for n in site.gate._running if n % 5 and n in site.ran]
        for number in done:
            site.end(number, turn / 100 + WORK)
        lost = [n for n in site.gate._running if n % 5 == 0]
        for number in lost[:-7]:
            site.end(number, turn / 100 + WORK, 1.5, LOST)
    assert len(site.ran) >= 0.9 * 200 and len(site.refused) <= 0.1 * 200


def test_what_is_overdue_keeps_its_place_while_nothing_later_is_answered(site):
    site.learn()
    site.ask(count=4)
    site.take(site.gate.tick(0.09))
    assert len(site.ran) == 3
    site.end(site.ran[0], 0.2)
    # It began no later than the two that are overdue: they may run as well as it did.
    assert len(site.ran) == 4 and site.gate.running == 3
    site.end(site.ran[3], 0.21)
    site.ask(now=0.22, count=4)
    assert site.gate.running == 2 + 3


def test_a_database_that_loses_answers_is_probed_by_one(site):
    site.ask(count=8)
    for number in site.ran[:2]:
        site.end(number, 0.4, 0.4, LOST)
    site.end(site.ran[2], 0.41, 0.4, LOST)
    assert site.gate.limit == 1 and site.gate.running == 1


def test_a_database_that_says_full_is_given_fewer_at_once(site):
    site.ask(count=8)
    site.end(site.ran[0], 0.01, None, FULL)
    assert site.gate.limit == 2 and site.gate.running == 2


def test_a_transaction_that_rests_takes_no_room(site):
    site.ask(count=4)
    site.take(site.gate.end_statement(site.ran[0], WORK, ANSWERED, 0.01))
    assert len(site.ran) == 4 and site.gate.running == 3


def test_a_transaction_goes_on_at_once_and_counts(site):
    site.ask(count=4)
    transaction = site.ran[0]
    site.take(site.gate.end_statement(transaction, WORK, ANSWERED, 0.01))
    assert site.gate.start_statement(transaction, 0.02) == []
    assert site.gate.running == 4
    site.ask(count=1)
    site.end(site.ran[1], 0.03)
    # One more ran than may: its room is not given on.
    assert len(site.ran) == 4 and site.gate.running == 3
    site.end(transaction, 0.04)
    assert len(site.ran) == 5


def test_the_end_of_a_transaction_that_rests_changes_nothing(site):
    site.ask(count=3)
    site.take(site.gate.end_statement(site.ran[0], WORK, ANSWERED, 0.01))
    site.end(site.ran[0], 0.02, None)
    assert site.gate.running == 2
    assert site.gate.start_statement(site.ran[0], 0.03) == [] and site.gate.running == 2


def test_one_that_is_cancelled_does_not_run(site):
    waiting = site.ask(count=4)
    site.take(site.gate.cancel(waiting, 0.005))
    site.serve(0.01, 3, 0.001)
    assert waiting not in site.ran and site.gate.running == 0


def test_one_that_got_no_connection_leaves_its_room(site):
    waiting = site.ask(count=4)
    site.take(site.gate.cancel(site.ran[0], 0.005))
    assert site.ran[-1] == waiting


def test_what_is_over_its_time_is_refused_while_it_waits(site):
    site.ask(count=3)
    waiting = site.ask(left=0.09)
    assert 0.0 < site.gate.get_wakeup(0.0) <= 0.09
    site.take(site.gate.tick(0.06))
    assert waiting not in site.refused
    site.take(site.gate.tick(0.09))
    assert site.refused[waiting].reason is RefusalReason.TOO_LATE
    assert site.gate.get_wakeup(0.09) is None


def test_without_early_refusals_only_what_is_over_its_time_is_refused():
    site = Site(refuses_early=False)
    site.learn()
    site.ask(aim=0.02, left=0.1, count=500)
    assert not site.refused
    site.take(site.gate.tick(0.099))
    assert not site.refused
    site.take(site.gate.tick(0.1))
    assert len(site.refused) == 497


def test_without_the_order_operations_run_as_they_came():
    site = Site(is_ordered=False)
    site.learn()
    numbers = [site.ask(each) for each in (3, 3, 3, 3, 2, 0)]
    site.serve(0.01, 3, 0.001)
    assert site.ran == numbers


def test_without_a_limit_all_connections_are_used():
    site = Site(is_limited=False)
    site.ask(count=12)
    assert len(site.ran) == 10


def test_while_nothing_runs_one_is_let_through_whatever_the_mean_says(site):
    site.learn(seconds=3.0)
    assert site.ask(left=0.5) in site.ran


def test_a_gate_that_opens_lets_all_run(site):
    site.ask(count=9)
    site.take(site.gate.admit_all(0.01))
    assert len(site.ran) == 9 and site.gate.waiting == 0


def test_the_report_of_an_idle_database_has_no_wait(site):
    report = site.gate.get_report(0.0)
    assert (report.limit, report.running, report.incarnation) == (3, 0, 7)
    assert report.waits == (0.0, 0.0, 0.0, 0.0)
    assert report.service_time == pytest.approx(WORK)


def test_the_report_tells_the_wait_of_each_priority(site):
    site.ask(1, count=33)
    report = site.gate.get_report(0.0)
    assert report.running == 3
    # Thirty of the second priority wait; the third one gets every tenth turn.
    assert report.waits[0] < 0.005
    assert report.waits[1] == pytest.approx(31 * WORK / 3, rel=0.05)
    assert report.waits[2] == pytest.approx(10 * WORK / 3, rel=0.05)
    assert report.get_wait(9) == report.waits[3]


def test_before_the_first_statement_the_usual_time_is_unknown():
    assert Site().gate.get_report(0.0).service_time == 0.0


def test_an_unknown_demand_waits_no_longer_than_in_the_pools(site):
    site.ask(aim=math.inf, left=2.0, count=400)
    assert 150 <= site.gate.waiting <= 190


def test_an_owner_that_was_frozen_refuses_what_is_over_and_serves_on(site):
    site.ask(2, aim=0.3, left=1.0, count=40)
    site.take(site.gate.tick(5.0))
    assert site.gate.waiting == 0 and len(site.refused) == 37
    for number in tuple(site.ran):
        site.end(number, 5.0, 5.0)
    waiting = site.ask(2, now=5.0, count=20)
    assert waiting not in site.refused and site.gate.limit >= 2


def test_what_is_refused_when_its_turn_comes_uses_up_no_turn(site):
    """The floor of a priority is for those of it that can still run."""
    site.ask(0, aim=1.0, left=4.0, count=40)
    site.ask(1, left=0.3, count=4)
    able = site.ask(1, left=2.0, account="b")
    for turn in range(9):
        site.end(site.ran[turn], 0.299 + turn * 0.0001)
    assert able in site.ran
    assert len(site.refused) == 4
