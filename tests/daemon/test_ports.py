"""Waiting for ports that are taken as an instance starts."""

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
    """Return a listening socket like that of another program, and its address."""
    server = socket.create_server((HOST, 0))
    return server, Endpoint(*server.getsockname())


def wait(clock, *endpoints):
    return Deferred.fromCoroutine(wait_until_free(clock, endpoints))


def test_an_instance_waits_for_a_port_that_is_taken_at_its_start():
    """Guards against an instance that ends because its port is taken for a moment."""
    clock = Clock()
    server, endpoint = take_port()
    with server:
        waiting = wait(clock, endpoint)
        clock.advance(PORT_CHECK_INTERVAL)
        assert not waiting.called
    clock.advance(PORT_CHECK_INTERVAL)
    assert waiting.called


def test_the_start_waits_for_all_ports():
    """Guards against a start that checks only the first taken port."""
    clock = Clock()
    (first, one), (second, other) = take_port(), take_port()
    with second:
        with first:
            waiting = wait(clock, one, other)
        clock.advance(PORT_CHECK_INTERVAL)
        assert not waiting.called
    clock.advance(PORT_CHECK_INTERVAL)
    assert waiting.called


def test_the_wait_for_a_port_is_bounded():
    """Guards against an instance that waits forever and reports no error."""
    clock = Clock()
    server, endpoint = take_port()
    with server:
        waiting = wait(clock, endpoint)
        clock.pump(
            [PORT_CHECK_INTERVAL] * round(PORT_WAIT_LIMIT / PORT_CHECK_INTERVAL + 1)
        )
        assert waiting.called


def test_a_start_with_free_ports_waits_for_nothing():
    """Guards against a needless delay of the start."""
    server, endpoint = take_port()
    server.close()
    assert wait(Clock(), endpoint).called


def test_a_connection_of_an_earlier_process_does_not_hold_its_port():
    """Guards against waiting for connections in TIME_WAIT."""
    server, endpoint = take_port()
    with server, socket.create_connection(endpoint) as caller:
        accepted, _ = server.accept()
        accepted.close()
        assert caller.recv(1) == b""
    assert is_free(endpoint)


def test_an_address_of_another_host_counts_as_free():
    """Guards against a wait that hides a wrong address in the settings."""
    assert is_free(Endpoint("192.0.2.1", 5432))


def test_ports_of_ipv6_are_checked():
    """Guards against a check that supports only IPv4."""
    with socket.create_server(("::1", 0), family=socket.AF_INET6) as server:
        host, port = server.getsockname()[:2]
        assert not is_free(Endpoint(host, port))
    assert is_free(Endpoint(host, port))
