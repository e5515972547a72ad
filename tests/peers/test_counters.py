"""Export of the link counters as metrics."""

from beryltrack.daemon.metrics import InstanceMetrics
from beryltrack.peers.counters import LinkCounters, register_counters


def test_each_counter_is_exported():
    metrics, counters = InstanceMetrics("n1"), LinkCounters(refused=3)
    register_counters(metrics.meter, counters)
    counters.bytes_sent = 17
    page = metrics.render().decode()
    metrics.close()
    assert "beryltrack_peers_refused_total 3.0" in page
    assert "beryltrack_peers_bytes_sent_total 17.0" in page
    assert all(f"beryltrack_peers_{name}_total" in page for name in vars(counters))
