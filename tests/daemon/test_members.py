"""Instances register, and remove a successor that accepts no connections."""

import random

from returns.result import Success
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock

from beryltrack.daemon.members import (
    BATCH_DELAY,
    CHECK_PERIOD,
    KIND,
    MAX_MISSES,
    MemberTask,
    get_successor,
)
from beryltrack.objects.messages import ObjectList, PlatformObject
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint


class Store:
    """Objects in memory; watches never end."""

    def __init__(self):
        self.objects = {}

    def add(self, name):
        path = f"{KIND}/{name}"
        value = {"host": "10.0.0.9", "port": 7440, "relay": 7441, "zone": "z"}
        self.objects[path] = PlatformObject(path, 1, value, False)

    async def get(self, path):
        return Success(self.objects.get(path))

    async def put(self, path, value, if_version):
        self.objects[path] = PlatformObject(path, if_version + 1, value, False)
        return Success(if_version + 1)

    async def delete(self, path, if_version):
        del self.objects[path]
        return Success(0)

    async def list(self, kind):
        return Success(ObjectList(1, tuple(self.objects.values())))

    async def watch(self, kind, after, timeout):
        return await Deferred()


def start_member(*others):
    reactor, store, seen = MemoryReactorClock(), Store(), []
    for name in others:
        store.add(name)
    endpoint = Endpoint("10.0.0.1", 7440)
    own = Peer("b", "z", Endpoint("10.0.0.1", 7441))
    task = MemberTask(
        reactor, store, store, own, endpoint, seen.append, random.Random(1)
    )
    task.start()
    reactor.advance(BATCH_DELAY)
    return reactor, store, seen, task


def refuse_all(reactor):
    for _, _, factory, *_ in reactor.tcpClients:
        factory.clientConnectionFailed(None, ConnectionRefusedError())
    reactor.tcpClients.clear()


def test_an_instance_registers_and_knows_the_others():
    _, store, seen, _ = start_member("a", "c")
    assert store.objects[f"{KIND}/b"].value == {
        "host": "10.0.0.1",
        "port": 7440,
        "relay": 7441,
        "zone": "z",
        "capacity": 1.0,
    }
    assert [peer.name for peer in seen[-1]] == ["a", "b", "c"]


def test_an_instance_that_accepts_no_connections_is_removed():
    reactor, store, _, _ = start_member("a", "c")
    for _ in range(MAX_MISSES):
        reactor.advance(CHECK_PERIOD)
        refuse_all(reactor)
    assert f"{KIND}/c" not in store.objects and f"{KIND}/a" in store.objects


def test_an_instance_that_leaves_deregisters():
    _, store, _, task = start_member("a")
    Deferred.fromCoroutine(task.leave())
    assert f"{KIND}/b" not in store.objects


def test_the_successor_is_the_next_in_the_ring_of_names():
    names = ("a", "b", "c")
    assert [get_successor(names, name) for name in names] == ["b", "c", "a"]
    assert get_successor(("a",), "a") is None
