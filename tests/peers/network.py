"""Simulated network of peer deciders, in virtual time, with links that tests break."""

import heapq
import random
from itertools import count
from types import SimpleNamespace

from beryltrack.peers.actions import CloseLink, NotifySubscribers, OpenLink, SendMessage
from beryltrack.peers.codec import decode_message, encode_message
from beryltrack.peers.decider import PeerDecider
from beryltrack.peers.messages import JOINED, Member

DELAY = 0.01


def make_instance(name, state="live"):
    number = int(name[1:])
    return SimpleNamespace(
        name=name,
        host="127.0.0.1",
        port=1000 + number,
        zone=f"z{number % 3}",
        state=state,
    )


class Network:
    """Carries messages between deciders, ordered by virtual time.

    Parameters
    ----------
    size : int
        Number of proxies that start together, named n0, n1, ...
    seed : int
        Seed of everything random.
    """

    def __init__(self, size, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.deciders = {}
        self.changes = {}
        self.partitioned = set()
        self.sent = 0
        self.bytes = 0
        self._links = set()
        self._events = []
        self._order = count()
        names = [f"n{number}" for number in range(size)]
        for name in names:
            self.start(name, names)

    def start(self, name, listed, incarnation=1):
        """Start a proxy whose instance list holds the names `listed`."""
        entry = make_instance(name)
        own = Member(name, entry.host, entry.port, entry.zone, JOINED, incarnation)
        decider = PeerDecider(own, (), random.Random(self.rng.random()), self.now)
        self.deciders[name] = decider
        self.changes[name] = []
        self.perform(name, decider.join(entry.port))
        self.perform(
            name, decider.observe_instances(map(make_instance, listed), self.now)
        )
        self._at(self.rng.uniform(0.0, 1.0), self._tick, name, decider)
        return decider

    def kill(self, name):
        """Crash a proxy; its links break."""
        del self.deciders[name]
        self.break_links(lambda a, b: name in (a, b))

    def break_links(self, is_broken):
        """Break the links between the pairs for which `is_broken` holds."""
        for a, b in [pair for pair in self._links if is_broken(*pair)]:
            self._links -= {(a, b), (b, a)}
            for name, peer in ((a, b), (b, a)):
                self._at(DELAY, self._close, name, peer, False)

    def partition(self, names):
        """Partition the network: drop all messages between `names` and the others."""
        self.partitioned = set(names)

    def run(self, seconds):
        """Advance virtual time by `seconds`."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = end

    def perform(self, name, actions):
        """Carry out the actions of a proxy's decider."""
        for action in actions:
            match action:
                case SendMessage(peer, message):
                    self._send(name, peer, message)
                case OpenLink(_, _, port):
                    self._at(DELAY, self._open, name, f"n{port - 1000}")
                case CloseLink(peer, reason):
                    self._links -= {(name, peer), (peer, name)}
                    self._at(DELAY, self._close, peer, name, reason == "not wanted")
                case NotifySubscribers(item):
                    self.changes[name].append(item)

    def get_states(self, name):
        """Return the states in which the proxies see the member `name`."""
        return {
            member.state
            for decider in self.deciders.values()
            for member in decider.members
            if member.name == name
        }

    def count_digests(self):
        """Return the number of different digests."""
        return len({decider.store.digest for decider in self.deciders.values()})

    def is_partitioned(self, a, b):
        return (a in self.partitioned) != (b in self.partitioned)

    def _at(self, delay, function, *args):
        event = (self.now + delay, next(self._order), function, args)
        heapq.heappush(self._events, event)

    def _tick(self, name, decider):
        if self.deciders.get(name) is decider:
            self.perform(name, decider.tick(self.now))
            self._at(1.0, self._tick, name, decider)

    def _flush(self, name):
        if name in self.deciders:
            self.perform(name, self.deciders[name].flush())

    def _open(self, name, peer):
        if name not in self.deciders:
            return
        if peer not in self.deciders or self.is_partitioned(name, peer):
            self.perform(
                name, self.deciders[name].handle_connect_failure(peer, self.now)
            )
            return
        self._links |= {(name, peer), (peer, name)}
        self.perform(name, self.deciders[name].handle_link_opened(peer, True, self.now))
        self.perform(
            peer, self.deciders[peer].handle_link_opened(name, False, self.now)
        )
        self._at(DELAY, self._flush, name)
        self._at(DELAY, self._flush, peer)

    def _close(self, name, peer, orderly):
        if name in self.deciders and (name, peer) not in self._links:
            self.perform(
                name, self.deciders[name].handle_link_closed(peer, orderly, self.now)
            )
            self._at(DELAY, self._flush, name)

    def _send(self, name, peer, message):
        data = encode_message(message)
        self.sent += 1
        self.bytes += len(data)
        if (name, peer) in self._links and not self.is_partitioned(name, peer):
            self._at(DELAY, self._deliver, name, peer, data)

    def _deliver(self, name, peer, data):
        if peer not in self.deciders or (name, peer) not in self._links:
            return
        message, findings = decode_message(data, name)
        assert not findings
        self.perform(peer, self.deciders[peer].receive(name, message, self.now))
        self._at(DELAY, self._flush, peer)
