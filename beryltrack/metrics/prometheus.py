"""Counts and durations of one instance, in the text form of Prometheus.

It keeps plain numbers and loads no library, for processes whose memory and start
are paid for. Names follow OpenTelemetry's conventions.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import accumulate, groupby

from beryltrack.metrics.catalog import format_head
from beryltrack.metrics.messages import (
    MetricSample,
    RequestKind,
    RequestOutcome,
    RequestSummary,
    TargetKind,
)

BOUNDS = (0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the buckets of durations, seconds."""


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
        yield from format_head(name)
        bounds = (*map(str, BOUNDS), "+Inf")
        total = sum(self._counts)
        for bound, count in zip(bounds, accumulate(self._counts), strict=True):
            yield f'{name}_bucket{{le="{bound}"}} {count}'
        yield f"{name}_sum {self._sum}"
        yield f"{name}_count {total}"


class ClassCounts:
    """Counts of the requests of one priority and class of accounts."""

    __slots__ = ("in_aim", "refused", "requests", "served", "waited")

    def __init__(self):
        self.requests = self.served = self.in_aim = 0
        self.waited = 0.0
        self.refused: Counter[str] = Counter()

    def get_gauges(self, labels: str) -> Iterable[MetricSample]:
        """Return the counts in the form of the metrics page."""
        yield "beryltrack_priority_requests_total", labels, self.requests
        yield "beryltrack_priority_served_total", labels, self.served
        yield "beryltrack_priority_in_aim_total", labels, self.in_aim
        yield "beryltrack_priority_wait_seconds_total", labels, round(self.waited, 4)
        for reason, count in self.refused.items():
            own = f'{labels},reason="{reason}"'
            yield "beryltrack_priority_refused_total", own, count


class PrometheusMetrics:
    """All counts of one instance; see `RequestMetrics`."""

    def __init__(self):
        self._requests: Counter = Counter()
        self._classes: defaultdict[tuple[int, bool], ClassCounts] = defaultdict(
            ClassCounts
        )
        self._queue_time = Histogram()
        self._confirm_wait = Histogram()
        self._get_gauges: Callable[[], Iterable[MetricSample]] = tuple

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count one request that ended."""
        self._requests[kind, outcome, target] += 1

    def count_by_priority(self, end: RequestSummary) -> None:
        """Count the same request by what it had asked for."""
        counts = self._classes[end.priority, end.has_account]
        counts.requests += 1
        counts.served += end.is_served
        counts.in_aim += end.is_in_aim
        if end.refused_for:
            counts.refused[end.refused_for] += 1

    def record_wait_by_priority(
        self, priority: int, has_account: bool, seconds: float
    ) -> None:
        """Record how long a request waited, also if it got no connection."""
        self._classes[priority, has_account].waited += seconds

    def record_queue_time(self, seconds: float) -> None:
        """Record how long a request waited for a connection."""
        self._queue_time.record(seconds)

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how long a commit waited for a majority to receive it."""
        self._confirm_wait.record(seconds)

    def set_sample_source(
        self, get_gauges: Callable[[], Iterable[MetricSample]]
    ) -> None:
        """Tell where a scrape finds the values of the moment."""
        self._get_gauges = get_gauges

    def render(self) -> bytes:
        """Return all metrics as text."""
        lines = [
            *_render_gauges([*self._get_counts(), *self._get_gauges()]),
            *self._queue_time.render("beryltrack_queue_time_seconds"),
            *self._confirm_wait.render("beryltrack_confirm_wait_seconds"),
        ]
        return ("\n".join(lines) + "\n").encode()

    def _get_counts(self) -> Iterable[MetricSample]:
        """Return what was counted of requests."""
        for (kind, outcome, target), count in self._requests.items():
            labels = (
                f'kind="{kind.value}",outcome="{outcome.value}",target="{target.value}"'
            )
            yield "beryltrack_requests_total", labels, count
        for (priority, has_account), counts in sorted(self._classes.items()):
            name = "account" if has_account else "none"
            yield from counts.get_gauges(
                f'priority="{priority}",account_class="{name}"'
            )


def _render_gauges(gauges: list[MetricSample]) -> Iterable[str]:
    """Return the lines of values; those of one name must stand together."""
    for name, values in groupby(sorted(gauges, key=_get_name), _get_name):
        yield from format_head(name)
        for _, labels, value in values:
            yield f"{name}{{{labels}}} {value}" if labels else f"{name} {value}"


def _get_name(gauge: MetricSample) -> str:
    """Return the name of a value."""
    return gauge[0]
