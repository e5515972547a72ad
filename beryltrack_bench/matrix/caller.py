"""Callers of the matrix: sessions that roam between the proxies."""

from itertools import cycle

from twisted.internet.defer import TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from beryltrack.groups.messages import NO_POSITION
from beryltrack_bench.history import (
    ReadAnswered,
    Refusal,
    RequestAnswered,
    RequestStarted,
    WriteAcknowledged,
    WriteRefused,
    WriteRequested,
)
from beryltrack_bench.matrix.proxy import (
    BenchProxy,
    ReadReply,
    WriteReply,
    WriteRequest,
)
from beryltrack_bench.matrix.world import GROUP, World

CALL_LIMIT = 3.0
"""Seconds after which a caller gives up on an answer."""

PAUSE = 0.05
"""Seconds between two attempts of a caller."""


class Session:
    """One caller's session.

    Parameters
    ----------
    world : World
        The site.
    name : str
        Name of the session.
    first_proxy : int
        Which proxy it begins with; it moves on with each request.
    """

    def __init__(self, world: World, name: str, first_proxy: int = 0):
        self.name = name
        self.token = NO_POSITION
        self._world = world
        names = tuple(world.proxies)
        self._proxies = cycle(names[first_proxy:] + names[:first_proxy])
        self._sent = 0

    async def write(self, *keys: str, marked: bool = False) -> Refusal | None:
        """Send one write once; return None if it was acknowledged."""
        world = self._world
        world.history.append(WriteRequested(self.name, GROUP, keys, marked, world.now))
        request = WriteRequest(keys, marked)
        reply = await self._call("write", lambda proxy: proxy.write(request))
        reply = reply or WriteReply(Refusal.UNKNOWN)
        if reply.refusal is None:
            self.token = max(self.token, reply.position)
            world.history.append(WriteAcknowledged(self.name, GROUP, keys, world.now))
        else:
            world.history.append(WriteRefused(GROUP, keys, reply.refusal, world.now))
        return reply.refusal

    async def write_marked(self, *keys: str, limit: float) -> bool:
        """Send a marked write again, through other proxies, until it is acknowledged.

        Parameters
        ----------
        *keys : str
            The request's statements.
        limit : float
            The time at which the caller gives up, seconds.
        """
        while self._world.now < limit:
            if await self.write(*keys, marked=True) is None:
                return True
            await deferLater(self._world.caller, PAUSE)
        return False

    async def read(self) -> bool:
        """Read once; return whether there was an answer."""
        started = self._world.now
        token = self.token
        reply: ReadReply | None = await self._call(
            "read", lambda proxy: proxy.read(token)
        )
        if reply is None or reply.keys is None:
            return False
        read = ReadAnswered(self.name, GROUP, reply.keys, started)
        self._world.history.append(read)
        return True

    async def read_until(self, limit: float) -> bool:
        """Read again, through other proxies, until there is an answer."""
        while self._world.now < limit:
            if await self.read():
                return True
            await deferLater(self._world.caller, PAUSE)
        return False

    async def _call(self, label: str, run) -> object | None:
        """Send a request to the next proxy; None if no answer came."""
        self._sent += 1
        proxy = self._world.proxies[next(self._proxies)]
        request = f"{self.name}/{self._sent}"
        answer = self._world.network.call(
            self._world.caller,
            proxy.node,
            label,
            lambda: self._serve(proxy, request, run),
        )
        try:
            return await answer.addTimeout(CALL_LIMIT, self._world.caller)
        except (ConnectionLost, TimeoutError):
            return None

    async def _serve(self, proxy: BenchProxy, request: str, run) -> object:
        """Run a request at its proxy, and record its start and its answer there."""
        world = self._world
        if not proxy.leaving:
            world.history.append(RequestStarted(request, proxy.name, world.now))
        reply = await run(proxy)
        world.history.append(RequestAnswered(request, (), (), world.now))
        return reply
