"""Budgets: the sum of hard limits never exceeds the total, and all of it is usable."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from beryltrack.connections.budget import BudgetPolicy
from beryltrack.connections.loan_policy import LoanPolicy
from beryltrack.connections.seats import SeatPolicy
from tests.connections.budget_model import KEY, TOTAL, ModelSite


def make_site(count):
    site = ModelSite()
    for _ in range(count):
        site.join()
    site.settle(8.0)
    return site


def get_open(site):
    return sum(proxy.open for proxy in site.proxies.values())


def test_each_proxy_gets_a_seat_and_the_shares_add_up():
    site = make_site(3)
    assert all(len(p.decider.held_seats) == 1 for p in site.proxies.values())
    assert site.hard_limit_sum == TOTAL


def test_seats_without_a_proxy_are_taken_by_the_others():
    site = make_site(2)
    assert sorted(len(p.decider.held_seats) for p in site.proxies.values()) == [1, 2]
    assert site.hard_limit_sum == TOTAL


def test_a_proxy_with_two_seats_releases_one_for_a_new_proxy():
    site = make_site(2)
    site.join()
    site.settle(8.0)
    assert all(len(p.decider.held_seats) == 1 for p in site.proxies.values())


@pytest.mark.parametrize("count", [3, 4])
def test_unused_connections_are_lent_to_the_proxy_whose_callers_wait(count):
    site = make_site(count)
    proxy = site.proxies[f"p{count}"]
    proxy.work(50)
    site.settle(3.0)
    assert proxy.open == TOTAL
    site.settle(20.0)
    assert proxy.open == TOTAL


def test_a_lender_gets_its_share_back_when_it_needs_it():
    site = make_site(3)
    site.proxies["p1"].work(50)
    site.settle(3.0)
    site.proxies["p2"].work(2)
    site.proxies["p1"].work(50)
    site.settle(0.5)
    site.proxies["p1"].busy = 3
    site.settle(1.0)
    assert site.proxies["p2"].busy == 2
    assert get_open(site) == TOTAL


def test_no_seat_expires_while_the_store_is_unavailable():
    site = make_site(3)
    for step in range(200):
        site.now += 0.5
        for proxy in site.running:
            proxy.tick()
        assert site.hard_limit_sum == TOTAL, step


def test_the_seat_of_a_dead_proxy_is_taken_after_the_longest_loan():
    site = make_site(4)
    dead = next(p for p in site.proxies.values() if p.decider.held_seats)
    site.crash(dead.name)
    site.settle(5.0)
    assert site.hard_limit_sum < TOTAL
    site.settle(10.0)
    assert site.hard_limit_sum == TOTAL


def test_a_leaving_proxy_frees_its_seat_when_its_connections_are_closed():
    site = make_site(3)
    proxy = site.proxies["p1"]
    proxy.work(2)
    site.leaving.add("p1")
    proxy.perform(proxy.decider.leave(site.now))
    site.settle(1.0)
    assert proxy.decider.held_seats and proxy.busy == 2
    proxy.work(0)
    site.settle(1.0)
    assert not proxy.decider.held_seats
    site.settle(5.0)
    assert site.hard_limit_sum == TOTAL


def run_faults(site, rng, steps):
    """Run random faults and return the highest sum of hard limits."""
    most = 0
    for _ in range(steps):
        fault_step(site, rng)
        most = max(most, site.hard_limit_sum)
    return most


def fault_step(site, rng):
    site.now += rng.choice([0.0, 0.01, 0.1, 0.1, 0.7])
    running = site.running
    if running:
        proxy = rng.choice(running)
        proxy.tick()
        rng.choice([site.list_live, site.read_store, lambda p: None])(proxy)
        proxy.work(rng.choice([0, 0, 1, 3, 20]))
    for queue, act in (
        (site.messages, lambda i: site.deliver(i, keep=rng.random() < 0.1)),
        (site.writes, lambda i: site.write(i, rng.random() < 0.7)),
    ):
        if queue and rng.random() < 0.8:
            act(rng.randrange(len(queue)))
        if queue and rng.random() < 0.1:
            del queue[rng.randrange(len(queue))]
    if rng.random() < 0.02 and len(site.proxies) < 5:
        site.join()
    if rng.random() < 0.01 and site.proxies:
        site.crash(rng.choice(sorted(site.proxies)))
    if rng.random() < 0.03 and site.proxies:
        proxy = site.proxies[rng.choice(sorted(site.proxies))]
        proxy.paused = not proxy.paused


@pytest.mark.parametrize("seed", range(4))
def test_the_total_holds_under_random_faults(seed):
    site = ModelSite()
    assert run_faults(site, random.Random(seed), 1000) <= TOTAL
    for proxy in site.proxies.values():
        proxy.paused = False
    site.settle(20.0)
    assert site.hard_limit_sum == TOTAL or not site.proxies


def test_the_check_detects_loans_that_expire_earlier_at_the_lender():
    policy = BudgetPolicy(loans=LoanPolicy(margin=-1.5))
    most = (run_faults(ModelSite(policy), random.Random(s), 500) for s in range(9))
    assert any(limit_sum > TOTAL for limit_sum in most)


def run_restores(site, rng, steps):
    """Run random faults with a store that is restored from backups."""
    most = 0
    for _ in range(steps):
        fault_step(site, rng)
        if rng.random() < 0.05:
            site.make_backup()
        if rng.random() < 0.01:
            site.restore()
        if len(site.running) > 1:
            site.send_seats(*rng.sample(site.running, 2))
        most = max(most, site.hard_limit_sum)
    return most


def test_seats_that_a_restored_store_lost_have_one_holder_each():
    """A store that was restored from a backup shows held seats as free.

    Without eras the holder loses its share at once and a new proxy claims the seat;
    both use it if the holder learns of the restore later than the new proxy.
    """
    site = ModelSite()
    site.make_backup()
    for _ in range(3):
        site.join()
    site.settle(8.0)
    held = {name: each.decider.held_seats for name, each in site.proxies.items()}
    site.restore()
    newcomer = site.join()
    for _ in range(100):
        site.now += 0.05
        site.list_live(newcomer)
        site.read_store(newcomer)
        newcomer.tick()
        while site.writes:
            site.write(0, True)
        assert site.hard_limit_sum <= TOTAL
    site.settle(8.0)
    assert site.hard_limit_sum == TOTAL
    assert all(site.proxies[name].decider.held_seats == held[name] for name in held)
    assert not newcomer.decider.held_seats
    assert {each.decider.era for each in site.proxies.values()} == {1}
    site.crash("p2")
    site.settle(25.0)
    assert newcomer.decider.held_seats and site.hard_limit_sum == TOTAL


def test_a_seat_whose_release_the_store_lost_is_not_used_again():
    site = make_site(3)
    site.make_backup()
    leaver = site.proxies["p1"]
    site.leaving.add("p1")
    leaver.perform(leaver.decider.leave(site.now))
    site.settle(1.0)
    taker = site.join()
    site.settle(3.0)
    assert taker.decider.held_seats and not leaver.decider.held_seats
    site.restore()
    for _ in range(200):
        site.settle(0.05)
        assert site.hard_limit_sum <= TOTAL
    assert taker.decider.held_seats and not leaver.decider.held_seats
    assert site.hard_limit_sum == TOTAL


@pytest.mark.parametrize("seed", range(6))
def test_the_total_holds_while_the_store_is_restored_from_backups(seed):
    site = ModelSite()
    assert run_restores(site, random.Random(seed), 1000) <= TOTAL
    for proxy in site.proxies.values():
        proxy.paused = False
    site.settle(25.0)
    assert site.hard_limit_sum == TOTAL or not site.proxies


@pytest.mark.parametrize(["evict_after", "holds"], [(10.0, True), (0.0, False)])
def test_a_seat_is_freed_only_when_the_loans_of_its_dead_holder_have_ended(
    evict_after, holds
):
    site = ModelSite(BudgetPolicy(seats=SeatPolicy(evict_after=evict_after)))
    for _ in range(4):
        site.join()
    site.settle(4.0)
    borrower, lender = [p for p in site.proxies.values() if p.decider.held_seats][:2]
    borrower.work(50)
    site.settle(1.0)
    site.crash(lender.name)
    most = 0
    for _ in range(400):
        site.settle(0.05)
        most = max(most, site.hard_limit_sum)
    assert (most <= TOTAL) is holds
    assert site.hard_limit_sum == TOTAL


class BudgetMachine(RuleBasedStateMachine):
    """Any interleaving of messages, writes, pauses, crashes and joins."""

    index = st.integers(0, 30)
    proxy = st.integers(0, 4)

    @initialize()
    def begin(self):
        self.site = make_site(2)

    def pick(self, index):
        return self.site.running[index % len(self.site.running)]

    @rule(step=st.sampled_from([0.01, 0.2, 1.0, 2.1, 6.0]))
    def wait(self, step):
        self.site.now += step
        for proxy in self.site.running:
            proxy.tick()

    @precondition(lambda self: self.site.running)
    @rule(index=proxy, wish=st.sampled_from([0, 1, 3, 20]))
    def work(self, index, wish):
        self.pick(index).work(wish)

    @precondition(lambda self: self.site.messages)
    @rule(index=index, keep=st.booleans())
    def deliver(self, index, keep):
        self.site.deliver(index % len(self.site.messages), keep)

    @precondition(lambda self: self.site.messages)
    @rule(index=index)
    def lose(self, index):
        del self.site.messages[index % len(self.site.messages)]

    @precondition(lambda self: self.site.writes)
    @rule(index=index, answered=st.booleans())
    def write(self, index, answered):
        self.site.write(index % len(self.site.writes), answered)

    @precondition(lambda self: self.site.running)
    @rule(index=proxy)
    def learn(self, index):
        self.site.list_live(self.pick(index))
        self.site.read_store(self.pick(index))

    @precondition(lambda self: len(self.site.proxies) < 5)
    @rule()
    def join(self):
        self.site.join()

    @precondition(lambda self: self.site.proxies)
    @rule(index=proxy)
    def crash(self, index):
        names = list(self.site.proxies)
        self.site.crash(names[index % len(names)])

    @precondition(lambda self: self.site.proxies)
    @rule(index=proxy)
    def pause_or_resume(self, index):
        names = list(self.site.proxies)
        proxy = self.site.proxies[names[index % len(names)]]
        proxy.paused = not proxy.paused
        if not proxy.paused:
            proxy.tick()

    @rule()
    def make_backup(self):
        self.site.make_backup()

    @rule()
    def restore(self):
        self.site.restore()

    @precondition(lambda self: len(self.site.running) > 1)
    @rule(index=proxy, other=proxy)
    def send_seats(self, index, other):
        self.site.send_seats(self.pick(index), self.pick(other))

    @invariant()
    def the_total_is_never_exceeded(self):
        assert self.site.hard_limit_sum <= TOTAL

    @invariant()
    def no_running_proxy_exceeds_its_hard_limit(self):
        for proxy in self.site.running:
            proxy.tick()
            assert proxy.open <= proxy.decider.get_hard_limit(KEY, self.site.now)


BudgetMachine.TestCase.settings = settings(
    derandomize=True, max_examples=15, stateful_step_count=40, deadline=None
)
TestBudgetMachine = BudgetMachine.TestCase
