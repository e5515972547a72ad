"""Socket options of the connections to callers and targets.

A peer whose machine or network is gone says no good-bye. Without these options
the kernel would keep its connection, and with it a scarce target connection,
for hours.
"""

import socket
from typing import NamedTuple

from twisted.internet.interfaces import ISystemHandle, ITCPTransport


class SocketLimits(NamedTuple):
    """When the kernel gives up a connection whose peer is silent.

    Parameters
    ----------
    idle : int
        Seconds of silence before the kernel asks whether the peer is there.
    interval : int
        Seconds between its questions.
    count : int
        How many questions may stay without an answer.
    user_timeout : int
        Milliseconds that sent data may stay without an acknowledgement.
    """

    idle: int = 15
    interval: int = 5
    count: int = 3
    user_timeout: int = 30_000


DEFAULT_LIMITS = SocketLimits()


def tune_socket(transport, limits: SocketLimits = DEFAULT_LIMITS) -> None:
    """Send small messages at once and notice a peer that is gone.

    Parameters
    ----------
    transport : ITransport
        The connection; one that is not TCP is left as it is.
    limits : SocketLimits
        When a silent peer is given up.
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
        # Not every system has all of them.
        if hasattr(socket, name):
            handle.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
