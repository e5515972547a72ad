"""One database's watch: a loop that asks for its status, one request at a time.

While somebody waits for the database, the request is a long poll for just
that. Otherwise it is a plain probe at a settable pace, so that an idle control
connection is free at once for a grant or for a new wait.
"""

import logging
from typing import NamedTuple, Protocol

from returns.result import Result
from twisted.internet.defer import CancelledError, Deferred

from beryltrack.groups.adapter import ControlFailure, DatabaseGroup, StatusWait
from beryltrack.groups.messages import DatabaseStatus

log = logging.getLogger(__name__)

StatusResult = Result[DatabaseStatus, ControlFailure]


class WatchWait(NamedTuple):
    """A long poll to make.

    Parameters
    ----------
    wait : StatusWait
        What ends it.
    timeout : float
        Seconds after which it ends in any case.
    """

    wait: StatusWait
    timeout: float


class WatchOwner(Protocol):
    """What a watch asks of the task that owns it."""

    def begin_request(self, database: str) -> float:
        """Return the send time of the next request, later than all before it."""

    def get_wait(self, database: str) -> WatchWait | None:
        """Return the long poll that is wanted of a database, if any."""

    def get_delay(self, database: str) -> float:
        """Return the seconds until the next request to a database."""

    def take_result(self, database: str, result: StatusResult, sent_at: float) -> None:
        """Take in the result of a request sent at the time `sent_at`."""


class DatabaseWatch:
    """Asks one database for its status, again and again.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    database : str
        The database's name.
    adapter : DatabaseGroup
        Carries the requests.
    owner : WatchOwner
        Says what to ask when, and takes the results.
    """

    def __init__(
        self, reactor, database: str, adapter: DatabaseGroup, owner: WatchOwner
    ):
        self._reactor = reactor
        self._database = database
        self._adapter = adapter
        self._owner = owner
        self._pause: Deferred | None = None
        self._woken = False
        self._loop: Deferred | None = None

    def start(self) -> None:
        """Begin to ask."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Ask no more."""
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.cancel()

    def wake(self) -> None:
        """Make the next request now, or as soon as the present one is answered."""
        self._woken = True
        if self._pause is not None:
            self._pause.callback(None)

    async def _run(self) -> None:
        while True:
            self._woken = False
            sent_at = self._owner.begin_request(self._database)
            result = await self._ask()
            self._give_result(result, sent_at)
            await self._wait_for_next()

    def _give_result(self, result: StatusResult, sent_at: float) -> None:
        """Give a result to the owner; a defect there must not end the watch."""
        try:
            self._owner.take_result(self._database, result, sent_at)
        except Exception:
            log.exception("groups: a status of %s met a defect.", self._database)

    async def _ask(self) -> StatusResult:
        request = self._owner.get_wait(self._database)
        if request is None:
            return await self._adapter.get_status(self._database)
        return await self._adapter.wait_status(
            self._database, request.wait, request.timeout
        )

    async def _wait_for_next(self) -> None:
        """Pause until the next request is due or somebody wakes the watch."""
        delay = 0.0 if self._woken else self._owner.get_delay(self._database)
        self._pause = Deferred()
        timer = self._reactor.callLater(delay, self.wake)
        try:
            await self._pause
        finally:
            self._pause = None
            if timer.active():
                timer.cancel()
