"""A fake database group and the control adapter that proxies use for it."""

from collections.abc import Callable
from random import Random

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.error import ConnectionLost

from beryltrack.groups.adapter import ControlFailure, PromoteReply, StatusWait
from beryltrack.groups.messages import PRIMARY, DatabaseStatus, GrantReply
from beryltrack_bench.deployment import Deployment, get_delay, get_zone
from beryltrack_bench.fakes.database import FakeDatabase
from beryltrack_bench.fakes.network import Network
from beryltrack_bench.fakes.nodes import Node, Site
from beryltrack_bench.history import Event

CONTROL_TIMEOUT = 1.0
"""Seconds after which a control call without an answer fails."""

FIRST_TERM = 1


class FakeGroup:
    """The databases of one group, the first of them the primary of term 1.

    Parameters
    ----------
    site : Site
        The site that the nodes are added to.
    network : Network
        The site's links.
    deployment : Deployment
        Number of databases, zones and replication speed.
    rng : Random
        Source of the apply lag.
    name : str
        The group's name.
    record : callable
        Called with each event at its databases, for the history.
    make_database : callable
        `FakeDatabase` or a subclass.
    """

    def __init__(
        self,
        site: Site,
        network: Network,
        deployment: Deployment,
        rng: Random,
        name: str = "group",
        record: Callable[[Event], None] = lambda event: None,
        make_database: Callable[..., FakeDatabase] = FakeDatabase,
    ):
        self.name = name
        self.network = network
        self.databases = {
            node.name: make_database(
                node, network, deployment.replication, rng, name, record
            )
            for node in (
                site.add_node(f"{name}-{index + 1}", get_zone(deployment, index))
                for index in range(deployment.databases_per_group)
            )
        }
        for database in self.databases.values():
            others = [other for other in self.databases.values() if other != database]
            database.peers = tuple(others)

    @property
    def primary(self) -> FakeDatabase:
        """The primary of the highest term, else the most up-to-date replica."""
        return max(self.databases.values(), key=_rank_database)

    def start(self) -> None:
        """Promote the first database and start replication."""
        first, *_ = self.databases.values()
        for database in self.databases.values():
            database.grant(FIRST_TERM, "start", 0.0)
        first.promote(FIRST_TERM, "start")
        for database in self.databases.values():
            database.start()

    def call(
        self,
        source: Node,
        database: str,
        label: str,
        serve: Callable[[FakeDatabase], object],
    ) -> Deferred:
        """Call a database over a node's link to it; see `Network.call`."""
        target = self.databases[database]
        return self.network.call(source, target.node, label, lambda: serve(target))

    def write(
        self, source: Node, database: str, *keys: str, at_most_once: bool = False
    ) -> Deferred:
        """Send one write from a node, without a timeout."""
        return self.call(
            source,
            database,
            "write",
            lambda each: each.write(*keys, at_most_once=at_most_once),
        )

    def read(self, source: Node, database: str) -> Deferred:
        """Send one read from a node, without a timeout."""
        return self.call(source, database, "read", FakeDatabase.read)

    def crash(self, name: str, silent: bool = False) -> None:
        """Crash a database's process, or its whole instance if `silent`."""
        self.databases[name].node.crash(silent)

    def restart(self, name: str) -> None:
        """Restart a database with its log."""
        database = self.databases[name]
        if not database.node.alive:
            database.node.restart()
            database.start()

    def isolate(self, name: str) -> None:
        """Partition a database from its group; proxies still reach it."""
        for peer in self.databases[name].peers:
            self.network.cut_both(name, peer.name)

    def heal(self, name: str) -> None:
        """Undo `isolate`."""
        for peer in self.databases[name].peers:
            self.network.heal(name, peer.name)


class FakeAdapter:
    """One proxy's control connections to a fake group: a `DatabaseGroup`.

    Parameters
    ----------
    group : FakeGroup
        The group.
    node : Node
        The proxy.
    """

    def __init__(self, group: FakeGroup, node: Node):
        self._group = group
        self._node = node

    async def get_status(self, database: str) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status of a database."""
        return await self._call(database, "status", FakeDatabase.get_status)

    async def wait_status(
        self, database: str, wait: StatusWait, timeout: float
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Return the status when a condition holds or a timeout (seconds) ends."""
        return await self._call(
            database,
            "status_after",
            lambda each: each.wait_status(wait, timeout),
            timeout,
        )

    async def grant(
        self, database: str, term: int, candidate: str, lost_after: float
    ) -> Result[GrantReply, ControlFailure]:
        """Ask a database to grant a term."""
        return await self._call(
            database, "grant", lambda each: each.grant(term, candidate, lost_after)
        )

    async def promote(
        self, database: str, term: int, candidate: str, token: int = 0
    ) -> Result[PromoteReply, ControlFailure]:
        """Ask a database to become the primary of a term."""
        return await self._call(
            database, "promote", lambda each: each.promote(term, candidate)
        )

    async def stop_writes(
        self, database: str, term: int
    ) -> Result[DatabaseStatus, ControlFailure]:
        """Ask a primary to stop accepting writes for a limited time."""
        return await self._call(
            database, "stop_writes", lambda each: each.stop_writes(term)
        )

    async def release(self, database: str, send_before: float):
        """Return the status; the fakes follow the highest term by themselves."""
        return await self.get_status(database)

    def set_databases(self, databases) -> None:
        """Do nothing: the members of a fake group never change."""

    def close(self) -> None:
        """Do nothing: the fake connections hold no resources."""

    async def _call(
        self,
        database: str,
        label: str,
        serve: Callable[[FakeDatabase], object],
        wait: float = 0.0,
    ) -> Result:
        """Make a control call; return a Failure if it is lost or times out."""
        answer = self._group.call(self._node, database, label, serve)
        try:
            return Success(await answer.addTimeout(CONTROL_TIMEOUT + wait, self._node))
        except (ConnectionLost, TimeoutError) as error:
            return Failure(ControlFailure(database, str(error)))


def _rank_database(database: FakeDatabase) -> tuple:
    """Return a sort key: primaries first, then by term and received position."""
    log = database.log
    return log.role == PRIMARY, log.term, log.received


def make_network(site: Site, deployment: Deployment, rng: Random) -> Network:
    """Return the network of a deployment."""
    return Network(
        lambda source, target: get_delay(deployment, source, target),
        rng,
        deployment.replication.receive_jitter,
    )
