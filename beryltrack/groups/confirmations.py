"""Those who wait for the proof that no later term has a primary, and who is asked.

Where others than the primary prove its term, a few of them are asked for all who wait.
The replicas that have received most are asked first: they nearly always answer at once.
The others are asked when those have not answered in time.
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
    """What the waiting asks of the task that owns it."""

    @property
    def view(self) -> GroupView:
        """The group as it is known now."""

    @property
    def witness_count(self) -> int:
        """How many databases beside the primary have to confirm its term."""

    def get_time(self) -> float:
        """Return a time later than that of any request before."""

    def get_sent_at(self, database: str) -> float:
        """Return when a database was last asked."""

    def wake(self, database: str) -> None:
        """Ask a database now."""


class LeadershipConfirmations:
    """The requests that wait until the primary's term is confirmed.

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
        self._look_call: IDelayedCall | None = None

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires once the term is confirmed after this call.

        It has no timeout of its own; cancel it.
        """
        answer = self._waiting.wait(self._owner.get_time())
        view = self._owner.view
        names = get_witnesses(view, self._owner.witness_count)
        for name in names or (item.name for item in view.databases):
            self._owner.wake(name)
        if self._look_call is None or not self._look_call.active():
            self._plan_look()
        return answer.addCallback(_return_none)

    def wants(self, database: str) -> bool:
        """Return whether a database is to be asked again at once."""
        sent_at = self._owner.get_sent_at(database)
        if not self._waiting.wants_after(sent_at):
            return False
        return database in get_witnesses(self._owner.view, self._owner.witness_count)

    def answer(self, confirmed_at: float) -> None:
        """Answer those who waited for the proof up to a time."""
        self._waiting.answer(
            lambda called_at: True if confirmed_at >= called_at else None
        )

    def stop(self) -> None:
        """Give up whoever waits."""
        self._waiting.stop()
        if self._look_call is not None and self._look_call.active():
            self._look_call.cancel()

    def _plan_look(self) -> None:
        """Look in a while whether the first witnesses have answered."""
        self._look_call = self._reactor.callLater(WITNESS_TIMEOUT, self._look)

    def _look(self) -> None:
        """Ask all for what the first witnesses have not confirmed in time."""
        if not self._waiting:
            return
        oldest = self._waiting.oldest
        if self._seconds() - oldest >= WITNESS_TIMEOUT / 2:
            for item in self._owner.view.databases:
                is_asked = self._owner.get_sent_at(item.name) >= oldest
                if item.role != PRIMARY and not is_asked:
                    self._owner.wake(item.name)
        self._plan_look()


def _return_none(proof: object) -> None:
    """Return nothing: that there is a proof is all that is told."""
