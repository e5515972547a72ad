"""Holds the requests that an instance has taken on, and ends those put out.

A request waits at several places: for a view, for a sample, for a connection.
Its ticket knows what it waits for, so that one that has to make room for
another team, or whose caller is gone, stops waiting at once.
"""

import logging
from itertools import count
from typing import TypeVar

from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.errors import SqlError, make_refusal
from beryltrack.requests.admission import (
    AdmissionDecider,
    AdmissionPolicy,
    Admit,
    RefuseRequest,
)

log = logging.getLogger(__name__)

UNADMITTED = 0
"""Number of a request that goes on although it was not taken on."""

DELAY_PERIOD = 0.1
"""Seconds between two measurements of the delay inside the process."""

_Value = TypeVar("_Value")


class Evicted(Exception):
    """Raised in a request that waits when it must not wait any more.

    Parameters
    ----------
    error : SqlError
        A true "not run".
    """

    def __init__(self, error: SqlError):
        super().__init__(error.message)
        self.error = error


class Ticket:
    """One request that was taken on.

    Parameters
    ----------
    number : int
        Its number.
    admission : AdmissionTask
        Who gave it.
    """

    def __init__(self, number: int, admission: "AdmissionTask"):
        self.number = number
        self._admission = admission
        self._waiting: Deferred | None = None
        self._error: SqlError | None = None

    async def wait(self, deferred: "Deferred[_Value]") -> _Value:
        """Wait for a Deferred of a request that has not been sent yet.

        Raises
        ------
        PutOut
            If the request has to stop waiting.
        """
        if self._error is not None:
            deferred.cancel()
            deferred.addErrback(lambda _: None)
            raise Evicted(self._error)
        self._waiting = deferred
        try:
            return await deferred
        except CancelledError:
            if self._error is not None:
                raise Evicted(self._error) from None
            raise
        finally:
            self._waiting = None

    def evict(self, error: SqlError) -> None:
        """Stop the request's waiting; one that runs goes on."""
        self._error = error
        if self._waiting is not None:
            self._waiting.cancel()

    def start(self) -> None:
        """Note that the request has a connection: from now on it stays."""
        self._admission.start_request(self.number)

    def finish(self) -> None:
        """Note that the request is over."""
        self._admission.finish_request(self.number)


class AdmissionTask:
    """Decides which requests an instance takes on.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    policy : AdmissionPolicy, optional
        The figures that steer it.
    """

    def __init__(self, reactor, policy: AdmissionPolicy | None = None):
        self._seconds = get_monotonic_clock(reactor)
        self._decider = AdmissionDecider(policy or AdmissionPolicy())
        self._numbers = count(1)
        self._tickets: dict[int, Ticket] = {}
        self._expected_at = 0.0
        self._measuring = LoopingCall(self._measure_delay)
        self._measuring.clock = reactor

    @property
    def admitted_count(self) -> int:
        """Requests held, running and waiting."""
        return self._decider.admitted_count

    def start(self) -> None:
        """Begin to measure the delay inside the process."""
        self._expected_at = self._seconds() + DELAY_PERIOD
        self._measuring.start(DELAY_PERIOD, now=False)

    def stop(self) -> None:
        """Measure no more."""
        if self._measuring.running:
            self._measuring.stop()

    def admit(self, team: str, deadline: float) -> Result[Ticket, SqlError]:
        """Take a request on, or refuse it at once.

        Parameters
        ----------
        team : str
            The team that it belongs to.
        deadline : float
            Time, by the node's clock, by which it must be done.

        Returns
        -------
        Result of Ticket or SqlError
            A refusal is a true "not run".
        """
        number = next(self._numbers)
        actions = self._decider.admit(number, team, deadline, self._seconds())
        for action in actions:
            if isinstance(action, RefuseRequest) and action.request != number:
                self._tickets[action.request].evict(_make_error(action))
        last = actions[-1]
        if not isinstance(last, Admit):
            return Failure(_make_error(last))
        ticket = Ticket(number, self)
        self._tickets[number] = ticket
        return Success(ticket)

    def start_request(self, number: int) -> None:
        """Note that a request runs."""
        self._decider.start(number)

    def finish_request(self, number: int) -> None:
        """Note that a request is over."""
        self._tickets.pop(number, None)
        self._decider.finish(number, self._seconds())

    def _measure_delay(self) -> None:
        """Tell the decider how late this call came."""
        now = self._seconds()
        self._decider.observe_delay(max(0.0, now - self._expected_at), now)
        self._expected_at = now + DELAY_PERIOD


def _make_error(refusal: RefuseRequest) -> SqlError:
    """Return the error of a request that was not taken on."""
    return make_refusal(refusal.reason.value, refusal.retry_after, refusal.sqlstate)
