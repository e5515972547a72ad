"""Counters and histograms of one instance, in the Prometheus text format.

It uses plain numbers and no client library, to keep the memory and the start-up time of
a process low. Names follow OpenTelemetry's conventions.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from itertools import accumulate, groupby

from beryltrack.metrics.catalog import format_header
from beryltrack.metrics.messages import (
    MetricSample,
    RequestKind,
    RequestOutcome,
    RequestSummary,
    TargetKind,
)

BUCKET_BOUNDS = (0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the histogram buckets for durations, in seconds."""


class Histogram:
    """A histogram of durations."""

    def __init__(self):
        self._counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self._sum = 0.0

    def record(self, seconds: float) -> None:
        """Add a duration to its bucket."""
        self._counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self._sum += seconds

    def render(self, name: str) -> Iterable[str]:
        """Yield the lines of the text format."""
        yield from format_header(name)
        bounds = (*map(str, BUCKET_BOUNDS), "+Inf")
        total = sum(self._counts)
        for bound, count in zip(bounds, accumulate(self._counts), strict=True):
            yield f'{name}_bucket{{le="{bound}"}} {count}'
        yield f"{name}_sum {self._sum}"
        yield f"{name}_count {total}"


class ClassCounts:
    """Counts of the requests of one priority and account class."""

    __slots__ = ("in_target_latency", "refused", "requests", "served", "waited")

    def __init__(self):
        self.requests = self.served = self.in_target_latency = 0
        self.waited = 0.0
        self.refused: Counter[str] = Counter()

    def get_samples(self, labels: str) -> Iterable[MetricSample]:
        """Yield the counts as samples with the given labels."""
        yield "beryltrack_priority_requests_total", labels, self.requests
        yield "beryltrack_priority_served_total", labels, self.served
        yield "beryltrack_priority_in_aim_total", labels, self.in_target_latency
        yield "beryltrack_priority_wait_seconds_total", labels, round(self.waited, 4)
        for reason, count in self.refused.items():
            with_reason = f'{labels},reason="{reason}"'
            yield "beryltrack_priority_refused_total", with_reason, count


class PrometheusMetrics:
    """All metrics of one instance; see `RequestMetrics`."""

    def __init__(self):
        self._requests: Counter = Counter()
        self._classes: defaultdict[tuple[int, bool], ClassCounts] = defaultdict(
            ClassCounts
        )
        self._queue_time = Histogram()
        self._confirm_wait = Histogram()
        self._get_further_samples: Callable[[], Iterable[MetricSample]] = tuple

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count a request that ended, by kind, outcome and target."""
        self._requests[kind, outcome, target] += 1

    def count_by_priority(self, summary: RequestSummary) -> None:
        """Count a request that ended, by priority and account class."""
        counts = self._classes[summary.priority, summary.has_account]
        counts.requests += 1
        counts.served += summary.is_served
        counts.in_target_latency += summary.is_in_aim
        if summary.refused_for:
            counts.refused[summary.refused_for] += 1

    def record_wait_by_priority(
        self, priority: int, has_account: bool, seconds: float
    ) -> None:
        """Record how many seconds a request waited, even if it got no connection."""
        self._classes[priority, has_account].waited += seconds

    def record_queue_time(self, seconds: float) -> None:
        """Record how many seconds a request waited for a connection."""
        self._queue_time.record(seconds)

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how many seconds a commit waited for a majority to receive it."""
        self._confirm_wait.record(seconds)

    def set_sample_source(
        self, get_samples: Callable[[], Iterable[MetricSample]]
    ) -> None:
        """Set the function that returns further samples, called at each scrape."""
        self._get_further_samples = get_samples

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        lines = [
            *_render_samples(
                [*self._get_request_samples(), *self._get_further_samples()]
            ),
            *self._queue_time.render("beryltrack_queue_time_seconds"),
            *self._confirm_wait.render("beryltrack_confirm_wait_seconds"),
        ]
        return ("\n".join(lines) + "\n").encode()

    def _get_request_samples(self) -> Iterable[MetricSample]:
        """Yield the counts of requests as samples."""
        for (kind, outcome, target), count in self._requests.items():
            labels = (
                f'kind="{kind.value}",outcome="{outcome.value}",target="{target.value}"'
            )
            yield "beryltrack_requests_total", labels, count
        for (priority, has_account), counts in sorted(self._classes.items()):
            name = "account" if has_account else "none"
            yield from counts.get_samples(
                f'priority="{priority}",account_class="{name}"'
            )


def _render_samples(samples: list[MetricSample]) -> Iterable[str]:
    """Yield the lines of samples, grouped by name as the format requires."""
    for name, values in groupby(sorted(samples, key=_get_name), _get_name):
        yield from format_header(name)
        for _, labels, value in values:
            yield f"{name}{{{labels}}} {value}" if labels else f"{name} {value}"


def _get_name(sample: MetricSample) -> str:
    """Return the name of a sample."""
    return sample[0]
