"""Peer tasks over real sockets."""

import socket

import cbor2
import pytest
from twisted.internet.defer import gatherResults
from websockets.client import ClientProtocol
from websockets.uri import parse_uri

from beryltrack.peers.messages import GossipItem
from beryltrack.settings.messages import Endpoint
from tests.peers.fleet import make_task, start_fleet, wait_for
from tests.reactor_thread import run

ITEM = GossipItem("k", "a", (1,), {"term": 3})


@pytest.fixture
def tasks():
    tasks = []
    yield tasks
    run(lambda: gatherResults([task.stop() for task in tasks]))


def start(tasks, names, **kwargs):
    tasks.extend(run(start_fleet, names, **kwargs))
    run(wait_for, lambda: all(len(t.linked) == len(names) - 1 for t in tasks))
    run(
        wait_for, lambda: all(get_state(t, n) == "joined" for t in tasks for n in names)
    )


def get_state(task, name):
    return next(m.state for m in task.members if m.name == name)


def connect(task):
    """Return a client and a socket after the WebSocket upgrade."""
    client = ClientProtocol(parse_uri("ws://peer/peers"))
    client.send_request(client.connect())
    connection = socket.create_connection((task.own.host, task.own.port))
    connection.settimeout(5.0)
    connection.sendall(b"".join(client.data_to_send()))
    client.receive_data(connection.recv(4096))
    return client, connection


def send(client, connection, data):
    client.send_binary(data)
    connection.sendall(b"".join(client.data_to_send()))


def read_to_end(connection):
    return b"".join(iter(lambda: connection.recv(4096), b""))


def test_two_proxies_share_membership_and_items(tasks):
    start(tasks, ["n1", "n2"])
    received = []
    run(tasks[1].subscribe, "k", received.append)
    run(tasks[0].publish, ITEM)
    run(wait_for, lambda: received == [ITEM])
    run(tasks[1].publish, ITEM._replace(version=(2,)))
    run(wait_for, lambda: tasks[0].gossip_store.get_items("k")[0].version == (2,))
    run(tasks[0].leave)
    run(wait_for, lambda: get_state(tasks[1], "n1") == "leaving")


def test_a_crashed_process_is_suspected_at_once(tasks):
    start(tasks, ["n1", "n2", "n3"])
    run(tasks.pop().abort)
    run(wait_for, lambda: all(get_state(t, "n3") == "suspected" for t in tasks))


def test_a_stopped_process_is_seen_as_left(tasks):
    start(tasks, ["n1", "n2", "n3"])
    run(tasks.pop().stop)
    run(wait_for, lambda: all(get_state(t, "n3") == "left" for t in tasks))


def test_a_large_item_crosses_the_link(tasks):
    start(tasks, ["n1", "n2"])
    run(tasks[0].publish, ITEM._replace(value=b"x" * 1_000_000))
    run(wait_for, lambda: tasks[1].gossip_store.get_items("k"))


def test_a_proxy_without_the_key_is_refused(tasks):
    start(tasks, ["n1"])
    seed = Endpoint(tasks[0].own.host, tasks[0].own.port)
    outsider = make_task("n2", key="another key", seeds=(seed,))
    tasks.append(outsider)
    run(outsider.start)
    run(wait_for, lambda: outsider.counters.refused)
    assert not tasks[0].linked
    assert [member.name for member in tasks[0].members] == ["n1"]


MALFORMED_HANDSHAKES = [
    b"\xff\xff",
    cbor2.dumps([4, 1]),
    cbor2.dumps([3, b"proof"]),
    cbor2.dumps([1, 1, 1, "n9", 1, "control", b"x" * 2000]),
    cbor2.dumps([1, 9, 9, "n9", 1, "control", b"nonce"]),
    cbor2.dumps([1, 1, 1, "n1", 1, "control", b"nonce"]),
]


def test_a_malformed_handshake_closes_only_that_link(tasks):
    start(tasks, ["n1", "n2"])
    for data in MALFORMED_HANDSHAKES:
        client, connection = connect(tasks[0])
        with connection:
            send(client, connection, data)
            read_to_end(connection)
    run(tasks[0].publish, ITEM)
    run(wait_for, lambda: tasks[1].gossip_store.get_items("k"))
    assert tasks[0].linked == ("n2",)


def test_bytes_that_are_not_websocket_close_the_connection(tasks):
    start(tasks, ["n1"])
    address = (tasks[0].own.host, tasks[0].own.port)
    with socket.create_connection(address) as connection:
        connection.settimeout(5.0)
        connection.sendall(b"\x00" * 20 + b"\r\n\r\n")
        assert b"101" not in read_to_end(connection)


def test_malformed_messages_of_a_peer_are_counted_and_ignored(tasks):
    start(tasks, ["n1", "n2"])
    link = tasks[0]._table.get("n2", "control")
    run(link._websocket.send_binary, cbor2.dumps([77, "new"]))
    run(link._websocket.send_binary, b"\xff")
    run(tasks[0].publish, ITEM)
    run(wait_for, lambda: tasks[1].gossip_store.get_items("k"))
    assert tasks[1].counters.malformed == 2
    assert tasks[1].linked == ("n1",)
