"""Which instances are passed over, and when to try whether they are back.

An instance that was not reached stays passed over until it answers a probe: it is on
no caller's way meanwhile, and what others have taken over from it stays with them. The
pauses between probes grow, as most that are gone for long stay gone.
"""

import math
from typing import NamedTuple

REFUSAL_AVOID_TIME = 0.5
"""Seconds for which an instance is passed over that answered, but gave no connection:
it knows other members or no group yet, which each instance does 0.02 s after its start
and within seconds of a change. One that leaves answers no probe."""

MIN_PROBE_INTERVAL = 0.2
MAX_PROBE_INTERVAL = 8.0
"""Seconds between two probes, the first and the longest. Where all start again after a
loss of power the others are there 0.1 to 0.5 s after an instance; one that restarts
alone is back after 1 to 4 s, and the members tell after 8 s that one is gone."""

MOST_MISSES = math.ceil(math.log2(MAX_PROBE_INTERVAL / MIN_PROBE_INTERVAL))
"""Probes in vain after which the pause is the longest one; more are not counted."""


class _Avoided(NamedTuple):
    """Since when an instance is passed over, and when it is probed next."""

    at: float
    due: float
    misses: int = 0


class AvoidedOwners:
    """The instances that are passed over, by name."""

    def __init__(self):
        self._avoided: dict[str, _Avoided] = {}

    def has(self, name: str) -> bool:
        """Return whether an instance is passed over."""
        return name in self._avoided

    def get_time(self, name: str) -> float:
        """Return when an instance was last found out of reach; 0 if it is not."""
        return self._avoided[name].at if name in self._avoided else 0.0

    def add(self, name: str, now: float, least: float = MIN_PROBE_INTERVAL) -> bool:
        """Pass over an instance for a time at the least; return if that is new.

        Further failures put off no probe: they may go on for as long as they like.
        """
        known = self._avoided.get(name)
        if known is None:
            self._avoided[name] = _Avoided(now, now + least)
        else:
            self._avoided[name] = known._replace(at=now)
        return known is None

    def get_due(self, now: float) -> tuple[str, ...]:
        """Return which instances are to be probed now."""
        return tuple(name for name, each in self._avoided.items() if each.due <= now)

    def note_miss(self, name: str, now: float) -> None:
        """Take in that a probe was not answered."""
        known = self._avoided.get(name)
        if known is not None:
            pause = min(MAX_PROBE_INTERVAL, MIN_PROBE_INTERVAL * 2**known.misses)
            misses = min(known.misses + 1, MOST_MISSES)
            later = known._replace(due=now + pause, misses=misses)
            self._avoided[name] = later

    def note_answer(self, name: str) -> bool:
        """Pass over an instance no more; return whether it was."""
        return self._avoided.pop(name, None) is not None

    def keep(self, names: frozenset[str]) -> None:
        """Forget all but these: the others are no members any more."""
        self._avoided = {
            name: each for name, each in self._avoided.items() if name in names
        }
