"""Those who wait for something that a group's view will show."""

from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.groups.messages import LogPosition


class SampleWaiter(NamedTuple):
    """Somebody waits for a position sampled after a time.

    Parameters
    ----------
    called_at : float
        Only samples asked for at or after this time count.
    answer : Deferred
        Fires with the `LogPosition`.
    """

    called_at: float
    answer: Deferred


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


def make_answer(reactor, timeout: float, otherwise: object) -> Deferred:
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
