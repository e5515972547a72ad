"""A fleet of real nodes on loopback with the stand-in platform.

A node is the control plane of a proxy: settings, peers and a platform client.
Nothing is simulated, but the nodes share one process and its reactor.
"""

import random
from datetime import UTC, datetime

import treq
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from beryltrack.objects.client import PlatformClient
from beryltrack.peers.messages import JOINED
from beryltrack.peers.service import PeerService
from beryltrack.settings.change import SettingsChange
from beryltrack.settings.messages import Endpoint, InstanceSettings, SiteSettings
from beryltrack.settings.stored import ChangeRequest
from beryltrack.settings.task import SettingsTask
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer

ANY_PORT = Endpoint("127.0.0.1", 0)
PEER_KEY = "the key of the bench"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f")
GROUP_PATH = "settings/bench/groups/main"
POLL_PERIOD = 0.02
"""Seconds between two checks of a condition in `Fleet.wait`."""

SEED_COUNT = 3
"""Nodes whose addresses a new node gets as seeds."""


def make_group(max_age: float, number: int = 0) -> dict[str, object]:
    """Return the JSON of a group of three databases, with addresses by its number."""
    host = f"10.0.{number // 256}.{number % 256}"
    databases = [
        {
            "name": f"db-{replica}",
            "zone": ZONES[replica],
            "max_connections": 20,
            "endpoint": {"host": host, "port": 5432 + replica},
        }
        for replica in range(3)
    ]
    return {"databases": databases, "user": "proxy", "max_age": max_age}


class Node:
    """The control plane of one proxy.

    Parameters
    ----------
    reactor : reactor
        Shared by all nodes.
    name : str
        Name of the instance.
    zone : str
        Its availability zone.
    url : str
        Address of the platform.
    rng : random.Random
        Source of jitter.
    incarnation : int
        The incarnation of its process.
    seeds : tuple of Endpoint
        Addresses of peers for use while the platform is unavailable.
    """

    def __init__(self, reactor, name, zone, url, rng, incarnation, seeds):
        instance = InstanceSettings(
            name, zone, ANY_PORT, ANY_PORT, ANY_PORT, url, PEER_KEY, "", 1.0, seeds
        )
        self.name = name
        self.client = PlatformClient(reactor, url, rng)
        self.settings = SettingsTask(reactor, self.client, rng)
        self.service = PeerService(
            reactor, instance, self.settings, self.client, rng, incarnation
        )
        self.peers = self.service.peers
        self.reverted = 0
        self._highest = 0.0
        self.settings.subscribe(self._check_value)

    @property
    def value(self) -> float:
        """The value in force of the setting that the bench changes."""
        return max((group.max_age for group in self.settings.current.groups), default=0)

    def start(self) -> None:
        """Start all tasks."""
        self.service.start()
        self.settings.start()

    async def stop(self, abort: bool = False) -> None:
        """Stop all tasks; if `abort`, the peers are not notified."""
        self.settings.stop()
        await (self.service.abort() if abort else self.service.stop())
        await self.client.close()

    def _check_value(self, site: SiteSettings) -> None:
        """Count a reversion if an older value came into force again."""
        self.reverted += self.value < self._highest
        self._highest = max(self._highest, self.value)


class Fleet:
    """Nodes that can be added, crashed and removed, and their platform.

    Parameters
    ----------
    reactor : reactor
        Shared by all nodes.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, reactor, seed: int):
        self.platform = PlatformServer(reactor, PlatformOptions())
        self.nodes: list[Node] = []
        self.rng = random.Random(seed)
        self._reactor = reactor
        self._removed_reverts = 0
        self._started = 0
        self._change_client: PlatformClient | None = None

    @property
    def reverted(self) -> int:
        """Number of times that an older setting came into force again on any node."""
        return self._removed_reverts + sum(node.reverted for node in self.nodes)

    async def start(self, count: int, groups: int = 0) -> None:
        """Start the platform with settings, and some nodes.

        Parameters
        ----------
        count : int
            Number of nodes.
        groups : int
            Number of database groups in the settings, in addition to the one that
            `change_settings` changes.
        """
        self.platform.start()
        for number in range(groups):
            path = f"settings/bench/groups/group-{number}"
            value = {"settings": make_group(0.0, number + 1)}
            self.platform.store.put(path, value, None)
        self._change_client = PlatformClient(self._reactor, self.platform.url, self.rng)
        await self.change_settings(1.0)
        adding = [Deferred.fromCoroutine(self.add_node()) for _ in range(count)]
        await gatherResults(adding)

    async def add_node(self) -> Node:
        """Start one more node and add it to the platform's instance list."""
        number = self._started
        self._started += 1
        node = Node(
            self._reactor,
            f"node-{number}",
            ZONES[number % len(ZONES)],
            self.platform.url,
            random.Random(self.rng.random()),
            number + 1,
            self._get_seeds(),
        )
        node.start()
        self.nodes.append(node)
        await self._register_node(node)
        return node

    async def remove_node(self, node: Node, abort: bool = False) -> None:
        """Stop a node; if `abort`, its peers are not notified."""
        self.nodes.remove(node)
        self._removed_reverts += node.reverted
        await node.stop(abort)
        if not self.platform.faults.down:
            await treq.delete(f"{self.platform.url}/instances/{node.name}")

    async def stop(self) -> None:
        """Stop all nodes and the platform."""
        await gatherResults([Deferred.fromCoroutine(n.stop()) for n in self.nodes])
        await self._change_client.close()
        await self.platform.stop()

    async def change_settings(self, value: float) -> float:
        """Change the setting as the operators' command does; return its value.

        Raises
        ------
        RuntimeError
            If the change was not accepted.
        """
        when = datetime.now(UTC).isoformat(timespec="seconds")
        request = ChangeRequest(
            GROUP_PATH, make_group(value), "bench", "measure", when, f"change {value}"
        )
        change = SettingsChange(self._reactor, self._change_client, request, self.rng)
        (await change.run()).alt(_raise_failure)
        return value

    def is_joined(self) -> bool:
        """Return whether each node knows all nodes as joined, and no others."""
        names = {node.name for node in self.nodes}
        return all(
            names == {m.name for m in node.peers.members if m.state == JOINED}
            for node in self.nodes
        )

    def count_in_force(self, value: float) -> int:
        """Return the number of nodes on which this or a later value is in force."""
        return sum(node.value >= value for node in self.nodes)

    def count_state(self, name: str, state: str) -> int:
        """Return the number of nodes that see a member in a state."""
        return sum(
            any(m.name == name and m.state == state for m in node.peers.members)
            for node in self.nodes
        )

    async def wait(self, condition, timeout: float) -> float:
        """Wait for a condition; return the seconds until it held.

        Raises
        ------
        TimeoutError
            If the condition did not hold within `timeout` seconds.
        """
        began = self._reactor.seconds()
        while not condition():
            if self._reactor.seconds() - began > timeout:
                raise TimeoutError(f"the condition did not hold within {timeout} s")
            await deferLater(self._reactor, POLL_PERIOD)
        return self._reactor.seconds() - began

    def _get_seeds(self) -> tuple[Endpoint, ...]:
        """Return the addresses of a few nodes, for a new node to join through."""
        chosen = self.rng.sample(self.nodes, min(SEED_COUNT, len(self.nodes)))
        owns = (node.peers.own for node in chosen)
        return tuple(Endpoint(own.host, own.port) for own in owns)

    async def _register_node(self, node: Node) -> None:
        """Add a node to the instance list, as a real platform does by itself."""
        own = node.peers.own
        entry = {"host": own.host, "port": own.port, "zone": own.zone, "state": "live"}
        if not self.platform.faults.down:
            await treq.put(f"{self.platform.url}/instances/{node.name}", json=entry)


def _raise_failure(failure: object) -> None:
    """Raise an error for a change that was not accepted."""
    raise RuntimeError(f"the change was not accepted: {failure}")
