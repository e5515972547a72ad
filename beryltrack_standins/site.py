"""A local site: platform, database groups and control endpoint in one reactor."""

import itertools
import random
from typing import NamedTuple

from twisted.internet.defer import DeferredList

from beryltrack.settings.messages import Endpoint
from beryltrack_standins.control import ControlServer
from beryltrack_standins.database.database import Database
from beryltrack_standins.database.server import DatabaseOptions, DatabaseServer
from beryltrack_standins.group import ReplicationGroup
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer


class SiteOptions(NamedTuple):
    """The configuration of a local site.

    Parameters
    ----------
    groups : tuple of str
        The names of the database groups.
    databases : int
        Number of databases in each group; they are named ``GROUP-1`` and so on.
    zones : tuple of str
        Availability zones, assigned to the databases in rotation.
    receive_delay : float
        Seconds from a commit to its receipt by the replicas.
    database : DatabaseOptions
        Limits and delays of each database.
    platform : PlatformOptions
        Limits and delays of the platform.
    seed : int
        Seed of the random numbers for the secrets of cancel keys.
    """

    groups: tuple[str, ...] = ("main",)
    databases: int = 3
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    receive_delay: float = 0.001
    database: DatabaseOptions = DatabaseOptions()
    platform: PlatformOptions = PlatformOptions()
    seed: int = 0


DEFAULT_OPTIONS = SiteOptions()


class SiteDatabase(NamedTuple):
    """The location and limits of one database of the site.

    Parameters
    ----------
    group : str
        Its group.
    name : str
        Its name, unique in the site.
    zone : str
        Its availability zone.
    endpoint : Endpoint
        The address at which it listens.
    max_connections : int
        Its connection limit.
    slots : int
        Number of statements that it runs concurrently.
    """

    group: str
    name: str
    zone: str
    endpoint: Endpoint
    max_connections: int
    slots: int


class LocalSite:
    """The stand-ins of one site in one reactor, on the loopback interface.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    options : SiteOptions
        Its configuration.
    """

    def __init__(self, reactor, options: SiteOptions = DEFAULT_OPTIONS):
        self.options = options
        self.servers: dict[str, DatabaseServer] = {}
        self.platform = PlatformServer(reactor, options.platform)
        self.control = ControlServer(reactor, self.servers, self.platform)
        self._reactor = reactor
        self._rng = random.Random(options.seed)
        self._groups: dict[str, ReplicationGroup] = {}
        self._places: dict[str, tuple[str, str]] = {}

    @property
    def databases(self) -> tuple[SiteDatabase, ...]:
        """All databases, ordered by group."""
        limits = self.options.database
        return tuple(
            SiteDatabase(
                group,
                name,
                zone,
                self.servers[name].endpoint,
                limits.max_connections,
                limits.slots,
            )
            for name, (group, zone) in self._places.items()
        )

    @property
    def platform_url(self) -> str:
        """The base address of the platform."""
        return self.platform.url

    @property
    def control_url(self) -> str:
        """The base address of the control endpoint."""
        return self.control.url

    async def start(self) -> None:
        """Start all stand-ins, with the first database of each group as its primary."""
        self.platform.start()
        for group in self.options.groups:
            self._start_group(group)
        self.control.start()

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for group in self._groups.values():
            group.stop()
        stopping = [server.stop() for server in self.servers.values()]
        stopping += [self.platform.stop(), self.control.stop()]
        await DeferredList(stopping)

    def _start_group(self, group: str) -> None:
        """Start the databases of one group."""
        names = [f"{group}-{number + 1}" for number in range(self.options.databases)]
        for name, zone in zip(names, itertools.cycle(self.options.zones)):
            database = Database(self._reactor, name)
            options = self.options.database
            server = DatabaseServer(self._reactor, database, options, self._rng)
            server.start()
            self.servers[name] = server
            self._places[name] = group, zone
        members = [self.servers[name].database for name in names]
        replication = ReplicationGroup(
            self._reactor, members, self.options.receive_delay
        )
        replication.start()
        self._groups[group] = replication
