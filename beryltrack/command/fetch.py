"""Asks one instance for its status over HTTP."""

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


def format_host(endpoint: Endpoint) -> str:
    """Return an endpoint as it stands in an address, IPv6 in brackets."""
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
        Gives None for an instance that does not answer in time, or whose answer
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
            # Whatever keeps one instance from answering must not hide the rest.
            log.info("command: no status from %s: %r", format_host(endpoint), error)
            return None

    return fetch
