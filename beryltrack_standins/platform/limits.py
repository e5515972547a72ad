"""Rate limits and faults of the stand-in platform."""

from typing import NamedTuple

FAULTS = ("down", "up", "slow", "lose_answers")


class PlatformOptions(NamedTuple):
    """Limits and delays of the stand-in platform.

    Parameters
    ----------
    writes_per_second : float
        The limit of the rate of writes.
    reads_per_second : float
        The limit of the rate of reads; a watch counts as one.
    list_lag : float
        Seconds until a change of an instance appears in the instance list.
    max_value_bytes : int
        The largest value that it accepts, as the size of the request body.
    """

    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0
    list_lag: float = 1.0
    max_value_bytes: int = 1_000_000


class TokenBucket:
    """A token bucket that admits calls at a rate, with bursts of one second's worth.

    Parameters
    ----------
    rate : float
        Calls per second.
    now : float
        The current time, seconds.
    """

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._tokens = rate
        self._at = now

    def take(self, now: float) -> bool:
        """Return whether one more call is within the rate at the time `now`."""
        refill = (now - self._at) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PlatformFaults:
    """The faults that are in force."""

    def __init__(self):
        self.down = False
        self.delay = 0.0
        self._answers_to_lose = 0.0

    def set(self, fault: str, value: object) -> None:
        """Inject a fault, or end all faults with ``up``.

        Raises
        ------
        ValueError
            If the fault is not one of `FAULTS`.
        """
        match fault:
            case "down":
                self.down = True
            case "up":
                self.__init__()
            case "slow":
                self.delay = float(value or 0.0)
            case "lose_answers":
                self._answers_to_lose = _get_count(value)
            case _:
                raise ValueError(f"no such fault: {fault}")

    def take_lost_answer(self) -> bool:
        """Return whether the answer to a write that took effect is lost; count it."""
        if self._answers_to_lose <= 0:
            return False
        self._answers_to_lose -= 1
        return True


def _get_count(value: object) -> float:
    """Return how many answers are lost; infinity unless a number is given."""
    if value is None or value is True:
        return float("inf")
    return float(value)
