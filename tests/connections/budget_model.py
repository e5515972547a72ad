"""A model of proxies that share one database, with a store, a network and faults."""

import random

from beryltrack.connections.budget import BudgetDecider, BudgetPolicy
from beryltrack.connections.budget_messages import (
    BudgetedDatabase,
    BudgetPlan,
    DatabaseUse,
    LiveHolders,
    SeatRecord,
    SendToHolder,
    SetLimit,
    WriteSeat,
)
from beryltrack.objects.eras import get_era, get_revision, make_version

KEY = "g/d"
TOTAL = 7
PLAN = BudgetPlan(seats=3, max_owners=3)


class ModelProxy:
    """A proxy: its budget, and a pool that opens as much as its limit permits."""

    def __init__(self, site, name):
        self.site, self.name = site, name
        self.open = self.busy = self.wish = self.limit = self.hard_limit = 0
        self.paused = False
        self.decider = BudgetDecider(
            name, PLAN, self.read_use, random.Random(name), site.policy
        )
        self.perform(
            self.decider.set_databases([BudgetedDatabase(KEY, "g", TOTAL)], site.now)
        )

    def read_use(self, key):
        return DatabaseUse(self.open, self.busy, max(0, self.wish - self.busy))

    def perform(self, actions):
        for action in actions:
            match action:
                case SetLimit(_, limit, hard_limit):
                    self.limit, self.hard_limit = limit, hard_limit
                    self.fit()
                case SendToHolder(holder, message):
                    self.site.messages.append((self.name, holder, message))
                case WriteSeat():
                    self.site.writes.append((self.name, action))

    def fit(self):
        """Close idle connections beyond the limit, and any beyond the hard limit."""
        self.open = max(min(self.open, self.limit), min(self.open, self.busy))
        self.open = min(self.open, self.hard_limit)
        self.busy = min(self.busy, self.open)

    def work(self, wish):
        """Set the demand; open and hold as many connections as the limit allows."""
        self.wish = wish
        self.busy = min(self.busy, wish)
        room = TOTAL - sum(p.open for p in self.site.proxies.values())
        self.open = max(self.open, min(self.limit, wish, self.open + room))
        self.busy = max(self.busy, min(wish, self.open, self.limit))
        self.fit()
        self.perform(self.decider.observe_use(KEY, self.site.now))

    def tick(self):
        self.perform(self.decider.tick(self.site.now))

    def receive(self, sender, message):
        self.perform(self.decider.receive(sender, message, self.site.now))

    def learn(self, records, is_complete=False):
        self.perform(self.decider.observe_seats(records, is_complete, self.site.now))


class ModelSite:
    """All proxies, the messages between them, and the store."""

    def __init__(self, policy=BudgetPolicy()):  # noqa: B008
        self.policy = policy
        self.now = 0.0
        self.proxies = {}
        self.messages = []
        self.writes = []
        self.seats = {}
        self.era = 0
        self.backup = {}, 0
        self.revision = 0
        self.joined = 0
        self.leaving = set()

    @property
    def hard_limit_sum(self):
        proxies = self.proxies.values()
        return sum(p.decider.get_hard_limit(KEY, self.now) for p in proxies)

    @property
    def running(self):
        return [p for p in self.proxies.values() if not p.paused]

    def join(self):
        self.joined += 1
        name = f"p{self.joined}"
        self.proxies[name] = ModelProxy(self, name)
        return self.proxies[name]

    def crash(self, name):
        del self.proxies[name]

    def list_live(self, proxy):
        """Pass a proxy the instance list."""
        live = frozenset(self.proxies)
        eras = {name: each.decider.era for name, each in self.proxies.items()}
        holders = LiveHolders(live, frozenset(self.leaving), eras)
        proxy.decider.observe_live_holders(holders, self.now)

    def read_store(self, proxy):
        records = [self.see_seat(seat) for seat in range(PLAN.seats)]
        proxy.learn(records, True)

    def see_seat(self, seat):
        """Return a seat as the store has it in its present era."""
        revision, holder, written_in = self.seats.get(seat, (0, "", 0))
        written = make_version(written_in, revision) if revision else 0
        return SeatRecord(seat, written, holder, make_version(self.era, revision))

    def send_seats(self, sender, receiver):
        """Send one proxy's seat records to another."""
        receiver.learn(
            [
                record._replace(stored_version=0)
                for record in sender.decider.seat_records
            ]
        )

    def make_backup(self):
        """Make the backup from which the store can be restored."""
        self.backup = dict(self.seats), self.revision

    def restore(self):
        """Restore the store from its backup, in a new era."""
        self.seats, self.revision = dict(self.backup[0]), self.backup[1]
        self.era += 1

    def deliver(self, index, keep=False):
        sender, holder, message = self.messages[index]
        if not keep:
            del self.messages[index]
        proxy = self.proxies.get(holder)
        if proxy is not None and not proxy.paused:
            proxy.receive(sender, message)

    def write(self, index, answered):
        """Deliver a write to the store; its answer may be lost."""
        name, action = self.writes.pop(index)
        era = get_era(action.if_version)
        kept = get_revision(self.see_seat(action.seat).stored_version)
        # A write of an earlier era is carried out if the revisions match by chance; its
        # answer is ignored.
        if kept == get_revision(action.if_version):
            self.revision += 1
            self.seats[action.seat] = self.revision, action.holder, era
        proxy = self.proxies.get(name)
        is_heard = answered and era == self.era
        if is_heard and proxy is not None and not proxy.paused:
            proxy.learn([self.see_seat(action.seat)])

    def settle(self, seconds, step=0.05):
        """Run all proxies without faults for a number of seconds."""
        for _ in range(round(seconds / step)):
            self.now += step
            for proxy in self.running:
                self.list_live(proxy)
                self.read_store(proxy)
                proxy.tick()
                proxy.work(proxy.wish)
            while self.messages:
                self.deliver(0)
            while self.writes:
                self.write(0, True)
