"""The execution slots of a database, which limit the statements it runs at once."""

from twisted.internet.defer import DeferredSemaphore
from twisted.internet.task import deferLater

from beryltrack.groups.messages import LogPosition
from beryltrack_bench.fakes.database import FakeDatabase


class SlotServer:
    """Runs a limited number of statements at once and queues the others."""

    def __init__(self, database: FakeDatabase, slots: int):
        self._database = database
        self._slots = DeferredSemaphore(slots)

    async def read(self, service_time: float) -> LogPosition:
        """Run a read; return the position applied when it began to run."""
        await self._slots.acquire()
        position = self._database.log.applied
        await self._run(service_time)
        return position

    async def write(self, key: str, service_time: float) -> LogPosition:
        """Run a write; return the position of its commit."""
        await self._slots.acquire()
        await self._run(service_time)
        return await self._database.write(key)

    async def _run(self, service_time: float) -> None:
        """Run a statement in the acquired slot, and release the slot."""
        await deferLater(self._database.node, service_time)
        self._slots.release()
