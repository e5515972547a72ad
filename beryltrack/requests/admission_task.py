"""Carries out admission control, and evicts waiting requests.

A request waits for a change of its group's view, for a sampled position or for a
connection. Its ticket holds the Deferred that it waits for, so that a request that
is evicted, or whose caller has disconnected, stops waiting at once.
"""

import logging
from collections.abc import Callable
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
"""Number of a request that runs although it was not admitted."""

DELAY_PERIOD = 0.1
"""Period of the measurement of timer delays, seconds."""

_Value = TypeVar("_Value")


class Evicted(Exception):
    """Raised in a waiting request that has to stop waiting.

    Parameters
    ----------
    error : SqlError
        The refusal: the request was not run.
    """

    def __init__(self, error: SqlError):
        super().__init__(error.message)
        self.error = error


class Ticket:
    """One admitted request.

    Parameters
    ----------
    number : int
        Its number.
    admission : AdmissionTask
        The task that issued the ticket.
    """

    def __init__(self, number: int, admission: "AdmissionTask"):
        self.number = number
        self._admission = admission
        self._waiting: Deferred | None = None
        self._error: SqlError | None = None

    async def wait(self, start: "Callable[[], Deferred[_Value]]") -> _Value:
        """Start to wait for something that a request needs before it is sent.

        A request that has been evicted starts nothing: what it acquired would have no
        owner.

        Parameters
        ----------
        start : callable
            Returns a Deferred. Once cancelled it must not fire with a value that has to
            be given back.

        Raises
        ------
        Evicted
            If the request has to stop waiting.
        """
        if self._error is not None:
            raise Evicted(self._error)
        self._waiting = start()
        try:
            return await self._waiting
        except CancelledError:
            if self._error is not None:
                raise Evicted(self._error) from None
            raise
        finally:
            self._waiting = None

    def evict(self, error: SqlError) -> None:
        """End the request's wait with an error; a running request continues."""
        self._error = error
        if self._waiting is not None:
            self._waiting.cancel()

    def start(self) -> None:
        """Record that the request has a connection; it is not evicted any more."""
        self._admission.start_request(self.number)

    def finish(self) -> None:
        """Record that the request has ended."""
        self._admission.finish_request(self.number)


class AdmissionTask:
    """Admits the requests of an instance.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    policy : AdmissionPolicy, optional
        Parameters of the decisions.
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
        """Number of admitted requests, running and waiting."""
        return self._decider.admitted_count

    def start(self) -> None:
        """Start measuring the delay of timers."""
        self._expected_at = self._seconds() + DELAY_PERIOD
        self._measuring.start(DELAY_PERIOD, now=False)

    def stop(self) -> None:
        """Stop measuring."""
        if self._measuring.running:
            self._measuring.stop()

    def admit(self, team: str, deadline: float) -> Result[Ticket, SqlError]:
        """Admit a request, or refuse it at once.

        Parameters
        ----------
        team : str
            The team that it belongs to.
        deadline : float
            Time, by the instance's clock, by which it must be done.

        Returns
        -------
        Result of Ticket or SqlError
            A refusal means that the request was not run.
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

    def evict_all(self, error: SqlError) -> None:
        """Refuse all requests that wait; one that runs ends, but is not repeated."""
        for ticket in tuple(self._tickets.values()):
            ticket.evict(error)

    def start_request(self, number: int) -> None:
        """Record that a request runs."""
        self._decider.start(number)

    def finish_request(self, number: int) -> None:
        """Record that a request has ended."""
        self._tickets.pop(number, None)
        self._decider.finish(number, self._seconds())

    def _measure_delay(self) -> None:
        """Pass the lateness of this call to the decider."""
        now = self._seconds()
        self._decider.observe_delay(max(0.0, now - self._expected_at), now)
        self._expected_at = now + DELAY_PERIOD


def _make_error(refusal: RefuseRequest) -> SqlError:
    """Return the error for a refusal."""
    return make_refusal(refusal.reason.value, refusal.retry_after, refusal.sqlstate)
