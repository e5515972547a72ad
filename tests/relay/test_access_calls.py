"""Random calls of `DatabaseAccess`: in the end no connection or count is left over."""

import math
import random
from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused, PoolRefused
from beryltrack.connections.task import PoolTask
from beryltrack.daemon.node_options import ACCOUNT_POOLS, POOLS
from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS
from beryltrack.load.gate import GateDecider
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import SharedCapacity
from beryltrack.load.messages import Demand
from beryltrack.load.policy import LoadPolicy
from beryltrack.relay.access import DatabaseAccess
from tests.connections.fake_target import FakeTarget
from tests.connections.test_task import DATABASE

MAX_OPENED = 50
"""Connections that a pool of four opens at one moment only in an endless loop."""


class Site:
    """An owner of a database with operations that a seed chooses."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.target = FakeTarget(at_once=False)
        self.gates, self.asked, self.ended = [], [], []
        self.held, self.running = [], {}
        self.counted = self.ran = 0
        policy = self.rng.choice((POOLS, ACCOUNT_POOLS))
        connect = self.target.connect
        pool = PoolTask(self.clock, DATABASE, connect, policy, limit=4, rng=self.rng)
        self.access = DatabaseAccess(
            pool,
            None,
            lambda account: "",
            self.admit,
            self.refund,
            seconds=self.clock.seconds,
            make_gate=self.make_gate,
        )

    def make_gate(self):
        policy = LoadPolicy(is_limited=self.rng.random() < 0.8)
        self.gates.append(GateTask(self.clock, GateDecider(policy, self.rng, 1)))
        return self.gates[-1]

    def admit(self, account):
        if self.rng.random() < 0.1:
            return 0.1
        self.counted += 1
        return 0.0

    def refund(self, account):
        self.counted -= 1

    def ask(self):
        rng = self.rng
        aim, left = rng.choice((0.1, 0.6, math.inf)), rng.choice((0.1, 1.0, 4.0))
        demand = Demand(rng.randint(0, 3), aim, left, rng.choice("abc"))
        deadline = self.clock.seconds() + rng.choice((0.1, 0.5, 4.0))
        asked = self.access.acquire(deadline, demand)
        self.asked.append(asked)
        asked.addCallbacks(self.held.append, self.check_refused)
        asked.addBoth(self.ended.append)

    def check_refused(self, failure):
        failure.trap(PoolRefused, CancelledError)

    def cancel_one(self):
        if self.asked:
            self.rng.choice(self.asked).cancel()

    def open(self):
        if self.target.pending and self.rng.random() < 0.8:
            self.target.finish_one()
        elif self.target.pending:
            state = self.rng.choice((CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS))
            self.target.pending.pop(0).errback(ConnectRefused(state))

    def run(self):
        """Send a statement on a held connection, or end the one that runs there."""
        if not self.held:
            return
        held, now, rng = self.rng.choice(self.held), self.clock.seconds(), self.rng
        observer = getattr(held, "observer", None)
        if held not in self.running:
            self.running[held] = now
            if observer:
                observer.observe_start()
            return
        states = (None, None, None, TOO_MANY_CONNECTIONS, "22000")
        state, is_lost = rng.choice(states), rng.random() < 0.1
        error = SimpleNamespace(sqlstate=state) if state else None
        end = Failure(ConnectionError()) if is_lost else SimpleNamespace(error=error)
        if observer:
            observer.observe_end(now - self.running[held], end)
        del self.running[held]
        held.broken = is_lost
        if is_lost or rng.random() < 0.7:
            self.release(held, not is_lost, rng.random() < 0.9)

    def release(self, held, is_reusable=True, has_run=True):
        self.held.remove(held)
        self.running.pop(held, None)
        self.ran += has_run
        self.access.release(held, is_reusable, has_run)

    def change_access(self):
        """Change the bounds, limit or state of the access, or lose the database."""
        rng, access = self.rng, self.access
        capacity = SharedCapacity(
            rng.randint(1, 4), rng.randint(1, 4), rng.randint(1, 4)
        )
        rng.choice(
            (
                lambda: access.set_capacity(capacity),
                lambda: access.set_capacity(None),
                lambda: access.set_limit(rng.randint(0, 4)),
                access.break_connections,
                access.drain,
                access.resume,
            )
        )()

    def finish_all(self):
        """Serve all operations that are left."""
        self.access.resume()
        self.access.set_limit(2)
        for _ in range(200):
            for _ in range(MAX_OPENED):
                if self.target.pending:
                    self.target.finish_one()
            assert not self.target.pending
            while self.held:
                self.release(self.held[0])
            self.clock.advance(0.05)


@pytest.mark.parametrize("seed", range(20))
def test_ended_operations_release_places_and_counts(seed):
    site = Site(seed)
    site.access.set_capacity(SharedCapacity(2, 2, 3))
    calls = (site.ask, site.cancel_one, site.open, site.run, site.change_access)
    for _ in range(400):
        site.rng.choices(calls, (8, 1, 4, 6, 1))[0]()
        site.clock.advance(site.rng.choice((0.0, 0.001, 0.02, 0.1)))
    site.finish_all()
    assert len(site.ended) == len(site.asked) and set(site.ended) == {None}
    assert site.counted == site.ran and site.access.outstanding == 0
    assert not (site.access._checkouts or site.access._gated._operations)
    for gate in site.gates:
        assert gate.waiting == 0 and gate.get_report().running == 0
        assert not (gate._waiters or gate._decider._time_spent)
