"""Requests that wait for the proof that no later term had a primary.

It is a quorum check like Raft's ReadIndex, shared by all waiting requests. Where
databases other than the primary prove its term, as many replicas as the proof needs
(the witnesses) are asked first, those that have received most: they nearly always
answer at once. The other replicas are asked when the witnesses do not answer in time.
"""

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.poll_schedule import WITNESS_TIMEOUT, get_witnesses
from beryltrack.groups.view import GroupView
from beryltrack.groups.waiters import ProofWaiters


class ConfirmationOwner(Protocol):
    """What `LeadershipConfirmations` needs of the group's task."""

    @property
    def view(self) -> GroupView:
        """The current view of the group."""

    @property
    def witness_count(self) -> int:
        """Number of databases besides the primary that have to confirm its term."""

    def get_time(self) -> float:
        """Return a time later than that of any request before."""

    def get_sent_at(self, database: str) -> float:
        """Return the send time of the last request to a database."""

    def wake(self, database: str) -> None:
        """Request a database's status now."""


class LeadershipConfirmations:
    """Requests that wait until the primary's term is confirmed.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    owner : ConfirmationOwner
        The group's task.
    """

    def __init__(self, reactor, owner: ConfirmationOwner):
        self._reactor = reactor
        self._seconds = get_monotonic_clock(reactor)
        self._owner = owner
        self._waiting = ProofWaiters()
        self._fallback_call: IDelayedCall | None = None

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires once the term is confirmed after this call.

        It has no timeout of its own; the caller cancels it.
        """
        answer = self._waiting.wait(self._owner.get_time())
        view = self._owner.view
        names = get_witnesses(view, self._owner.witness_count)
        for name in names or (item.name for item in view.databases):
            self._owner.wake(name)
        if self._fallback_call is None or not self._fallback_call.active():
            self._schedule_fallback()
        return answer.addCallback(_return_none)

    def needs_request(self, database: str) -> bool:
        """Return whether a database has to be asked again at once."""
        sent_at = self._owner.get_sent_at(database)
        if not self._waiting.needs_request_after(sent_at):
            return False
        return database in get_witnesses(self._owner.view, self._owner.witness_count)

    def answer(self, confirmed_at: float) -> None:
        """Answer the requests that were made at or before `confirmed_at`."""
        self._waiting.answer(
            lambda called_at: True if confirmed_at >= called_at else None
        )

    def stop(self) -> None:
        """Cancel all waiting requests."""
        self._waiting.stop()
        if self._fallback_call is not None and self._fallback_call.active():
            self._fallback_call.cancel()

    def _schedule_fallback(self) -> None:
        """Check after `WITNESS_TIMEOUT` whether the witnesses have answered."""
        self._fallback_call = self._reactor.callLater(
            WITNESS_TIMEOUT, self._ask_all_replicas
        )

    def _ask_all_replicas(self) -> None:
        """Ask all replicas if the witnesses have not answered in time."""
        if not self._waiting:
            return
        oldest = self._waiting.oldest
        if self._seconds() - oldest >= WITNESS_TIMEOUT / 2:
            for item in self._owner.view.databases:
                is_asked = self._owner.get_sent_at(item.name) >= oldest
                if item.role != PRIMARY and not is_asked:
                    self._owner.wake(item.name)
        self._schedule_fallback()


def _return_none(proof: object) -> None:
    """Return None: the waiting request learns only that there is a proof."""
