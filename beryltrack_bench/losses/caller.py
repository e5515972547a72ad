"""A caller that writes through one proxy in a loop.

It follows the request path of an at-most-once write: it waits while no primary is
known, cancels an attempt when the primary is replaced, and repeats a write until
it is acknowledged. The fake database answers a repeat with the position of the
first commit, as the ledger does.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import GroupView, get_primary
from beryltrack.transactions.decider import CommitOutcome
from beryltrack_bench.fakes.database import WriteRefused
from beryltrack_bench.fakes.group import FakeGroup
from beryltrack_bench.fakes.nodes import Node
from beryltrack_bench.history import Event, WriteAcknowledged, WriteRequested

# Times in seconds.
THINK_TIME = 0.1
RETRY_INTERVAL = 0.005
SEND_TIMEOUT = 1.0
CONFIRM_TIMEOUT = 1.0


class Acknowledgement(NamedTuple):
    """One acknowledged write.

    Parameters
    ----------
    at : float
        When the proxy confirmed it, seconds.
    term : int
        The term of the proxy's view at that time.
    """

    at: float
    term: int


class WritingCaller:
    """Writes through one proxy to one group, one write at a time.

    Parameters
    ----------
    node : Node
        The proxy.
    task : GroupTask
        The proxy's task for the group.
    group : FakeGroup
        The group.
    setup_time : float
        Time to open a connection to a database, seconds.
    record : callable
        Called with each event for the history.
    """

    def __init__(
        self,
        node: Node,
        task: GroupTask,
        group: FakeGroup,
        setup_time: float,
        record: Callable[[Event], None],
    ):
        self.acknowledged: list[Acknowledgement] = []
        self._node = node
        self._task = task
        self._group = group
        self._setup_time = setup_time
        self._record = record
        self._connected: set[str] = set()
        self._sending: Deferred | None = None
        self._sent_to = ""
        self._stopped = False
        task.subscribe(self._handle_view)

    def start(self) -> None:
        """Start the loop of writes."""
        Deferred.fromCoroutine(self._run())

    def stop(self) -> None:
        """Start no further write."""
        self._stopped = True

    async def _run(self) -> None:
        number = 0
        while not self._stopped:
            number += 1
            await self._write(f"{self._node.name}/{number}")
            await self._sleep(THINK_TIME)

    async def _write(self, key: str) -> None:
        """Repeat one write until it is acknowledged or the caller is stopped."""
        while not await self._send_once(key):
            if self._stopped:
                return
            await self._sleep(RETRY_INTERVAL)
        now = self._node.seconds()
        self.acknowledged.append(Acknowledgement(now, self._task.view.term))
        name = self._node.name
        self._record(WriteAcknowledged(name, self._group.name, (key,), now))

    async def _send_once(self, key: str) -> bool:
        """Send a write once; return whether it is acknowledged."""
        primary = get_primary(self._task.view)
        if primary is None or not primary.reachable:
            return False
        if primary.name not in self._connected:
            await self._sleep(self._setup_time)
            self._connected.add(primary.name)
        position = await self._send(primary.name, key)
        if position is None:
            return False
        outcome = await self._task.confirm(position, CONFIRM_TIMEOUT)
        return outcome is CommitOutcome.CONFIRMED

    async def _send(self, database: str, key: str) -> LogPosition | None:
        """Return the position of the commit; None if there is no answer."""
        now = self._node.seconds()
        name = self._node.name
        self._record(WriteRequested(name, self._group.name, (key,), True, now))
        answer = self._group.write(self._node, database, key, at_most_once=True)
        self._sending, self._sent_to = answer, database
        try:
            return await answer.addTimeout(SEND_TIMEOUT, self._node)
        except WriteRefused:
            return None
        except (ConnectionLost, TimeoutError, CancelledError):
            self._connected.discard(database)
            return None
        finally:
            self._sending = None

    def _handle_view(self, view: GroupView) -> None:
        """Cancel an attempt whose database is no longer the primary."""
        if self._sending is not None and view.primary != self._sent_to:
            self._sending.cancel()

    def _sleep(self, seconds: float) -> Deferred:
        return deferLater(self._node, seconds)
