"""Seventy instances before one owner whose database is full, in simulated time."""

import heapq
import random
from itertools import count
from typing import NamedTuple

from beryltrack.load.ingress_admission import IngressAdmission, compute_retry_after
from beryltrack.load.messages import DatabaseReport, Demand
from beryltrack.load.owner_loads import ReportedOwnerLoads
from beryltrack.load.reports import TimedReport, is_uncongested, must_report

INSTANCES = 67
ARRIVALS = 30.0
"""Operations a second that reach each instance for the first time."""
TIME_LEFT = 0.5
RATE = 400.0
"""Operations a second that the database takes: a fifth of what arrives."""
WAY = 0.002
END = 4.0


class Arrival(NamedTuple):
    """An operation that reaches an instance, and how often its caller tries it."""

    instance: int
    tries: int = 4
    is_retry: bool = False


class Owner:
    """Serves in turn, and refuses what would wait for longer than its time."""

    def __init__(self, rate, incarnation=1, started_at=0.0):
        self.rate, self.incarnation, self.started_at = rate, incarnation, started_at
        self.free_at = 0.0
        self.busy_at = -1e9
        self.told = {}

    def ask(self, now):
        """Return when it answers, and if it served."""
        wait = max(0.0, self.free_at - now)
        is_served = wait <= TIME_LEFT
        if is_served:
            self.free_at = max(now, self.free_at) + 1 / self.rate
        return (self.free_at if is_served else now), is_served

    def report(self, instance, now):
        """Return what an answer tells, as an owner decides it."""
        wait = max(0.0, self.free_at - now)
        report = DatabaseReport(4, 4 if wait else 1, (wait,), 0.01, self.incarnation)
        at = now - self.started_at
        if not is_uncongested(report):
            self.busy_at = at
        if not must_report(report, self.told.get(instance), self.busy_at, at):
            return None
        self.told[instance] = TimedReport(report, at)
        return self.told[instance]


class Storm:
    """Runs instances before an owner; it may be killed, and start again."""

    def __init__(self, has_front, seed=1, fails_at=END, back_at=END):
        self.rng = random.Random(seed)
        self.now, self.numbers = 0.0, count()
        self.owner = Owner(RATE)
        self.fails_at, self.back_at = fails_at, back_at
        self.owner_loads = [
            ReportedOwnerLoads(lambda: self.now) for _ in range(INSTANCES)
        ]
        self.fronts = [IngressAdmission(each, self.rng) for each in self.owner_loads]
        self.has_front = has_front
        self.refused, self.asked, self.served = 0, [], []
        self.events = []

    def at(self, when, what, *words):
        heapq.heappush(self.events, (when, next(self.numbers), what, words))

    def run(self):
        for instance in range(INSTANCES):
            when = 0.0
            while when < END:
                when += self.rng.expovariate(ARRIVALS)
                self.at(when, self.arrive, Arrival(instance))
        self.at(self.back_at, self.start_again)
        while self.events[0][0] < END:
            self.now, _, what, words = heapq.heappop(self.events)
            what(*words)
        return self

    def start_again(self):
        self.owner = Owner(RATE, 2, self.now)

    def arrive(self, arrival):
        demand = Demand(1, 0.25, TIME_LEFT, is_retry=arrival.is_retry)
        decide = self.fronts[arrival.instance].decide
        wait = decide("owner", "db", demand, self.now) if self.has_front else 0.0
        if wait:
            self.refused += 1
            self.come_back(arrival, wait)
        elif not self.fails_at <= self.now < self.back_at:
            self.at(self.now + WAY, self.ask, arrival, self.now)

    def come_back(self, arrival, wait):
        if arrival.tries > 1:
            again = Arrival(arrival.instance, arrival.tries - 1, True)
            self.at(self.now + wait, self.arrive, again)

    def ask(self, arrival, sent_at):
        self.asked.append(self.now)
        owner = self.owner
        ends_at, is_served = owner.ask(self.now)
        if is_served:
            self.served.append(self.now)
        else:
            wait = compute_retry_after(owner.free_at - self.now, 1, self.rng)
            self.at(self.now + WAY, self.come_back, arrival, wait)
        self.at(ends_at, self.answer, owner, arrival.instance, sent_at)

    def answer(self, owner, instance, sent_at):
        if owner is not self.owner or self.fails_at <= self.now < self.back_at:
            return
        told = owner.report(instance, self.now)
        self.at(self.now + WAY, self.hear, owner, instance, told, sent_at)

    def hear(self, owner, instance, told, sent_at):
        owner_loads = self.owner_loads[instance]
        owner_loads.observe_owner("owner", owner.incarnation)
        if told is not None:
            owner_loads.observe("owner", "db", told, sent_at)


def test_a_full_owner_is_asked_by_few_and_serves_as_much():
    """Without refusals in front each caller asks again and again."""
    without, storm = Storm(False).run(), Storm(True).run()
    assert len(storm.asked) < 0.5 * len(without.asked)
    assert len(storm.served) > 0.95 * len(without.served)


def test_an_owner_that_is_killed_with_a_full_queue_serves_at_once_when_it_is_back():
    storm = Storm(True, fails_at=2.0, back_at=2.25).run()
    served = [each for each in storm.served if 2.25 <= each < 2.75]
    assert len(served) >= 0.9 * RATE * 0.5
