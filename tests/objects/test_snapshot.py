"""Snapshots that one instance fetches from another, on real sockets."""

import random

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.snapshot import (
    SnapshotServer,
    SnapshotTask,
    decode_snapshot,
    encode_snapshot,
)
from beryltrack.settings.messages import Endpoint
from tests.reactor_thread import run

HOST = "127.0.0.1"
SNAPSHOT = {
    "config": {"config/main": PlatformObject("config/main", 7, {"a": [1]}, False)},
}


def test_a_snapshot_decodes_to_what_was_encoded():
    data = encode_snapshot(SNAPSHOT | {"servers": {}})
    assert decode_snapshot(data) == SNAPSHOT


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xa1\x61a\x01", b"\xff", b"text"])
def test_a_malformed_snapshot_decodes_to_none(data):
    assert decode_snapshot(data) is None


def fetch(*sources):
    """Return the first snapshot that a task fetches from the sources."""

    async def go():
        taken = Deferred()
        task = SnapshotTask(reactor, sources, taken.callback, random.Random(1))
        task.start()
        try:
            return await taken
        finally:
            task.stop()

    return run(lambda: Deferred.fromCoroutine(go()))


def listen(get_snapshot):
    port = reactor.listenTCP(0, SnapshotServer(get_snapshot), interface=HOST)
    return port, Endpoint(HOST, port.getHost().port)


def test_an_instance_fetches_the_snapshot_of_another():
    port, source = run(listen, lambda: SNAPSHOT)
    assert fetch(source) == SNAPSHOT
    run(port.stopListening)


def test_an_instance_without_objects_is_skipped():
    young, first = run(listen, dict)
    port, second = run(listen, lambda: SNAPSHOT)
    assert fetch(first, second) == SNAPSHOT
    run(young.stopListening)
    run(port.stopListening)


def test_an_unreachable_instance_is_skipped():
    gone, nowhere = run(listen, dict)
    run(gone.stopListening)
    port, source = run(listen, lambda: SNAPSHOT)
    assert fetch(nowhere, source) == SNAPSHOT
    run(port.stopListening)
