"""The Prometheus text format of the metrics, as a scraper parses it."""

from prometheus_client.parser import text_string_to_metric_families

from beryltrack.metrics.messages import RequestKind, RequestOutcome, TargetKind
from beryltrack.metrics.prometheus import PrometheusMetrics


def get_samples(metrics):
    text = metrics.render().decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_histograms_and_gauges_are_scraped():
    metrics = PrometheusMetrics()
    metrics.count_request(RequestKind.READ, RequestOutcome.DONE, TargetKind.REPLICA)
    metrics.count_request(RequestKind.READ, RequestOutcome.DONE, TargetKind.REPLICA)
    metrics.record_queue_time(0.002)
    metrics.record_queue_time(9.0)
    metrics.set_sample_source(lambda: [("beryltrack_callers", "", 7)])
    samples = get_samples(metrics)
    assert samples["beryltrack_requests_total", "read", "done", "replica"] == 2
    assert samples["beryltrack_queue_time_seconds_bucket", "0.003"] == 1
    assert samples["beryltrack_queue_time_seconds_bucket", "+Inf"] == 2
    assert samples["beryltrack_queue_time_seconds_count",] == 2
    assert samples["beryltrack_callers",] == 7
