"""Fetches the status of one instance over HTTP."""

import logging

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.web.client import Agent

from beryltrack.command.instances import FetchStatus
from beryltrack.daemon.status import InstanceStatus, parse_status
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

TIMEOUT = 3.0
"""Seconds in which an instance must accept the connection and give its status."""


def format_host(endpoint: Endpoint) -> str:
    """Return an endpoint as the host part of a URL, IPv6 in brackets."""
    host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
    return f"{host}:{endpoint.port}"


def build_fetch(reactor) -> FetchStatus:
    """Return a function that fetches the status at an endpoint.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        The reactor that carries connections and timeouts.

    Returns
    -------
    callable
        Returns None for an instance that does not answer in time or whose answer
        cannot be read.
    """
    http = HTTPClient(Agent(reactor, connectTimeout=TIMEOUT))

    async def receive(endpoint: Endpoint) -> InstanceStatus:
        response = await http.get(f"http://{format_host(endpoint)}/status")
        return parse_status(await treq.json_content(response))

    async def fetch(endpoint: Endpoint) -> InstanceStatus | None:
        call = Deferred.fromCoroutine(receive(endpoint))
        try:
            return await call.addTimeout(TIMEOUT, reactor)
        except Exception as error:
            # No failure of one instance may prevent the report of the others.
            log.info(
                "command: no status from %s, shown as not answering: %r",
                format_host(endpoint),
                error,
            )
            return None

    return fetch
