"""TCP options of the connections to callers and targets.

A peer whose machine or network fails does not close its connection. Without these
options the kernel would keep the connection, and with it a scarce target connection,
for hours.
"""

import socket
from typing import NamedTuple

from twisted.internet.interfaces import ISystemHandle, ITCPTransport


class SocketLimits(NamedTuple):
    """When the kernel closes a connection whose peer does not answer.

    Parameters
    ----------
    idle : int
        Seconds without data before the first keep-alive probe.
    interval : int
        Seconds between keep-alive probes.
    count : int
        Number of unanswered probes after which the connection is closed.
    user_timeout : int
        Milliseconds for which sent data may remain unacknowledged.
    """

    idle: int = 15
    interval: int = 5
    count: int = 3
    user_timeout: int = 30_000


DEFAULT_LIMITS = SocketLimits()


def tune_socket(transport, limits: SocketLimits = DEFAULT_LIMITS) -> None:
    """Disable Nagle's algorithm and detect a peer that has failed.

    Parameters
    ----------
    transport : ITransport
        The connection; one that is not TCP is left unchanged.
    limits : SocketLimits
        When a connection without an answer is closed.
    """
    if not ITCPTransport.providedBy(transport):
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    if not ISystemHandle.providedBy(transport):
        return
    handle = transport.getHandle()
    options = {
        "TCP_KEEPIDLE": limits.idle,
        "TCP_KEEPINTVL": limits.interval,
        "TCP_KEEPCNT": limits.count,
        "TCP_USER_TIMEOUT": limits.user_timeout,
    }
    for name, value in options.items():
        # Not every platform has all of these options.
        if hasattr(socket, name):
            handle.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
