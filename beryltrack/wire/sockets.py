"""Socket options of the connections to callers and targets.

A peer whose machine or network is gone says no good-bye. Without these options
the kernel would keep its connection, and with it a scarce target connection,
for hours.
"""

import socket

from twisted.internet.interfaces import ISystemHandle, ITCPTransport

# Seconds of silence before the kernel asks whether the peer is still there, and
# between its questions; how many questions may stay without an answer.
KEEPALIVE_IDLE = 15
KEEPALIVE_INTERVAL = 5
KEEPALIVE_COUNT = 3

# Milliseconds that sent data may stay without an acknowledgement.
USER_TIMEOUT = 30_000

# Not every system has all of them.
_OPTIONS = {
    "TCP_KEEPIDLE": KEEPALIVE_IDLE,
    "TCP_KEEPINTVL": KEEPALIVE_INTERVAL,
    "TCP_KEEPCNT": KEEPALIVE_COUNT,
    "TCP_USER_TIMEOUT": USER_TIMEOUT,
}


def tune_socket(transport) -> None:
    """Send small messages at once and notice a peer that is gone within 30 s.

    Parameters
    ----------
    transport : ITransport
        The connection; one that is not TCP is left as it is.
    """
    if not ITCPTransport.providedBy(transport):
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    if not ISystemHandle.providedBy(transport):
        return
    handle = transport.getHandle()
    for name, value in _OPTIONS.items():
        if hasattr(socket, name):
            handle.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
