"""No order of messages, pauses, cuts and restarts lets an account exceed its limit.

A fleet of instances in simulated time. Each lends its share to the owner to which it
sends the account's operations, and may choose another owner at any moment. Messages are
late or lost, links end on one side before the other, processes pause and restart. The
account asks for far more than its limit at all owners. Each window of five seconds is
checked.
"""

import math
import random
from collections import deque

import pytest

from beryltrack.accounts.lending import LOAN_TIME
from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.quota import Tolerance
from beryltrack.accounts.slots import get_slot
from beryltrack_bench.quota.lender import Lender
from tests.accounts.network import Network

WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20.0
ACCOUNT = AccountSettings("hot", frozenset(), 400.0, 60.0)
BOUND = (ACCOUNT.rate * WINDOW + ACCOUNT.burst) * (1 + OVERAGE) + SLACK
STEP = 0.05


class Instance(Lender):
    """One process, which a test may pause or direct to another owner."""

    def __init__(self, fleet, name, is_new):
        self.fleet = fleet
        self.paused_until = 0.0
        self.target = fleet.get_target()
        offset = fleet.rng.uniform(0.0, 1e6)
        accounts, tolerance = {"hot": ACCOUNT}, Tolerance(OVERAGE, SLACK)
        super().__init__(fleet, name, fleet.names, accounts, tolerance, offset, is_new)

    def choose_owner(self, slot):
        return self.target

    def get_loan_end(self, link):
        if self.fleet.counts_from_receipt:
            return self.now + LOAN_TIME
        return super().get_loan_end(link)


class Fleet:
    """All instances, and the messages in flight between them."""

    def __init__(self, seed, count=8, owners=3, counts_from_receipt=False):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.delays, self.next_fault_at = (0.002,), 5.0
        self.names = [f"i{number}" for number in range(count)]
        self.owners = self.names[:owners]
        self.counts_from_receipt = counts_from_receipt
        self.in_flight = []
        self.spent = deque()
        self.max_in_window = 0
        self.by_owner = dict.fromkeys(self.owners, 0)
        self.served = 0
        self.cut_paths = set()
        self.instances = {name: Instance(self, name, True) for name in self.names}

    def get_target(self):
        """Return the name of the owner that an instance chooses at its start."""
        return self.rng.choice(self.owners) if self.now else self.owners[0]

    def send(self, source, target, action):
        """Send a message to this process, but to no later process of its name."""
        if (source, target.name) not in self.cut_paths:
            delay = self.rng.choice(self.delays)
            self.in_flight.append((self.now + delay, target, action))

    def deliver(self):
        due = [each for each in self.in_flight if each[0] <= self.now]
        self.in_flight = [each for each in self.in_flight if each[0] > self.now]
        for _, target, action in sorted(due, key=lambda each: each[0]):
            if self.now < target.paused_until:
                self.in_flight.append((target.paused_until, target, action))
            elif self.instances[target.name] is target:
                action()

    def inject_fault(self):
        """Inject a fault every few seconds, with recoveries in between."""
        if self.now < self.next_fault_at:
            return
        rng = self.rng
        self.next_fault_at = self.now + rng.uniform(0.3, 6.0)
        some = rng.sample(self.names, rng.randint(1, len(self.names)))
        old, new = rng.sample(self.owners, 2)
        match rng.randrange(7):
            case 0:
                self.move(some, new)
            case 1:
                self.instances[old].paused_until = self.now + rng.uniform(0.1, 6.0)
                self.move(some, new)
            case 2:
                self.restart(rng.choice(self.names))
            case 3:
                self.cut_paths |= {(each, old) for each in some}
                self.move(some, new)
            case 4:
                self.cut_paths |= {(old, each) for each in some}
            case 5:
                self.delays = (3.0,)
                self.next_fault_at = self.now + rng.uniform(0.3, 1.0)
            case 6:
                self.delays = (0.002,)
                self.cut_paths.clear()
                self.move(self.names, new)
                self.next_fault_at = self.now + 8.0

    def move(self, names, owner):
        """Make some instances send the account's operations to another owner."""
        for name in names:
            self.instances[name].target = owner

    def restart(self, name):
        """Restart a process; its lenders notice the end of their connections."""
        for each in self.instances.values():
            each.lending.observe_ended(name)
            each.links.pop(name, None)
            each.quota.shares.drop_loan(name, each.now)
        self.instances[name] = Instance(self, name, False)

    def step(self):
        self.now += STEP
        self.inject_fault()
        self.deliver()
        for instance in self.instances.values():
            if self.now < instance.paused_until:
                continue
            instance.tick()
        for name in self.owners:
            self.spend(self.instances[name])
        while self.spent and self.spent[0] <= self.now - WINDOW:
            self.spent.popleft()
        self.max_in_window = max(self.max_in_window, len(self.spent))

    def spend(self, owner):
        """Run what the account may run at one owner; it asks for far more."""
        if self.now < owner.paused_until:
            return
        for _ in range(math.ceil(ACCOUNT.rate * 4 * STEP)):
            if not owner.quota.spend("hot", owner.now):
                self.spent.append(self.now)
                self.served += 1
                self.by_owner[owner.name] += 1


class ZonedFleet(Fleet):
    """Each of three zones has an owner, which its instances use while it is reachable.

    Owners are lost, cut off, paused and resumed; the instances of a zone then use
    the owner of another zone, some earlier than others, and return later.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.zones = {
            name: self.owners[number % 3] for number, name in enumerate(self.names)
        }
        self.use_own_zone(self.names)

    def use_own_zone(self, names):
        """Make instances use the owner of their own zone."""
        for name in names:
            self.instances[name].target = self.zones[name]

    def restart(self, name):
        super().restart(name)
        self.use_own_zone([name])

    def inject_fault(self):
        """Inject a fault into an owner or a zone for some seconds."""
        if self.now < self.next_fault_at:
            return
        rng = self.rng
        self.next_fault_at = self.now + rng.uniform(0.3, 6.0)
        lost, other = rng.sample(self.owners, 2)
        zone = [name for name, owner in self.zones.items() if owner == lost]
        some = rng.sample(zone, rng.randint(1, len(zone)))
        match rng.randrange(6):
            case 0:
                self.restart(lost)
            case 1:
                self.instances[lost].paused_until = self.now + rng.uniform(0.1, 6.0)
                self.move(some, other)
            case 2:
                self.cut_paths |= {(each, lost) for each in some}
                self.move(some, other)
            case 3:
                self.cut_paths |= {(lost, each) for each in self.names}
                self.move(some, other)
            case 4:
                self.delays = (rng.uniform(0.3, 3.0),)
                self.next_fault_at = self.now + rng.uniform(0.3, 1.0)
            case 5:
                self.delays = (0.002,)
                self.cut_paths.clear()
                self.use_own_zone(self.names)
                self.next_fault_at = self.now + rng.uniform(0.3, 4.0)


@pytest.mark.parametrize("seed", range(6))
def test_no_five_seconds_exceed_the_limit(seed):
    fleet = Fleet(seed)
    for _ in range(int(45 / STEP)):
        fleet.step()
    assert fleet.max_in_window <= BOUND


@pytest.mark.parametrize("seed", range(6))
def test_no_five_seconds_exceed_the_limit_with_an_owner_in_each_zone(seed):
    fleet = ZonedFleet(seed)
    for _ in range(int(45 / STEP)):
        fleet.step()
    assert fleet.max_in_window <= BOUND
    assert all(fleet.by_owner.values())


def test_the_owners_of_the_zones_together_may_run_a_whole_limit():
    """Each has the shares of its zone's instances: three, three and two of eight."""
    fleet = ZonedFleet(1)
    fleet.inject_fault = lambda: None
    for _ in range(int(30 / STEP)):
        fleet.step()
    assert fleet.served >= 0.9 * ACCOUNT.rate * 30
    fractions = [each / fleet.served for each in fleet.by_owner.values()]
    assert fractions == pytest.approx([3 / 8, 3 / 8, 2 / 8], abs=0.05)


def test_without_faults_an_account_gets_its_whole_limit():
    fleet = Fleet(1)
    fleet.inject_fault = lambda: None
    for _ in range(int(30 / STEP)):
        fleet.step()
    assert fleet.served >= 0.9 * ACCOUNT.rate * 30


@pytest.mark.parametrize("counts_from_receipt", [False, True])
def test_a_loan_counted_from_its_receipt_is_detected(counts_from_receipt):
    """Offers are delayed for long, and their lenders choose another owner meanwhile."""
    fleet = Fleet(1, counts_from_receipt=counts_from_receipt)
    fleet.inject_fault = lambda: None
    for step in range(int(20 / STEP)):
        if step == int(10 / STEP):
            fleet.delays = (LOAN_TIME + 0.3,)
        elif step == int(10.5 / STEP):
            fleet.delays = (0.002,)
            fleet.move(fleet.names, fleet.owners[1])
        fleet.step()
    assert (fleet.max_in_window > BOUND) is counts_from_receipt


def test_the_slot_of_the_account_is_in_range():
    assert 0 <= get_slot("hot") < 64


class SpentNetwork(Network):
    """The product's own tasks, and an account that asks for far more at each instance.

    The store is unavailable, so that the member list does not change after a loss.
    """

    def __init__(self, seed):
        super().__init__(rate=ACCOUNT.rate, burst=ACCOUNT.burst, seed=seed)
        self.spent, self.max_in_window, self.max_share_sum = deque(), 0, 0.0

    def spend(self):
        """Run what the account may run; record the maxima of a window and of shares."""
        slot, total = get_slot("hot"), 0.0
        for each in self.instances.values():
            if each.is_lost or self.now < each.paused_until:
                continue
            total += each.get_share(slot)
            if self.rng.random() < 0.2:
                each.ask(slot)
            now = each.reactor.seconds()
            while not each.accounts.quota.spend("hot", now):
                self.spent.append(self.now)
        while self.spent and self.spent[0] <= self.now - WINDOW:
            self.spent.popleft()
        self.max_in_window = max(self.max_in_window, len(self.spent))
        self.max_share_sum = max(self.max_share_sum, total)

    def inject_fault(self, how):
        """Make the account's owner unavailable in some way for a while."""
        one = next(iter(self.instances.values())).directory
        owner = one.choose_account_owner("hot").name
        others = [name for name in self.instances if name != owner]
        some = self.rng.sample(others, self.rng.randint(1, len(others)))
        if how == "lost":
            self.instances[owner].is_lost = True
        elif how == "frozen":
            self.instances[owner].paused_until = self.now + self.rng.uniform(0.3, 4.0)
        elif how == "cut":
            self.cut_paths |= {(each, owner) for each in some}
        elif how == "unheard":
            self.cut_paths |= {(owner, each) for each in some}


@pytest.mark.parametrize("how", ["lost", "frozen", "cut", "unheard"])
@pytest.mark.parametrize("seed", range(3))
def test_an_avoided_owner_lets_no_account_exceed_its_limit(seed, how):
    network = SpentNetwork(seed)
    for _ in range(4):
        network.inject_fault(how)
        network.run(network.rng.uniform(0.5, 4.0), network.spend)
        network.cut_paths.clear()
        network.run(network.rng.uniform(0.5, 6.0), network.spend)
    assert network.max_in_window <= BOUND
    assert network.max_share_sum <= 1.0 + 1e-9
