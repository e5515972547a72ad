"""Cost of the data path: the same client through a proxy and directly to a target.

Client, proxy and stand-in share one process, so a proxy's processor time is the
difference between the two paths, measured in the same run.
"""

import time
from collections.abc import Sequence
from typing import NamedTuple

from pygwire.messages import Query
from twisted.internet.defer import Deferred, gatherResults

from beryltrack.connections.target import TargetConnection, connect_target
from beryltrack.daemon.local_site import GROUP, USER, LocalProxies
from beryltrack.settings.messages import Endpoint

CONNECT_TIMEOUT = 10.0
"""Timeout of a new connection, seconds."""

READ = "SELECT note FROM cost WHERE id = 1"
WRITE = "UPDATE cost SET note = 'b' WHERE id = 1"
SETUP = (
    "CREATE TABLE cost (id INTEGER PRIMARY KEY, note TEXT)",
    "INSERT INTO cost VALUES (1, 'a')",
)


class Path(NamedTuple):
    """A path to a database.

    Parameters
    ----------
    name : str
        Name of the path in the figures.
    endpoint : Endpoint
        The address that the client connects to.
    settings : tuple of str
        Statements to run first on each connection.
    """

    name: str
    endpoint: Endpoint
    settings: tuple[str, ...] = ()


class LoopCost(NamedTuple):
    """Result of a closed loop of clients.

    Parameters
    ----------
    statements_per_s : float
        Statements per second.
    cpu_per_statement : float
        Processor time of the whole process per statement, seconds.
    """

    statements_per_s: float
    cpu_per_statement: float


class _DiscardingSink:
    """Discards answers."""

    def write(self, data: bytes) -> None:
        """Discard some bytes."""

    def attach(self, producer: object) -> None:
        """Do nothing: there is no back-pressure."""

    def detach(self) -> None:
        """Do nothing: there is no back-pressure."""


class StatementFailed(Exception):
    """Raised when a statement of the measurement ends in an error."""


async def open_clients(reactor, path: Path, count: int) -> list[TargetConnection]:
    """Open client connections and run the path's first statements on each."""
    connecting = [
        connect_target(reactor, path.endpoint, GROUP, USER, "", CONNECT_TIMEOUT)
        for _ in range(count)
    ]
    clients = await gatherResults(connecting)
    for client in clients:
        for statement in path.settings:
            await run_statement(client, statement)
    return clients


async def run_statement(client: TargetConnection, text: str) -> None:
    """Run one statement; raise `StatementFailed` on an error."""
    end = await client.run(Query(text).to_wire(), _DiscardingSink())
    if end.error is not None:
        raise StatementFailed(f"{text}: {end.error}")


async def prepare_table(reactor, local: LocalProxies) -> None:
    """Create the table that the measurement uses, through a proxy."""
    path = Path("setup", local.proxies[0].endpoint)
    (client,) = await open_clients(reactor, path, 1)
    for statement in SETUP:
        await run_statement(client, statement)
    client.close()


async def measure_loop(
    reactor, path: Path, text: str, clients: int, seconds: float
) -> LoopCost:
    """Run a statement in a closed loop on several connections.

    Parameters
    ----------
    reactor : reactor
        The reactor.
    path : Path
        The path to the database.
    text : str
        The statement.
    clients : int
        Connections, each with one statement in flight.
    seconds : float
        Measured time, seconds.

    Returns
    -------
    LoopCost
        Rate and processor time of the statements.
    """
    opened = await open_clients(reactor, path, clients)
    wire = Query(text).to_wire()
    began, cpu_began = time.perf_counter(), time.process_time()
    stop_at = began + seconds
    loops = [_run_loop(client, wire, stop_at) for client in opened]
    counts = await gatherResults(map(Deferred.fromCoroutine, loops))
    elapsed, cpu = time.perf_counter() - began, time.process_time() - cpu_began
    for client in opened:
        client.close()
    return LoopCost(sum(counts) / elapsed, cpu / sum(counts))


async def measure_latency(
    reactor, paths: Sequence[Path], text: str, rounds: int
) -> dict[str, float]:
    """Return the median time of a statement over each path, seconds.

    One statement is in flight at a time; each round uses all paths in turn.
    """
    clients = [(await open_clients(reactor, path, 1))[0] for path in paths]
    times: dict[str, list[float]] = {path.name: [] for path in paths}
    for _ in range(rounds):
        for path, client in zip(paths, clients, strict=True):
            began = time.perf_counter()
            await run_statement(client, text)
            times[path.name].append(time.perf_counter() - began)
    for client in clients:
        client.close()
    return {name: sorted(taken)[rounds // 2] for name, taken in times.items()}


async def _run_loop(client: TargetConnection, wire: bytes, stop_at: float) -> int:
    """Run one client's loop until a time and return its number of statements."""
    sink, done = _DiscardingSink(), 0
    while time.perf_counter() < stop_at:
        end = await client.run(wire, sink)
        if end.error is not None:
            raise StatementFailed(str(end.error))
        done += 1
    return done


def make_paths(local: LocalProxies) -> tuple[Path, tuple[Path, ...]]:
    """Return the direct path to the primary, and the paths through a proxy.

    A read of a known session that accepts stale data (``aged``) uses known positions.
    A read that accepts none (``fresh``) needs a position sampled after its arrival, as
    does each read of an unknown session.
    """
    servers = local.site.servers.values()
    primary = next(s for s in servers if s.database.status.role == "primary")
    proxy = local.proxies[0].endpoint
    allowances = {
        "aged": ("SET beryltrack.session = 'new'", "SET beryltrack.max_age = '1s'"),
        "fresh": ("SET beryltrack.session = 'new'",),
        "unknown": (),
    }
    proxy_paths = tuple(Path(name, proxy, first) for name, first in allowances.items())
    return Path("direct", primary.endpoint), proxy_paths
