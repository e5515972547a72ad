"""Owners that are avoided after a failure, and when each is probed again.

A circuit breaker with exponential backoff: an instance that could not be reached is
avoided until it answers a probe. No caller's request is sent to it meanwhile, and what
other instances have taken over from it stays with them. The intervals between probes
double, as most instances that are away for long do not come back.
"""

import math
from typing import NamedTuple

REFUSAL_AVOID_TIME = 0.5
"""Seconds before the first probe of an instance that answered but refused a connection.
It knows other members or no group yet; each instance knows them 0.02 s after its start
and within seconds of a change. An instance that leaves answers no probe."""

MIN_PROBE_INTERVAL = 0.2
MAX_PROBE_INTERVAL = 8.0
"""Seconds between two probes, the first and the longest interval. After a loss of power
everywhere the other instances are back 0.1 to 0.5 s after the first; one that restarts
alone is back after 1 to 4 s, and the member list drops a lost instance after 8 s."""

MAX_COUNTED_FAILURES = math.ceil(math.log2(MAX_PROBE_INTERVAL / MIN_PROBE_INTERVAL))
"""Failed probes after which the interval is the longest; more are not counted."""


class _Avoided(NamedTuple):
    """When an instance last failed and when it is probed next, seconds."""

    failed_at: float
    probe_due: float
    failures: int = 0


class AvoidedOwners:
    """The instances that are avoided, by name."""

    def __init__(self):
        self._avoided: dict[str, _Avoided] = {}

    def has(self, name: str) -> bool:
        """Return whether an instance is avoided."""
        return name in self._avoided

    def get_failed_at(self, name: str) -> float:
        """Return when an instance last failed, in seconds; 0 if it is not avoided."""
        return self._avoided[name].failed_at if name in self._avoided else 0.0

    def add(self, name: str, now: float, min_time: float = MIN_PROBE_INTERVAL) -> bool:
        """Avoid an instance for at least `min_time` seconds; return if that is new.

        Further failures do not postpone the next probe, as they may never cease.
        """
        known = self._avoided.get(name)
        if known is None:
            self._avoided[name] = _Avoided(now, now + min_time)
        else:
            self._avoided[name] = known._replace(failed_at=now)
        return known is None

    def get_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the instances to probe now."""
        return tuple(
            name for name, each in self._avoided.items() if each.probe_due <= now
        )

    def record_probe_failure(self, name: str, now: float) -> None:
        """Schedule the next probe after one that was not answered."""
        known = self._avoided.get(name)
        if known is not None:
            interval = min(MAX_PROBE_INTERVAL, MIN_PROBE_INTERVAL * 2**known.failures)
            failures = min(known.failures + 1, MAX_COUNTED_FAILURES)
            later = known._replace(probe_due=now + interval, failures=failures)
            self._avoided[name] = later

    def remove(self, name: str) -> bool:
        """Stop avoiding an instance; return whether it was avoided."""
        return self._avoided.pop(name, None) is not None

    def retain(self, names: frozenset[str]) -> None:
        """Drop all instances but these: the others are no longer members."""
        self._avoided = {
            name: each for name, each in self._avoided.items() if name in names
        }
