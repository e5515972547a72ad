"""The watch of one database: a loop that requests its status, one request at a time.

While a request waits for the database's progress, the watch sends a long poll for it.
Otherwise it sends short probes at the interval that the owner returns, so that the idle
control connection is free at once for a grant or a new long poll.
"""

import logging
from typing import NamedTuple, Protocol

from returns.result import Result
from twisted.internet.defer import CancelledError, Deferred

from beryltrack.groups.adapter import ControlFailure, DatabaseGroup, StatusWait
from beryltrack.groups.messages import DatabaseStatus

log = logging.getLogger(__name__)

StatusResult = Result[DatabaseStatus, ControlFailure]


class LongPoll(NamedTuple):
    """A long poll for a status.

    Parameters
    ----------
    wait : StatusWait
        The conditions that end it.
    timeout : float
        Seconds after which it ends in any case.
    """

    wait: StatusWait
    timeout: float


class WatchOwner(Protocol):
    """What a watch needs of the group's task."""

    def begin_request(self, database: str) -> float:
        """Return the send time of the next request, later than all before it."""

    def get_long_poll(self, database: str) -> LongPoll | None:
        """Return the long poll to send to a database; None for a short probe."""

    def get_delay(self, database: str) -> float:
        """Return the seconds between a result and the next request to a database."""

    def handle_result(
        self, database: str, result: StatusResult, sent_at: float
    ) -> None:
        """Handle the result of a request that was sent at `sent_at`."""


class DatabaseWatch:
    """Requests the status of one database repeatedly.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    database : str
        The database's name.
    adapter : DatabaseGroup
        Sends the requests.
    owner : WatchOwner
        Decides on the next request and handles the results.
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
        """Start the loop."""
        self._loop = Deferred.fromCoroutine(self._run())
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))

    def stop(self) -> None:
        """Stop the loop and cancel a running request."""
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.cancel()

    def wake(self) -> None:
        """Send the next request now, or as soon as the current one is answered."""
        self._woken = True
        if self._pause is not None:
            self._pause.callback(None)

    async def _run(self) -> None:
        while True:
            self._woken = False
            sent_at = self._owner.begin_request(self._database)
            result = await self._ask()
            self._deliver_result(result, sent_at)
            await self._wait_for_next()

    def _deliver_result(self, result: StatusResult, sent_at: float) -> None:
        """Pass a result to the owner; an exception there must not end the loop."""
        try:
            self._owner.handle_result(self._database, result, sent_at)
        except Exception:
            log.exception(
                "groups: handling a status of %s failed; its watch continues.",
                self._database,
            )

    async def _ask(self) -> StatusResult:
        request = self._owner.get_long_poll(self._database)
        if request is None:
            return await self._adapter.get_status(self._database)
        return await self._adapter.wait_status(
            self._database, request.wait, request.timeout
        )

    async def _wait_for_next(self) -> None:
        """Pause until the next request is due or `wake` is called."""
        delay = 0.0 if self._woken else self._owner.get_delay(self._database)
        self._pause = Deferred()
        timer = self._reactor.callLater(delay, self.wake)
        try:
            await self._pause
        finally:
            self._pause = None
            if timer.active():
                timer.cancel()
