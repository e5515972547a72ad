"""Waits until the ports on which an instance listens are free.

A port may be taken briefly as an instance starts: by the previous process that is still
shutting down, or by another program, if the port is in the system's ephemeral range. An
instance that ended for that would be missing until it is restarted.
"""

import errno
import ipaddress
import logging
import socket
from collections.abc import Iterable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

PORT_WAIT_LIMIT = 10.0
"""Maximum seconds to wait for taken ports; a previous process that shuts down within
its usual grace period has ended by then."""

PORT_CHECK_INTERVAL = 0.1
"""Seconds between two checks of the ports."""


def is_free(endpoint: Endpoint) -> bool:
    """Return whether the port of an endpoint is not in use.

    An address that cannot be bound for another reason counts as free: listening on it
    raises the error.

    Parameters
    ----------
    endpoint : Endpoint
        An address of this instance, and a port.
    """
    is_v6 = ipaddress.ip_address(endpoint.host).version == 6
    with socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET) as probe:
        # As for listening sockets: connections of an earlier process in TIME_WAIT do
        # not block the port.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(endpoint)
        except OSError as error:
            return error.errno != errno.EADDRINUSE
    return True


async def wait_until_free(reactor: IReactorTime, endpoints: Iterable[Endpoint]) -> None:
    """Wait until all ports are free, for `PORT_WAIT_LIMIT` seconds at most.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    endpoints : iterable of Endpoint
        The listening addresses of the instance.
    """
    deadline = reactor.seconds() + PORT_WAIT_LIMIT
    taken = [endpoint for endpoint in endpoints if not is_free(endpoint)]
    for endpoint in taken:
        log.warning(
            "daemon: Port %d is taken, waiting up to %g s for it.",
            endpoint.port,
            PORT_WAIT_LIMIT,
        )
    while taken and reactor.seconds() < deadline:
        await deferLater(reactor, PORT_CHECK_INTERVAL)
        taken = [endpoint for endpoint in taken if not is_free(endpoint)]
