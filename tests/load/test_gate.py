"""Admission, order, limit and refusals of a gate, without a reactor."""

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
    """An owner's gate with a limit of three statements."""

    def __init__(self, **policy):
        self.gate = GateDecider(LoadPolicy(**policy), random.Random(1), 7)
        self.gate.set_capacity(BOUNDS, 0.0)
        self.number = 0
        self.ran, self.refused = [], {}

    def take(self, actions):
        """Record what the gate decided."""
        self.ran += [each.operation for each in actions if isinstance(each, Run)]
        self.refused |= {
            each.operation: each for each in actions if isinstance(each, Refuse)
        }

    def ask(
        self, priority=0, now=0.0, latency=0.3, left=1.0, account="", count=1, **more
    ):
        """Submit operations; return the number of the last one."""
        for _ in range(count):
            self.number += 1
            demand = Demand(priority, latency, left, account, **more)
            self.take(self.gate.submit(self.number, demand, now))
        return self.number

    def end(self, number, now, seconds=WORK, outcome=ANSWERED):
        self.take(self.gate.finish(number, seconds, outcome, now))

    def learn(self, seconds=WORK):
        """Run a hundred operations, one after another."""
        for _ in range(100):
            self.end(self.ask(), 0.0, seconds)
        self.ran, self.refused = [], {}

    def serve(self, start, count, gap, seconds=WORK):
        """End the oldest running operation, again and again."""
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


def test_refusals_of_a_full_database_do_not_lower_the_mean_time(site):
    site.ask(count=3)
    for number in site.ran[:2]:
        site.end(number, 0.0, 0.0001, FULL)
    # The limit is halved to its minimum: two operations run, one waits.
    site.ask(count=2)
    assert site.gate.get_report(0.0).waits[0] == pytest.approx(WORK)


def test_operations_run_at_once_up_to_the_limit(site):
    site.ask(count=5)
    assert len(site.ran) == 3 and site.gate.waiting == 2 and not site.refused


def test_the_end_of_an_operation_starts_the_next_one(site):
    site.ask(count=4)
    site.end(site.ran[0], 0.01)
    assert len(site.ran) == 4


def test_a_burst_of_the_least_urgent_does_not_delay_the_most_urgent(site):
    site.ask(3, latency=0.6, left=4.0, count=500)
    urgent = site.ask(0)
    site.end(site.ran[0], 0.01)
    assert site.ran[-1] == urgent


def test_the_least_urgent_get_their_minimum_share_under_a_flood(site):
    site.ask(0, count=10)
    low = site.ask(3, latency=0.6, left=4.0)
    for turn in range(25):
        site.ask(0, now=turn * 0.003)
        site.end(site.ran[turn], turn * 0.003)
    assert low in site.ran


def test_a_past_flood_of_the_most_urgent_stops_counting_while_the_queue_is_empty():
    site = Site()
    site.gate.set_capacity(BOUNDS._replace(connections=3), 0.0)
    site.learn(0.1)
    site.ask(0, latency=5.0, left=10.0, count=8)
    for turn in range(400):
        site.ask(0, now=turn * 0.033, latency=5.0, left=10.0)
        site.serve(turn * 0.033, 1, 0.0, 0.1)
    site.serve(14.0, 8, 0.033, 0.1)
    assert not (site.gate.running or site.gate.waiting)
    # Each runs at once; the next one that waits is expected to wait for one statement.
    for turn in range(400):
        site.end(site.ask(3, now=15.0 + turn), 15.1 + turn, 0.1)
    low = site.ask(3, now=500.0, count=4)
    assert low not in site.refused and site.gate.waiting == 1


def test_a_busy_account_does_not_delay_others(site):
    site.ask(2, account="hot", count=60)
    others = [site.ask(2, account=name) for name in ("b", "c", "d")]
    site.serve(0.01, 5, 0.003)
    assert set(others) <= set(site.ran) and not set(others) & set(site.refused)


def test_an_account_that_fills_the_queue_is_evicted_for_others(site):
    site.ask(2, latency=1.0, left=4.0, account="hot", count=600)
    assert site.refused
    before = set(site.refused)
    other = site.ask(2, latency=1.0, left=4.0, account="calm")
    (evicted,) = set(site.refused) - before
    assert evicted != other and other not in site.ran


def test_displaced_reads_wait_behind_operations_that_no_replica_could_run(site):
    site.ask(1, count=30, is_displaced=True)
    own = site.ask(1)
    site.end(site.ran[0], 0.01)
    assert site.ran[-1] == own


def test_an_operation_that_would_miss_its_deadline_is_refused_on_arrival(site):
    site.ask(count=3)
    late = site.ask(latency=0.005, left=0.011)
    assert site.refused[late].reason is RefusalReason.TOO_LATE


def test_an_operation_with_too_long_an_expected_wait_is_refused_on_arrival(site):
    site.ask(latency=0.1, left=0.6, count=200)
    assert site.reasons() == {RefusalReason.QUEUE_FULL}
    # The longest wait is 0.15 s, a quarter of the time left; three run in 0.01 s.
    assert 35 <= site.gate.waiting <= 55


def test_a_full_queue_evicts_the_least_urgent_at_once(site):
    site.ask(3, latency=1.0, left=4.0, count=200)
    site.ask(2, latency=1.0, left=4.0, count=200)
    site.refused.clear()
    urgent = site.ask(0)
    (refusal,) = site.refused.values()
    assert refusal.operation != urgent and refusal.reason is RefusalReason.QUEUE_FULL
    assert refusal.operation not in site.ran


def test_a_queue_full_of_more_urgent_operations_refuses_the_new_one(site):
    site.ask(0, latency=1.0, left=4.0, count=400)
    site.refused.clear()
    low = site.ask(2, latency=1.0, left=4.0)
    assert list(site.refused) == [low]


def test_the_more_urgent_get_a_shorter_time_to_retry(site):
    for priority in (0, 1, 2, 3):
        site.ask(priority, latency=0.6, left=4.0, count=15)
    late = [site.ask(each, latency=0.0, left=0.011) for each in (0, 1, 2, 3)]
    waits = [site.refused[each].retry_after for each in late]
    assert waits == sorted(waits) and waits[0] < waits[3] / 2


def test_the_time_to_retry_is_that_in_which_the_queue_drains(site):
    site.ask(latency=0.6, left=4.0, count=63)
    late = site.ask(left=0.001)
    # Sixty wait, three run in 0.01 s.
    assert 0.2 <= site.refused[late].retry_after <= 0.31


def test_times_to_retry_are_spread(site):
    site.ask(latency=0.6, left=4.0, count=63)
    late = [site.ask(left=0.001) for _ in range(20)]
    assert len({site.refused[each].retry_after for each in late}) == 20


def test_a_slow_database_gets_fewer_statements_and_the_urgent_run_in_time(site):
    """Statements suddenly take eight times as long."""
    site.ask(3, latency=0.6, left=4.0, count=60)
    now = 0.0
    for _ in range(60):
        now += 0.045
        running = next(iter(site.gate._running), None)
        if running is None:
            break
        site.end(running, now, 8 * WORK)
        site.take(site.gate.tick(now))
        urgent = site.ask(0, now=now, latency=0.5)
        assert urgent not in site.refused
    assert site.gate.limit == 2
    # The least urgent are evicted: the queue drains within about a second.
    assert site.refused and site.gate.waiting * 8 * WORK / 2 <= 1.25


def test_operations_that_wait_for_a_hanging_database_are_refused(site):
    site.ask(2, latency=0.6, left=4.0, count=40)
    site.take(site.gate.tick(0.2))
    assert not site.refused
    for tick in range(5, 20):
        site.take(site.gate.tick(tick * 0.05))
    # Four probed whether it answers again, with a growing backoff.
    assert len(site.ran) == 3 + 4
    assert site.gate.waiting <= 4 and site.reasons() == {RefusalReason.QUEUE_FULL}


def test_a_database_that_loses_a_fifth_of_its_answers_serves_the_others(site):
    """Lost statements must not fill the limit of two.

    Each keeps its connection for 1.5 s, while the others take 10 ms.
    """
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


def test_overdue_statements_count_while_no_later_one_is_answered(site):
    site.learn()
    site.ask(count=4)
    site.take(site.gate.tick(0.09))
    assert len(site.ran) == 3
    site.end(site.ran[0], 0.2)
    # It started no later than the two overdue ones, which may still be answered too.
    assert len(site.ran) == 4 and site.gate.running == 3
    site.end(site.ran[3], 0.21)
    site.ask(now=0.22, count=4)
    assert site.gate.running == 2 + 3


def test_a_database_that_loses_answers_is_probed_by_one_statement(site):
    site.ask(count=8)
    for number in site.ran[:2]:
        site.end(number, 0.4, 0.4, LOST)
    site.end(site.ran[2], 0.41, 0.4, LOST)
    assert site.gate.limit == 1 and site.gate.running == 1


def test_a_refusal_of_a_full_database_lowers_the_limit_at_once(site):
    site.ask(count=8)
    site.end(site.ran[0], 0.01, None, FULL)
    assert site.gate.limit == 2 and site.gate.running == 2


def test_an_idle_transaction_does_not_count(site):
    site.ask(count=4)
    site.take(site.gate.end_statement(site.ran[0], WORK, ANSWERED, 0.01))
    assert len(site.ran) == 4 and site.gate.running == 3


def test_the_next_statement_of_a_transaction_starts_at_once_and_counts(site):
    site.ask(count=4)
    transaction = site.ran[0]
    site.take(site.gate.end_statement(transaction, WORK, ANSWERED, 0.01))
    assert site.gate.start_statement(transaction, 0.02) == []
    assert site.gate.running == 4
    site.ask(count=1)
    site.end(site.ran[1], 0.03)
    # One more ran than the limit, so that its end starts no other.
    assert len(site.ran) == 4 and site.gate.running == 3
    site.end(transaction, 0.04)
    assert len(site.ran) == 5


def test_the_end_of_an_idle_transaction_changes_nothing(site):
    site.ask(count=3)
    site.take(site.gate.end_statement(site.ran[0], WORK, ANSWERED, 0.01))
    site.end(site.ran[0], 0.02, None)
    assert site.gate.running == 2
    assert site.gate.start_statement(site.ran[0], 0.03) == [] and site.gate.running == 2


def test_a_cancelled_operation_does_not_run(site):
    waiting = site.ask(count=4)
    site.take(site.gate.cancel(waiting, 0.005))
    site.serve(0.01, 3, 0.001)
    assert waiting not in site.ran and site.gate.running == 0


def test_an_operation_without_a_connection_leaves_its_place(site):
    waiting = site.ask(count=4)
    site.take(site.gate.cancel(site.ran[0], 0.005))
    assert site.ran[-1] == waiting


def test_a_waiting_operation_is_refused_at_its_deadline(site):
    site.ask(count=3)
    waiting = site.ask(left=0.09)
    assert 0.0 < site.gate.get_wakeup(0.0) <= 0.09
    site.take(site.gate.tick(0.06))
    assert waiting not in site.refused
    site.take(site.gate.tick(0.09))
    assert site.refused[waiting].reason is RefusalReason.TOO_LATE
    assert site.gate.get_wakeup(0.09) is None


def test_without_early_refusals_operations_are_refused_at_their_deadlines():
    site = Site(refuses_early=False)
    site.learn()
    site.ask(latency=0.02, left=0.1, count=500)
    assert not site.refused
    site.take(site.gate.tick(0.099))
    assert not site.refused
    site.take(site.gate.tick(0.1))
    assert len(site.refused) == 497


def test_without_the_order_operations_run_as_they_arrived():
    site = Site(is_ordered=False)
    site.learn()
    numbers = [site.ask(each) for each in (3, 3, 3, 3, 2, 0)]
    site.serve(0.01, 3, 0.001)
    assert site.ran == numbers


def test_without_a_limit_all_connections_are_used():
    site = Site(is_limited=False)
    site.ask(count=12)
    assert len(site.ran) == 10


def test_while_nothing_runs_an_operation_is_admitted_whatever_the_mean(site):
    site.learn(seconds=3.0)
    assert site.ask(left=0.5) in site.ran


def test_admit_all_starts_all_waiting_operations(site):
    site.ask(count=9)
    site.take(site.gate.admit_all(0.01))
    assert len(site.ran) == 9 and site.gate.waiting == 0


def test_the_report_of_an_idle_database_has_no_wait(site):
    report = site.gate.get_report(0.0)
    assert (report.limit, report.running, report.incarnation) == (3, 0, 7)
    assert report.waits == (0.0, 0.0, 0.0, 0.0)
    assert report.service_time == pytest.approx(WORK)


def test_the_report_has_the_expected_wait_of_each_priority(site):
    site.ask(1, count=33)
    report = site.gate.get_report(0.0)
    assert report.running == 3
    # Thirty of priority 1 wait; priority 2 gets every tenth start.
    assert report.waits[0] < 0.005
    assert report.waits[1] == pytest.approx(31 * WORK / 3, rel=0.05)
    assert report.waits[2] == pytest.approx(10 * WORK / 3, rel=0.05)
    assert report.get_wait(9) == report.waits[3]


def test_before_the_first_statement_the_service_time_is_unknown():
    assert Site().gate.get_report(0.0).service_time == 0.0


def test_an_operation_without_a_target_latency_waits_as_long_as_in_the_pools(site):
    site.ask(latency=math.inf, left=2.0, count=400)
    assert 150 <= site.gate.waiting <= 190


def test_a_suspended_owner_refuses_what_has_expired_and_serves_on(site):
    site.ask(2, latency=0.3, left=1.0, count=40)
    site.take(site.gate.tick(5.0))
    assert site.gate.waiting == 0 and len(site.refused) == 37
    for number in tuple(site.ran):
        site.end(number, 5.0, 5.0)
    waiting = site.ask(2, now=5.0, count=20)
    assert waiting not in site.refused and site.gate.limit >= 2


def test_expired_operations_use_up_no_starts_of_their_priority(site):
    """A priority's minimum share is for its operations that can still run."""
    site.ask(0, latency=1.0, left=4.0, count=40)
    site.ask(1, left=0.3, count=4)
    able = site.ask(1, left=2.0, account="b")
    for turn in range(9):
        site.end(site.ran[turn], 0.299 + turn * 0.0001)
    assert able in site.ran
    assert len(site.refused) == 4
