"""A retry storm in simulated time: many instances send to one owner that is full.

Guards against callers whose retries fill the owner's time with refusals, and against
instances that keep refusing by the reports of a process that has been killed.
"""

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
"""Operations a second that arrive at each instance, without retries."""
TIME_LEFT = 0.5
RATE = 400.0
"""Operations a second that the database runs: a fifth of those that arrive."""
LATENCY = 0.002
"""Seconds that a message takes."""
END = 4.0


class Arrival(NamedTuple):
    """An operation that arrives at an instance, and its caller's remaining attempts."""

    instance: int
    attempts: int = 4
    is_retry: bool = False


class Owner:
    """Serves one operation at a time, and refuses those that would be too late."""

    def __init__(self, rate, incarnation=1, started_at=0.0):
        self.rate, self.incarnation, self.started_at = rate, incarnation, started_at
        self.free_at = 0.0
        self.busy_at = -1e9
        self.reported = {}

    def ask(self, now):
        """Return when it answers, and whether it serves the operation."""
        wait = max(0.0, self.free_at - now)
        is_served = wait <= TIME_LEFT
        if is_served:
            self.free_at = max(now, self.free_at) + 1 / self.rate
        return (self.free_at if is_served else now), is_served

    def report(self, instance, now):
        """Return the report that an answer carries, None without one."""
        wait = max(0.0, self.free_at - now)
        report = DatabaseReport(4, 4 if wait else 1, (wait,), 0.01, self.incarnation)
        at = now - self.started_at
        if not is_uncongested(report):
            self.busy_at = at
        if not must_report(report, self.reported.get(instance), self.busy_at, at):
            return None
        self.reported[instance] = TimedReport(report, at)
        return self.reported[instance]


class Storm:
    """Simulates instances and one owner, which may be killed and start again."""

    def __init__(self, has_ingress, seed=1, fails_at=END, back_at=END):
        self.rng = random.Random(seed)
        self.now, self.numbers = 0.0, count()
        self.owner = Owner(RATE)
        self.fails_at, self.back_at = fails_at, back_at
        self.owner_loads = [
            ReportedOwnerLoads(lambda: self.now) for _ in range(INSTANCES)
        ]
        self.ingress = [IngressAdmission(each, self.rng) for each in self.owner_loads]
        self.has_ingress = has_ingress
        self.refused, self.asked, self.served = 0, [], []
        self.events = []

    def schedule(self, when, callback, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), callback, arguments))

    def run(self):
        for instance in range(INSTANCES):
            when = 0.0
            while when < END:
                when += self.rng.expovariate(ARRIVALS)
                self.schedule(when, self.arrive, Arrival(instance))
        self.schedule(self.back_at, self.restart_owner)
        while self.events[0][0] < END:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        return self

    def restart_owner(self):
        self.owner = Owner(RATE, 2, self.now)

    def arrive(self, arrival):
        demand = Demand(1, 0.25, TIME_LEFT, is_retry=arrival.is_retry)
        decide = self.ingress[arrival.instance].decide
        wait = decide("owner", "db", demand, self.now) if self.has_ingress else 0.0
        if wait:
            self.refused += 1
            self.retry(arrival, wait)
        elif not self.fails_at <= self.now < self.back_at:
            self.schedule(self.now + LATENCY, self.ask, arrival, self.now)

    def retry(self, arrival, wait):
        if arrival.attempts > 1:
            again = Arrival(arrival.instance, arrival.attempts - 1, True)
            self.schedule(self.now + wait, self.arrive, again)

    def ask(self, arrival, sent_at):
        self.asked.append(self.now)
        owner = self.owner
        ends_at, is_served = owner.ask(self.now)
        if is_served:
            self.served.append(self.now)
        else:
            wait = compute_retry_after(owner.free_at - self.now, 1, self.rng)
            self.schedule(self.now + LATENCY, self.retry, arrival, wait)
        self.schedule(ends_at, self.answer, owner, arrival.instance, sent_at)

    def answer(self, owner, instance, sent_at):
        if owner is not self.owner or self.fails_at <= self.now < self.back_at:
            return
        timed = owner.report(instance, self.now)
        self.schedule(self.now + LATENCY, self.receive, owner, instance, timed, sent_at)

    def receive(self, owner, instance, timed, sent_at):
        owner_loads = self.owner_loads[instance]
        owner_loads.observe_owner("owner", owner.incarnation)
        if timed is not None:
            owner_loads.observe("owner", "db", timed, sent_at)


def test_ingress_admission_halves_the_requests_to_a_full_owner_that_serves_as_much():
    """Without it each caller asks the owner at each attempt."""
    without, storm = Storm(False).run(), Storm(True).run()
    assert len(storm.asked) < 0.5 * len(without.asked)
    assert len(storm.served) > 0.95 * len(without.served)


def test_an_owner_killed_with_a_full_queue_serves_as_soon_as_it_is_back():
    storm = Storm(True, fails_at=2.0, back_at=2.25).run()
    served = [each for each in storm.served if 2.25 <= each < 2.75]
    assert len(served) >= 0.9 * RATE * 0.5
