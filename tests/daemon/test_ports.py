"""Ports that are taken as an instance starts."""

import socket

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.daemon.ports import (
    PORT_CHECK_INTERVAL,
    PORT_WAIT_LIMIT,
    is_free,
    wait_until_free,
)
from beryltrack.settings.messages import Endpoint

HOST = "127.0.0.1"


def take_port():
    """Return a listening socket, as another program has one, and its address."""
    server = socket.create_server((HOST, 0))
    return server, Endpoint(*server.getsockname())


def wait(clock, *endpoints):
    return Deferred.fromCoroutine(wait_until_free(clock, endpoints))


def test_an_instance_waits_for_a_port_that_is_taken_at_its_start():
    """Guards against an instance that ends as its port is taken for a moment."""
    clock = Clock()
    server, endpoint = take_port()
    with server:
        waiting = wait(clock, endpoint)
        clock.advance(PORT_CHECK_INTERVAL)
        assert not waiting.called
    clock.advance(PORT_CHECK_INTERVAL)
    assert waiting.called


def test_all_ports_are_waited_for():
    """Guards against a start that looks at the first taken port only."""
    clock = Clock()
    (first, one), (second, other) = take_port(), take_port()
    with second:
        with first:
            waiting = wait(clock, one, other)
        clock.advance(PORT_CHECK_INTERVAL)
        assert not waiting.called
    clock.advance(PORT_CHECK_INTERVAL)
    assert waiting.called


def test_a_port_that_stays_taken_is_not_waited_for_without_end():
    """Guards against an instance that never says why it does not start."""
    clock = Clock()
    server, endpoint = take_port()
    with server:
        waiting = wait(clock, endpoint)
        clock.pump(
            [PORT_CHECK_INTERVAL] * round(PORT_WAIT_LIMIT / PORT_CHECK_INTERVAL + 1)
        )
        assert waiting.called


def test_a_start_with_free_ports_waits_for_nothing():
    """Guards against a start that takes longer than it must."""
    server, endpoint = take_port()
    server.close()
    assert wait(Clock(), endpoint).called


def test_a_connection_of_an_earlier_process_does_not_hold_its_port():
    """Guards against waiting for closed connections that the system remembers."""
    server, endpoint = take_port()
    with server, socket.create_connection(endpoint) as caller:
        accepted, _ = server.accept()
        accepted.close()
        assert caller.recv(1) == b""
    assert is_free(endpoint)


def test_an_address_that_is_not_ours_is_left_to_the_listening_to_refuse():
    """Guards against a wait that hides a wrong address in the settings."""
    assert is_free(Endpoint("192.0.2.1", 5432))


def test_ports_of_ipv6_are_looked_at():
    """Guards against a look that only knows IPv4."""
    with socket.create_server(("::1", 0), family=socket.AF_INET6) as server:
        host, port = server.getsockname()[:2]
        assert not is_free(Endpoint(host, port))
    assert is_free(Endpoint(host, port))
