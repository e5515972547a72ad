"""The process of the local site: prints all listening addresses and runs the tour."""

import json
import logging
import sys

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from beryltrack.clock import use_monotonic_time
from beryltrack.daemon.local_site import GROUP, USER, LocalProxies
from beryltrack.daemon.tour import run_tour
from beryltrack.settings.messages import Endpoint
from beryltrack_standins.site import LocalSite

log = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_FAILED = 1


def run_local_site(once: bool, proxies: int) -> int:
    """Run a local site.

    Parameters
    ----------
    once : bool
        True to exit after the tour.
    proxies : int
        Number of proxies.

    Returns
    -------
    int
        0 if all steps of the tour passed.
    """
    use_monotonic_time(reactor)
    local = LocalProcess(once, proxies)
    reactor.callWhenRunning(local.start)
    reactor.addSystemEventTrigger("before", "shutdown", local.stop)
    reactor.run()
    return EXIT_DONE if local.has_passed else EXIT_FAILED


class LocalProcess:
    """The local site and its tour.

    Parameters
    ----------
    once : bool
        True to exit after the tour.
    proxies : int
        Number of proxies.
    """

    def __init__(self, once: bool, proxies: int):
        self.has_passed = False
        self._once = once
        self._site = LocalSite(reactor)
        self._local = LocalProxies(reactor, self._site, proxies)

    def start(self) -> None:
        """Start everything, then run the tour."""
        running = Deferred.fromCoroutine(self._run())
        running.addErrback(self._report)

    def stop(self) -> Deferred:
        """Stop everything."""
        return Deferred.fromCoroutine(self._local.stop())

    async def _run(self) -> None:
        await self._local.start()
        self._print_ready()
        endpoints = [proxy.endpoint for proxy in self._local.proxies]
        control = self._site.control_url
        self.has_passed = await run_tour(reactor, endpoints, GROUP, USER, control)
        if self._once:
            reactor.stop()
        else:
            self._print_help()

    def _print_ready(self) -> None:
        """Print one JSON line with all listening addresses."""
        ready = {
            "event": "ready",
            "proxies": [
                _format_endpoint(proxy.endpoint) for proxy in self._local.proxies
            ],
            "databases": {
                item.name: _format_endpoint(item.endpoint)
                for item in self._site.databases
            },
            "platform": self._site.platform_url,
            "control": self._site.control_url,
            "health": [
                f"http://{_format_endpoint(proxy.health_endpoint)}"
                for proxy in self._local.proxies
            ],
        }
        print(json.dumps(ready), flush=True)

    def _print_help(self) -> None:
        """Print how to connect and how to stop."""
        endpoint = self._local.proxies[0].endpoint
        print(
            f"Connect with: psql 'host={endpoint.host} port={endpoint.port}"
            f" user={USER} dbname={GROUP} sslmode=disable'\nStop with Ctrl-C.",
            file=sys.stderr,
        )

    def _report(self, failure) -> None:
        """Log the failure of the local site and stop."""
        log.error("local: Local site failed and stops: %s", failure.getTraceback())
        reactor.stop()


def _format_endpoint(endpoint: Endpoint) -> str:
    """Return an endpoint as text."""
    return f"{endpoint.host}:{endpoint.port}"
