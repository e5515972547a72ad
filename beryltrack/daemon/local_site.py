"""Stand-ins and proxies in one process, for the local site and for tests.

Only this module of the package imports the stand-ins, and only ``beryltrackd local``,
the tests and the benchmarks import it.
"""

import random
import uuid
from datetime import UTC, datetime

import treq
from returns.result import Failure
from twisted.internet.defer import TimeoutError
from twisted.internet.task import deferLater

from beryltrack.daemon.proxy import Proxy
from beryltrack.objects.messages import LIVE
from beryltrack.settings.change import SettingsChange
from beryltrack.settings.messages import Endpoint, InstanceSettings
from beryltrack.settings.stored import ChangeRequest
from beryltrack_standins.site import LocalSite

HOST = "127.0.0.1"
ANY_PORT = Endpoint(HOST, 0)
TEAM = "demo"
GROUP = "main"
USER = "app"
DRAIN_LIMIT = 5.0
PEER_KEY = "local-site-only"
READY_TIMEOUT = 20.0
POLL_INTERVAL = 0.02


class LocalProxies:
    """A local site of stand-ins and the proxies that serve it.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    site : LocalSite
        The stand-ins.
    count : int
        Number of proxies.
    seats : int, optional
        Shares into which connections are divided; by default one for each proxy.
    """

    def __init__(self, reactor, site: LocalSite, count: int, seats: int = 0):
        self.site = site
        self.proxies: list[Proxy] = []
        self._reactor = reactor
        self._count = count
        self._seats = seats or count

    async def start(self) -> None:
        """Start everything and wait until every proxy knows a primary."""
        await self.site.start()
        for number in range(self._count):
            await self.start_proxy(number)
        await self.write_group()
        await self.write(f"settings/{TEAM}/users/{USER}", {"trust": True})
        await self.wait_ready()

    async def stop(self) -> None:
        """Stop everything."""
        for proxy in self.proxies:
            await proxy.stop()
        await self.site.stop()

    async def start_proxy(self, number: int) -> Proxy:
        """Start one more proxy, add it to the instance list and return it."""
        settings = self._make_settings(number)
        proxy = Proxy(self._reactor, settings, random.Random(number))
        self.proxies.append(proxy)
        proxy.start()
        if not self.site.platform.faults.down:
            await self._list_instance(proxy)
        return proxy

    async def wait_ready(self, proxies: list[Proxy] | None = None) -> None:
        """Wait until the given proxies serve writes; all of them by default.

        Raises
        ------
        TimeoutError
            If they do not within `READY_TIMEOUT` seconds.
        """
        deadline = self._reactor.seconds() + READY_TIMEOUT
        while not all(map(_is_ready, proxies or self.proxies)):
            if self._reactor.seconds() > deadline:
                raise TimeoutError("the proxies of the local site serve no writes yet")
            await deferLater(self._reactor, POLL_INTERVAL, lambda: None)

    async def wait_owners_known(self) -> None:
        """Wait until every proxy knows the group's primary and owners.

        Raises
        ------
        TimeoutError
            If one does not within `READY_TIMEOUT` seconds.
        """
        deadline = self._reactor.seconds() + READY_TIMEOUT
        while not all(map(_knows_owners, self.proxies)):
            if self._reactor.seconds() > deadline:
                raise TimeoutError("a proxy of the local site knows no owner yet")
            await deferLater(self._reactor, POLL_INTERVAL, lambda: None)

    async def write(self, path: str, settings: dict[str, object]) -> None:
        """Write one settings object, as an operator does."""
        request = ChangeRequest(
            path,
            settings,
            who="local site",
            why="first settings",
            when=datetime.now(UTC).isoformat(timespec="seconds"),
            change_id=str(uuid.uuid4()),
        )
        store = self.proxies[0].platform
        change = SettingsChange(self._reactor, store, request, random.Random(0))
        result = await change.run()
        if isinstance(result, Failure):
            raise RuntimeError(f"cannot write {path}: {result.failure()}")

    async def _list_instance(self, proxy: Proxy) -> None:
        """Add a proxy to the instance list, as a real platform does itself."""
        own = proxy.fleet.peers.own
        entry = {
            "host": own.host,
            "port": own.port,
            "zone": own.zone,
            "state": LIVE,
        }
        answer = await treq.put(
            f"{self.site.platform_url}/instances/{own.name}",
            json=entry,
        )
        await answer.content()

    def _make_settings(self, number: int) -> InstanceSettings:
        """Return the settings of one proxy."""
        zones = self.site.options.zones
        return InstanceSettings(
            name=f"proxy-{number + 1}",
            zone=zones[number % len(zones)],
            listen=ANY_PORT,
            peer_listen=ANY_PORT,
            health_listen=ANY_PORT,
            platform_url=self.site.platform_url,
            peer_key=PEER_KEY,
            certificate="",
            drain_limit=DRAIN_LIMIT,
            seats=self._seats,
            peer_seeds=tuple(
                Endpoint(own.host, own.port)
                for own in (proxy.fleet.peers.own for proxy in self.proxies)
            ),
        )

    async def write_group(self, draining: frozenset[str] = frozenset()) -> None:
        """Describe the stand-in databases in the platform, as an operator does.

        Parameters
        ----------
        draining : frozenset of str
            Names of the databases that get no new work.
        """
        databases = [
            {
                "name": item.name,
                "endpoint": {"host": item.endpoint.host, "port": item.endpoint.port},
                "zone": item.zone,
                "max_connections": item.max_connections,
                "slots": item.slots,
                "draining": item.name in draining,
            }
            for item in self.site.databases
        ]
        await self.write(
            f"settings/{TEAM}/groups/{GROUP}", {"databases": databases, "user": USER}
        )


def _is_ready(proxy: Proxy) -> bool:
    """Return whether a proxy serves writes."""
    runtime = proxy.groups.get(GROUP)
    users = proxy.settings_task.current.users
    if runtime is None or not users or not runtime.view.primary:
        return False
    return all(pool.load.limit for pool in runtime.pools.values())


def _knows_owners(proxy: Proxy) -> bool:
    """Return whether a proxy can serve or forward requests."""
    runtime = proxy.groups.get(GROUP)
    if runtime is None:
        return False
    return proxy.fleet.knows_owners(GROUP)
