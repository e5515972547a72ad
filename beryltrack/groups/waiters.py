"""Requests that wait for a proof, or for a database's progress, in a group's view."""

from collections.abc import Callable, Container
from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.view import GroupView, get_database, has_applied


class ProofWaiter(NamedTuple):
    """A request that waits for a proof as of a time.

    Parameters
    ----------
    called_at : float
        Only answers to requests sent at or after this time count.
    answer : Deferred
        Fires with the proof.
    """

    called_at: float
    answer: Deferred


class ProofWaiters:
    """All requests that wait for one kind of proof, in the order of their calls."""

    def __init__(self) -> None:
        self._waiting: list[ProofWaiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def oldest(self) -> float:
        """Time of the call that has waited longest."""
        return self._waiting[0].called_at

    def wait(self, called_at: float) -> Deferred:
        """Return a Deferred that fires with a proof as of `called_at` or later."""
        waiter = ProofWaiter(called_at, Deferred())
        self._waiting.append(waiter)
        return waiter.answer.addBoth(_remove, self._waiting, waiter)

    def needs_request_after(self, sent_at: float) -> bool:
        """Return whether a status request sent at `sent_at` is too old for a waiter."""
        return any(waiter.called_at > sent_at for waiter in self._waiting)

    def answer(self, get_proof: Callable[[float], object | None]) -> None:
        """Fire the Deferreds for whose times `get_proof` returns a proof, not None."""
        for waiter in tuple(self._waiting):
            proof = get_proof(waiter.called_at)
            if proof is not None:
                waiter.answer.callback(proof)

    def stop(self) -> None:
        """Cancel all waiting requests."""
        for waiter in tuple(self._waiting):
            waiter.answer.cancel()


class AppliedWaiter(NamedTuple):
    """A request that waits until a database has applied a token's position.

    Parameters
    ----------
    database : str
        The database.
    token : LogPosition
        The position that it has to apply.
    answer : Deferred
        Fires with True when it has, with False at the timeout.
    """

    database: str
    token: LogPosition
    answer: Deferred


class ViewWaiters:
    """All requests that wait for a sample or for the progress of a database.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._samples = ProofWaiters()
        self._applied: list[AppliedWaiter] = []

    @property
    def has_samples(self) -> bool:
        """True if a request waits for a sample of the primary."""
        return bool(self._samples)

    def wait_sample(self, called_at: float) -> Deferred:
        """Return a Deferred of a position sampled at or after `called_at`."""
        return self._samples.wait(called_at)

    def wait_applied(
        self, database: str, token: LogPosition, timeout: float
    ) -> Deferred:
        """Return a Deferred of whether a database applies a token in time."""
        waiter = AppliedWaiter(
            database, token, make_timed_deferred(self._reactor, timeout, False)
        )
        self._applied.append(waiter)
        return waiter.answer.addBoth(_remove, self._applied, waiter)

    def needs_sample_after(self, sent_at: float) -> bool:
        """Return whether a request sent at `sent_at` is too old for a waiter."""
        return self._samples.needs_request_after(sent_at)

    def get_tokens(self, database: str) -> list[LogPosition]:
        """Return the tokens that requests wait for at a database."""
        return [each.token for each in self._applied if each.database == database]

    def answer_applied(self, view: GroupView) -> None:
        """Fire the Deferreds whose databases have applied their tokens."""
        for waiter in tuple(self._applied):
            item = get_database(view, waiter.database)
            if item is not None and has_applied(item, waiter.token):
                waiter.answer.callback(True)

    def answer_samples(self, get_sample: Callable[[float], LogPosition | None]) -> None:
        """Fire the Deferreds for whose times there is a confirmed sample."""
        self._samples.answer(get_sample)

    def keep_databases(self, names: Container[str]) -> None:
        """Fire with False the Deferreds of databases other than these."""
        for waiter in tuple(self._applied):
            if waiter.database not in names:
                waiter.answer.callback(False)

    def stop(self) -> None:
        """End all waits: with False for tokens, by cancelling for samples."""
        self.keep_databases(())
        self._samples.stop()


def _remove(result: object, waiters: list, waiter: object) -> object:
    """Remove a waiter that was answered or cancelled, and return the result."""
    waiters.remove(waiter)
    return result


def make_timed_deferred(reactor, timeout: float, timeout_result: object) -> Deferred:
    """Return a Deferred that fires with `timeout_result` unless it fires before.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    timeout : float
        Seconds.
    timeout_result : object
        Its result at the timeout.

    Returns
    -------
    Deferred
        Fire it by `callback` at most once, and only while it is not `called`.
    """
    answer: Deferred = Deferred()
    timer = reactor.callLater(timeout, answer.callback, timeout_result)

    def cancel_timer(result: object) -> object:
        if timer.active():
            timer.cancel()
        return result

    return answer.addBoth(cancel_timer)
