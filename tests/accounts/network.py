"""A fleet that lends quota shares over in-memory connections, in simulated time.

Each instance has its own clock, so that it can be paused. A lost instance, as after a
power failure, neither answers nor closes connections; a paused one accepts connections
and bytes, and handles them once it resumes.
"""

import random

from twisted.internet.error import ConnectionDone, TimeoutError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from beryltrack.accounts.lending import RENEW_PERIOD
from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.slots import SLOT_COUNT
from beryltrack.daemon.node_accounts import NodeAccounts
from beryltrack.platform.boot import parse_node_settings
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint
from tests.platform.test_settings import BOOT

STEP = 0.01
LATENCY = 0.002
RELAY_CONNECT = 0.3
MIN_CONNECTIONS = 62
"""Connections for six owners, so that each of three zones has one or two."""


class Wire:
    """The transport of one side of a connection."""

    def __init__(self, network, owner, other):
        self.network, self.owner, self.other = network, owner, other
        self.protocol = self.far = None
        self.is_open = True

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def write(self, data):
        if self.is_open:
            self.network.send(self.owner, self.other, self.far.receive, data)

    def writeSequence(self, parts):  # noqa: N802
        self.write(b"".join(parts))

    def receive(self, data):
        if self.is_open:
            self.protocol.dataReceived(data)

    def loseConnection(self):  # noqa: N802
        if self.is_open:
            self.is_open = False
            self.network.send(self.owner, self.owner, self.report_end)
            self.network.send(self.owner, self.other, self.far.end)

    abortConnection = loseConnection  # noqa: N815

    def end(self):
        if self.is_open:
            self.is_open = False
            self.report_end()

    def report_end(self):
        self.protocol.connectionLost(Failure(ConnectionDone()))


class InstanceReactor(Clock):
    """One instance's timers and connections."""

    def __init__(self, network, name):
        super().__init__()
        self.network, self.name = network, name

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        factory.doStart()
        state = {"is_over": False}

        def fail():
            if not state["is_over"]:
                state["is_over"] = True
                factory.clientConnectionFailed(None, Failure(TimeoutError()))

        def accept():
            near = Wire(self.network, self.name, host)
            far = Wire(self.network, host, self.name)
            near.far, far.far = far, near
            far.protocol = self.network.instances[host].port.buildProtocol(None)
            far.protocol.makeConnection(far)
            self.network.send(host, self.name, begin, near)

        def begin(near):
            if not state["is_over"]:
                state["is_over"] = True
                timer.cancel()
                near.protocol = factory.buildProtocol(None)
                near.protocol.makeConnection(near)

        timer = self.callLater(timeout, fail)
        self.network.send(self.name, host, accept)


class Instance:
    """The part of an instance that chooses owners and lends to them."""

    def __init__(self, network, own, is_new=True):
        self.network, self.name = network, own.name
        self.reactor = InstanceReactor(network, own.name)
        self.reactor.advance(network.rng.uniform(0.0, 1e5))
        self.paused_until, self.seen_at = 0.0, network.now
        self.is_lost = False
        boot = BOOT | {"node_name": own.name, "ip": "10.1.0.1", "first_start": is_new}
        settings = parse_node_settings(boot)
        self.directory = RelayDirectory(own, self.reactor.seconds, 8)
        rng = random.Random(own.name)
        self.accounts = NodeAccounts(
            self.reactor, settings, self.directory, rng, network.probes
        )
        self.port = self.accounts.port

    def start(self):
        peers = self.network.peers
        self.directory.set_peers(peers)
        self.directory.set_accounts(MIN_CONNECTIONS)
        self.accounts.set_members(peers)
        self.accounts.set_accounts(self.network.settings)
        self.accounts.start()

    def advance(self, seconds):
        self.reactor.advance(seconds)

    def get_share(self, slot):
        return self.accounts.quota.shares.get_share(slot, self.reactor.seconds())

    def ask(self, slot):
        """Send a request to a slot's owner; avoid the owner if it cannot be reached."""
        owner = self.directory.choose_slot_owner(slot).name
        paths = (self.name, owner), (owner, self.name)
        if not all(self.network.reaches(*path) for path in paths):
            self.reactor.callLater(RELAY_CONNECT, self.directory.avoid, owner)


class Network:
    """A fleet, and the messages in flight between its instances."""

    def __init__(self, count=12, rate=400.0, burst=60.0, seed=1, probes=True):
        self.rng = random.Random(seed)
        self.now, self.probes = 0.0, probes
        self.in_flight = []
        self.cut_paths = set()
        self.settings = (AccountSettings("hot", frozenset({"k"}), rate, burst),)
        self.peers = tuple(make_peer(number) for number in range(count))
        self.instances = {peer.name: Instance(self, peer) for peer in self.peers}
        for each in self.instances.values():
            each.start()
        self.run(4 * RENEW_PERIOD)

    def reaches(self, source, target):
        return not (
            self.instances[source].is_lost
            or self.instances[target].is_lost
            or (source, target) in self.cut_paths
        )

    def send(self, source, target, action, *args):
        if self.reaches(source, target):
            self.in_flight.append((self.now + LATENCY, target, action, args))

    def run(self, seconds, act=lambda: None):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for each in self.instances.values():
                if self.now >= each.paused_until and not each.is_lost:
                    each.advance(self.now - each.seen_at)
                    each.seen_at = self.now
            self.deliver()
            act()

    def deliver(self):
        due = [each for each in self.in_flight if each[0] <= self.now]
        self.in_flight = [each for each in self.in_flight if each[0] > self.now]
        for at, target, action, args in due:
            instance = self.instances[target]
            if self.now < instance.paused_until:
                self.in_flight.append((at, target, action, args))
            elif not instance.is_lost:
                action(*args)

    def get_shares(self, slots):
        """Return the largest share of each slot that one live instance holds."""
        live = [
            each
            for each in self.instances.values()
            if not each.is_lost and self.now >= each.paused_until
        ]
        return {slot: max(each.get_share(slot) for each in live) for slot in slots}

    def list_owners(self):
        """Return pairs of owner and slots, the owner with the most slots first."""
        directory = next(iter(self.instances.values())).directory
        by_owner = {}
        for slot in range(SLOT_COUNT):
            by_owner.setdefault(directory.choose_slot_owner(slot).name, []).append(slot)
        return sorted(by_owner.items(), key=lambda each: -len(each[1]))


def make_peer(number):
    name = f"n{number}"
    endpoints = (Endpoint(name, 1), Endpoint(name, 2), Endpoint(name, 3))
    return Peer(name, f"z{number % 3}", *endpoints)
