"""Those who wait for something that a group's view will show."""

from collections.abc import Callable, Container
from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.view import GroupView, get_database, has_applied


class ProofWaiter(NamedTuple):
    """Somebody waits for something that is proven up to a time.

    Parameters
    ----------
    called_at : float
        Only what was asked for at or after this time counts.
    answer : Deferred
        Fires with what is proven.
    """

    called_at: float
    answer: Deferred


class ProofWaiters:
    """All who wait for one kind of proof, in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: list[ProofWaiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def oldest(self) -> float:
        """Since when the first of them waits."""
        return self._waiting[0].called_at

    def wait(self, called_at: float) -> Deferred:
        """Return what fires with a proof of what was asked at or after a time."""
        waiter = ProofWaiter(called_at, Deferred())
        self._waiting.append(waiter)
        return waiter.answer.addBoth(_drop, self._waiting, waiter)

    def wants_after(self, sent_at: float) -> bool:
        """Return whether a request of a time is too old for somebody who waits."""
        return any(waiter.called_at > sent_at for waiter in self._waiting)

    def answer(self, get_proof: Callable[[float], object | None]) -> None:
        """Answer those for whose time there is a proof; None says there is none."""
        for waiter in tuple(self._waiting):
            proof = get_proof(waiter.called_at)
            if proof is not None:
                waiter.answer.callback(proof)

    def stop(self) -> None:
        """Cancel all: they wait in vain."""
        for waiter in tuple(self._waiting):
            waiter.answer.cancel()


class AppliedWaiter(NamedTuple):
    """Somebody waits until a database has applied what a token stands for.

    Parameters
    ----------
    database : str
        The database.
    token : LogPosition
        What it has to show.
    answer : Deferred
        Fires with True when it does, with False at the timeout.
    """

    database: str
    token: LogPosition
    answer: Deferred


class ViewWaiters:
    """All who wait for something that a group's view will show.

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
        """True if somebody waits for a sample of the primary."""
        return bool(self._samples)

    def wait_sample(self, called_at: float) -> Deferred:
        """Return what fires with a position sampled at or after a time."""
        return self._samples.wait(called_at)

    def wait_applied(
        self, database: str, token: LogPosition, timeout: float
    ) -> Deferred:
        """Return what fires with whether a database shows a token in time."""
        waiter = AppliedWaiter(
            database, token, make_timed_deferred(self._reactor, timeout, False)
        )
        self._applied.append(waiter)
        return waiter.answer.addBoth(_drop, self._applied, waiter)

    def wants_sample_after(self, sent_at: float) -> bool:
        """Return whether a request of a time is too old for somebody who waits."""
        return self._samples.wants_after(sent_at)

    def get_tokens(self, database: str) -> list[LogPosition]:
        """Return what is waited for at a database."""
        return [each.token for each in self._applied if each.database == database]

    def answer_applied(self, view: GroupView) -> None:
        """Answer those whose database shows what they wait for."""
        for waiter in tuple(self._applied):
            item = get_database(view, waiter.database)
            if item is not None and has_applied(item, waiter.token):
                waiter.answer.callback(True)

    def answer_samples(self, get_sample: Callable[[float], LogPosition | None]) -> None:
        """Answer those for whose time there is a confirmed sample."""
        self._samples.answer(get_sample)

    def keep_databases(self, names: Container[str]) -> None:
        """Tell those who wait for another database that it will not show it."""
        for waiter in tuple(self._applied):
            if waiter.database not in names:
                waiter.answer.callback(False)

    def stop(self) -> None:
        """Tell all that they wait in vain."""
        self.keep_databases(())
        self._samples.stop()


def _drop(result: object, waiters: list, waiter: object) -> object:
    """Take a waiter that was answered or cancelled off its list."""
    waiters.remove(waiter)
    return result


def make_timed_deferred(reactor, timeout: float, otherwise: object) -> Deferred:
    """Return a Deferred that fires with `otherwise` unless it fires before.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    timeout : float
        Seconds.
    otherwise : object
        Its result at the timeout.

    Returns
    -------
    Deferred
        Fire it by `callback` at most once, and only while it is not `called`.
    """
    answer: Deferred = Deferred()
    timer = reactor.callLater(timeout, answer.callback, otherwise)

    def cancel_timer(result: object) -> object:
        if timer.active():
            timer.cancel()
        return result

    return answer.addBoth(cancel_timer)
