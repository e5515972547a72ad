"""Memory use of idle callers at a proxy."""

import gc
import os
import socket
from collections.abc import Callable
from itertools import chain

from pygwire.messages import StartupMessage
from twisted.internet.task import deferLater

from beryltrack.settings.messages import Endpoint

SETTLE_TIME = 0.5
"""Seconds to wait after the last connection is opened."""

BATCH = 25
BATCH_TIME = 0.05
"""Connections that are opened at once, and seconds until they are connected."""

_PAGE = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """Return the resident memory of this process, bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * _PAGE


async def measure_idle_memory(
    reactor,
    endpoint: Endpoint,
    parameters: dict[str, str],
    count: int,
    read_memory: Callable[[], int] = read_resident_bytes,
) -> float:
    """Return the memory of an idle caller's connection at a proxy, bytes.

    The clients are plain sockets that log on and then stay idle, so that nearly all
    of the memory belongs to the proxy.

    Parameters
    ----------
    reactor : reactor
        The reactor in which the proxy runs.
    endpoint : Endpoint
        The proxy's address; the proxy must trust the user.
    parameters : dict of str to str
        Start-up parameters.
    count : int
        Connections to open.
    read_memory : callable, optional
        Returns the memory in use, bytes.

    Returns
    -------
    float
        Bytes per connection, without the kernel's memory.
    """
    gc.collect()
    before = read_memory()
    wire = StartupMessage(params=parameters).to_wire()
    batches = [
        await _open_batch(reactor, endpoint, wire) for _ in range(count // BATCH)
    ]
    sockets = list(chain.from_iterable(batches))
    await deferLater(reactor, SETTLE_TIME, int)
    gc.collect()
    after = read_memory()
    for each in sockets:
        each.close()
    return (after - before) / len(sockets)


async def _open_batch(reactor, endpoint: Endpoint, wire: bytes) -> list[socket.socket]:
    """Open a batch of connections that fits into a listening socket's backlog."""
    sockets = [_connect(endpoint) for _ in range(BATCH)]
    await deferLater(reactor, BATCH_TIME, int)
    for each in sockets:
        each.send(wire)
    return sockets


def _connect(endpoint: Endpoint) -> socket.socket:
    """Return a non-blocking socket that is connecting."""
    opened = socket.socket()
    opened.setblocking(False)
    opened.connect_ex(endpoint)
    return opened
