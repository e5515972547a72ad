"""Counts and durations of one instance, in the text form of Prometheus.

It keeps plain numbers and loads no library, for processes whose memory and start
are paid for. Names follow OpenTelemetry's conventions.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import accumulate

from beryltrack.metrics.messages import (
    RequestKind,
    RequestOutcome,
    TargetKind,
)

BOUNDS = (0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the buckets of durations, seconds."""

Gauge = tuple[str, str, float]
"""Name, labels in the text form, and value."""


class Histogram:
    """Durations in buckets."""

    def __init__(self):
        self._counts = [0] * (len(BOUNDS) + 1)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        """Record a duration."""
        self._counts[bisect_left(BOUNDS, seconds)] += 1
        self._sum += seconds

    def render(self, name: str) -> Iterable[str]:
        """Return the lines of the text form."""
        bounds = (*map(str, BOUNDS), "+Inf")
        total = sum(self._counts)
        for bound, count in zip(bounds, accumulate(self._counts), strict=True):
            yield f'{name}_bucket{{le="{bound}"}} {count}'
        yield f"{name}_sum {self._sum}"
        yield f"{name}_count {total}"


class PlainMetrics:
    """All counts of one instance; see `RequestMetrics`."""

    def __init__(self):
        self._requests: Counter = Counter()
        self._queue_time = Histogram()
        self._confirm_wait = Histogram()
        self._get_gauges: Callable[[], Iterable[Gauge]] = tuple

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count one request that ended."""
        self._requests[kind, outcome, target] += 1

    def record_queue_time(self, seconds: float) -> None:
        """Record how long a request waited for a connection."""
        self._queue_time.record(seconds)

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how long a commit waited for a majority to receive it."""
        self._confirm_wait.record(seconds)

    def set_gauges(self, get_gauges: Callable[[], Iterable[Gauge]]) -> None:
        """Tell where a scrape finds the values of the moment."""
        self._get_gauges = get_gauges

    def render(self) -> bytes:
        """Return all metrics as text."""
        counts = (
            f'beryltrack_requests_total{{kind="{kind.value}",'
            f'outcome="{outcome.value}",target="{target.value}"}} {count}'
            for (kind, outcome, target), count in self._requests.items()
        )
        gauges = (
            f"{name}{{{labels}}} {value}" if labels else f"{name} {value}"
            for name, labels, value in self._get_gauges()
        )
        lines = [
            *counts,
            *self._queue_time.render("beryltrack_queue_time_seconds"),
            *self._confirm_wait.render("beryltrack_confirm_wait_seconds"),
            *gauges,
        ]
        return ("\n".join(lines) + "\n").encode()
