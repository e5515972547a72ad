"""Each metric of an instance has a type and a help text, and correct values."""

import re
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

import beryltrack
from beryltrack.accounts.messages import AccountSettings
from beryltrack.connections.messages import RefusalReason
from beryltrack.load.gate_status import GateStatus, render_gates
from beryltrack.metrics.catalog import METRICS
from beryltrack.metrics.messages import (
    RequestKind,
    RequestOutcome,
    RequestSummary,
    TargetKind,
)
from beryltrack.metrics.prometheus import PrometheusMetrics
from tests.accounts.network import Network

ROOT = Path(beryltrack.__file__).parent
SAMPLE_NAME = re.compile(r'yield\s*\(?\s*"(beryltrack_\w+)"')
GATE = GateStatus(
    "g",
    "db-1",
    3,
    2,
    (0, 4),
    (0.0, 0.25),
    {RefusalReason.TOO_LATE: 5},
    {RefusalReason.QUEUE_FULL: 6},
)


def make_metrics():
    metrics = PrometheusMetrics()
    metrics.count_request(RequestKind.READ, RequestOutcome.DONE, TargetKind.REPLICA)
    metrics.count_by_priority(RequestSummary(0, True, True, True))
    metrics.count_by_priority(RequestSummary(0, True, True, False))
    metrics.count_by_priority(RequestSummary(2, False, False, False, "too_late"))
    metrics.record_wait_by_priority(0, True, 0.25)
    metrics.record_queue_time(0.25)
    metrics.set_sample_source(lambda: render_gates([GATE]))
    return metrics


def get_families(metrics):
    return list(text_string_to_metric_families(metrics.render().decode()))


def get_value(metrics, name, **labels):
    (value,) = (
        sample.value
        for family in get_families(metrics)
        for sample in family.samples
        if sample.name == name and sample.labels == labels
    )
    return value


def test_each_exposed_metric_is_in_the_catalog():
    sources = (path.read_text() for path in ROOT.rglob("*.py"))
    exposed = {name for source in sources for name in SAMPLE_NAME.findall(source)}
    assert exposed and exposed <= set(METRICS)


def test_each_metric_has_a_type_and_a_text_and_is_one_family():
    families = get_families(make_metrics())
    assert all(family.documentation for family in families)
    assert not {family.type for family in families} & {"unknown", "untyped"}
    names = [family.name for family in families]
    assert len(names) == len(set(names))


def test_requests_are_counted_by_priority_and_account_class():
    metrics = make_metrics()
    urgent = {"priority": "0", "account_class": "account"}
    low = {"priority": "2", "account_class": "none"}
    assert get_value(metrics, "beryltrack_priority_requests_total", **urgent) == 2
    assert get_value(metrics, "beryltrack_priority_served_total", **urgent) == 2
    assert get_value(metrics, "beryltrack_priority_in_aim_total", **urgent) == 1
    name = "beryltrack_priority_wait_seconds_total"
    assert get_value(metrics, name, **urgent) == 0.25
    name = "beryltrack_priority_refused_total"
    assert get_value(metrics, name, **low, reason="too_late") == 1


def test_special_characters_in_names_are_escaped():
    special = 'a"b\\c'
    metrics = PrometheusMetrics()
    metrics.set_sample_source(
        lambda: render_gates([GATE._replace(group=special, database=special)])
    )
    gate = {"group": special, "database": special}
    assert get_value(metrics, "beryltrack_gate_limit", **gate) == 3
    assert get_value(metrics, "beryltrack_gate_waiting", **gate, priority="1") == 4


def test_special_characters_in_an_account_name_are_escaped():
    special = 'a"b\\c'
    network = Network(2)
    accounts = next(iter(network.instances.values())).accounts
    accounts.set_accounts((AccountSettings(special, frozenset(), 1.0, 0.0),))
    accounts.quota.spend(special, 0.0)
    metrics = PrometheusMetrics()
    metrics.set_sample_source(accounts.get_samples)
    name = "beryltrack_account_operations_total"
    assert get_value(metrics, name, account=special) == 1


def test_gates_are_exposed_by_database_and_priority():
    metrics = make_metrics()
    gate = {"group": "g", "database": "db-1"}
    assert get_value(metrics, "beryltrack_gate_limit", **gate) == 3
    assert get_value(metrics, "beryltrack_gate_running", **gate) == 2
    assert get_value(metrics, "beryltrack_gate_waiting", **gate, priority="1") == 4
    name = "beryltrack_gate_expected_wait_seconds"
    assert get_value(metrics, name, **gate, priority="1") == 0.25
    name = "beryltrack_gate_refused_total"
    assert get_value(metrics, name, **gate, reason="too_late") == 5
    name = "beryltrack_gate_put_out_total"
    assert get_value(metrics, name, **gate, reason="queue_full") == 6
