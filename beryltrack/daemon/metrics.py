"""Metrics of one proxy by OpenTelemetry, exposed in the format of Prometheus.

Counts on the path of each statement are plain numbers that the scrape reads, so that
counting costs a statement next to nothing. Durations go to histograms.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from beryltrack.metrics.messages import (
    Counters,
    PoolUse,
    RequestKind,
    RequestOutcome,
    RequestSummary,
    TargetKind,
    compute_replica_share,
)

# Histogram buckets, seconds: from a tenth of a millisecond up to a minute.
DURATION_BOUNDS = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 60)
# Seconds. A request that got a connection at once did not wait; recording it would
# cost each statement more than all its counts together.
MIN_RECORDED_WAIT = 0.0001


class InstanceMetrics:
    """All instruments of one instance.

    Parameters
    ----------
    instance : str
        Name of the instance.
    """

    def __init__(self, instance: str):
        self._requests: Counter = Counter()
        self._failovers: Counter = Counter()
        self._settings_revision = 0
        self._get_pool_use: Callable[[], tuple[PoolUse, ...]] = tuple
        # Separate registries allow two instances in one process.
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(
            [reader],
            resource=Resource({"service.instance.id": instance}),
            shutdown_on_exit=False,
            views=[
                View(
                    instrument_unit="s",
                    aggregation=ExplicitBucketHistogramAggregation(DURATION_BOUNDS),
                )
            ],
        )
        self._create_instruments()

    @property
    def counters(self) -> Counters:
        """The counts so far, for the status."""
        by_outcome = Counter()
        by_use = Counter()
        for (kind, outcome, target), count in self._requests.items():
            by_outcome[outcome] += count
            if outcome is RequestOutcome.DONE:
                by_use[kind, target] += count
        return Counters(
            by_use[RequestKind.READ, TargetKind.REPLICA],
            by_use[RequestKind.READ, TargetKind.PRIMARY],
            by_use[RequestKind.WRITE, TargetKind.PRIMARY],
            by_outcome[RequestOutcome.NOT_RUN],
            by_outcome[RequestOutcome.ROLLED_BACK],
            by_outcome[RequestOutcome.UNKNOWN],
            sum(self._failovers.values()),
        )

    @property
    def meter(self) -> Meter:
        """The meter, for the instruments of other components."""
        return self._provider.get_meter("beryltrack")

    def count_request(
        self, kind: RequestKind, outcome: RequestOutcome, target: TargetKind
    ) -> None:
        """Count one request that ended."""
        self._requests[kind, outcome, target] += 1

    def count_by_priority(self, end: RequestSummary) -> None:
        """Count nothing: routes of PostgreSQL groups have no priority."""

    def record_wait_by_priority(
        self, priority: int, has_account: bool, seconds: float
    ) -> None:
        """Record nothing, as `count_by_priority`."""

    def count_failover(self, group: str) -> None:
        """Count a change of primary that this instance carried out."""
        self._failovers[group] += 1

    def record_failover_gap(self, group: str, seconds: float) -> None:
        """Record the time from a lost primary's last answer until the next leads."""
        self._failover_gap.record(seconds, {"group": group})

    def record_queue_time(self, seconds: float) -> None:
        """Record how long a request waited for a connection, if it did."""
        if seconds >= MIN_RECORDED_WAIT:
            self._queue_time.record(seconds)

    def record_confirm_wait(self, seconds: float) -> None:
        """Record how long a commit waited for a majority to receive it."""
        self._confirm_wait.record(seconds)

    def set_settings_revision(self, revision: int) -> None:
        """Record the revision of the settings in force."""
        self._settings_revision = revision

    def set_pool_source(self, get_pool_use: Callable[[], tuple[PoolUse, ...]]) -> None:
        """Set the function that returns the use of the pools for a scrape."""
        self._get_pool_use = get_pool_use

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the provider down; nothing is recorded afterwards."""
        self._provider.shutdown()

    def _create_instruments(self) -> None:
        """Create the instruments of this instance's meter."""
        meter = self.meter
        create_counter = meter.create_observable_counter
        create_gauge = meter.create_observable_gauge
        create_histogram = meter.create_histogram
        self._queue_time = create_histogram(
            "beryltrack_queue_time",
            "s",
            "Waits for a connection to a database, 0.1 ms or longer.",
        )
        self._confirm_wait = create_histogram(
            "beryltrack_confirm_wait", "s", "Waits for a majority to receive a commit."
        )
        self._failover_gap = create_histogram(
            "beryltrack_failover_gap",
            "s",
            "From the last sign of a lost primary until the next one leads.",
        )
        for create, name, observe, text in (
            (
                create_counter,
                "requests",
                self._observe_requests,
                "Requests that ended.",
            ),
            (
                create_counter,
                "failovers",
                self._observe_failovers,
                "Changes of primary that this instance carried out.",
            ),
            (
                create_gauge,
                "replica_share",
                self._observe_share,
                "Share of reads that replicas served.",
            ),
            (
                create_gauge,
                "settings_revision",
                self._observe_revision,
                "Highest version of a settings object that is known.",
            ),
            (
                create_gauge,
                "pool_connections",
                self._observe_pools,
                "Connections to a database, by state.",
            ),
            (
                create_gauge,
                "pool_waiting",
                self._observe_waiting,
                "Requests that wait for a connection to a database.",
            ),
        ):
            create(f"beryltrack_{name}", [observe], description=text)

    def _observe_requests(self, options: CallbackOptions) -> Iterator[Observation]:
        for (kind, outcome, target), count in self._requests.items():
            labels = {
                "kind": kind.value,
                "outcome": outcome.value,
                "target": target.value,
            }
            yield Observation(count, labels)

    def _observe_failovers(self, options: CallbackOptions) -> Iterator[Observation]:
        for group, count in self._failovers.items():
            yield Observation(count, {"group": group})

    def _observe_share(self, options: CallbackOptions) -> Iterator[Observation]:
        share = compute_replica_share(self.counters)
        if share is not None:
            yield Observation(share)

    def _observe_revision(self, options: CallbackOptions) -> Iterator[Observation]:
        yield Observation(self._settings_revision)

    def _observe_pools(self, options: CallbackOptions) -> Iterator[Observation]:
        for use in self._get_pool_use():
            labels = {"group": use.group, "database": use.database}
            yield Observation(use.busy, labels | {"state": "busy"})
            yield Observation(use.idle, labels | {"state": "idle"})
            yield Observation(use.allowed, labels | {"state": "allowed"})

    def _observe_waiting(self, options: CallbackOptions) -> Iterator[Observation]:
        for use in self._get_pool_use():
            labels = {"group": use.group, "database": use.database}
            yield Observation(use.waiting, labels)
