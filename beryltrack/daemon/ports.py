"""Waits until the ports on which an instance listens are free.

A port may be taken for a moment as an instance starts: the process before it is still
leaving, or the system has given the port to another program, as it does with the ports
of its ephemeral range. An instance that ended for that would be missing until somebody
starts it again.
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

PORT_WAIT = 10.0
"""Seconds for which taken ports are waited for; a process that leaves within its usual
grace is gone by then."""

PORT_PAUSE = 0.1
"""Seconds between two looks at the ports."""


def is_free(endpoint: Endpoint) -> bool:
    """Return whether nobody has the port of an endpoint.

    An address that cannot be used for another reason counts as free: listening on it
    tells the reason.

    Parameters
    ----------
    endpoint : Endpoint
        An address of this instance, and a port.
    """
    is_v6 = ipaddress.ip_address(endpoint.host).version == 6
    with socket.socket(socket.AF_INET6 if is_v6 else socket.AF_INET) as probe:
        # Listening sockets are opened so: connections of an earlier process that
        # the system still remembers do not hold the port.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(endpoint)
        except OSError as error:
            return error.errno != errno.EADDRINUSE
    return True


async def wait_until_free(reactor: IReactorTime, endpoints: Iterable[Endpoint]) -> None:
    """Wait until all ports are free, for `PORT_WAIT` seconds at most.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    endpoints : iterable of Endpoint
        Where the instance is to listen.
    """
    give_up_at = reactor.seconds() + PORT_WAIT
    taken = [endpoint for endpoint in endpoints if not is_free(endpoint)]
    for endpoint in taken:
        log.warning("daemon: Port %d is taken, waiting for it.", endpoint.port)
    while taken and reactor.seconds() < give_up_at:
        await deferLater(reactor, PORT_PAUSE)
        taken = [endpoint for endpoint in taken if not is_free(endpoint)]
