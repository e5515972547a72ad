"""Logs, metrics, status and the pages that show them."""

import io
import json
import logging

import pytest
from twisted.web.test.requesthelper import DummyRequest

from beryltrack.daemon.health import build_health_site
from beryltrack.daemon.logs import ComponentFormatter
from beryltrack.daemon.metrics import InstanceMetrics
from beryltrack.daemon.status import encode_status, parse_status
from beryltrack.metrics.messages import (
    Counters,
    PoolUse,
    RequestKind,
    RequestOutcome,
    TargetKind,
    compute_replica_share,
)
from tests.daemon.examples import STATUS


def get_page(name, live=True):
    site = build_health_site(lambda: live, lambda: b"m 1\n", lambda: STATUS)
    request = DummyRequest([name])
    body = site.resource.children[name].render(request)
    return request.responseCode, body


def test_a_log_line_is_json_with_its_component():
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(ComponentFormatter("p1"))
    record = logging.LogRecord(
        "beryltrack.x", logging.INFO, "", 1, "routing: no replica of %s", ("a",), None
    )
    handler.handle(record)
    line = json.loads(stream.getvalue())
    assert line["part"] == "routing"
    assert line["message"] == "routing: no replica of a"
    assert (line["level"], line["instance"]) == ("INFO", "p1")
    assert "timestamp" in line


def test_health_shows_the_balancer_when_the_instance_leaves():
    assert get_page(b"health") == (200, b"live\n")
    assert get_page(b"health", live=False)[0] == 503


def test_status_survives_its_json_form():
    code, body = get_page(b"status")
    assert code == 200
    assert parse_status(json.loads(body)) == STATUS


def test_faulty_status_is_an_error():
    whole = encode_status(STATUS)
    for value in (None, [], {}, whole | {"groups": 3}, whole | {"counters": {}}):
        with pytest.raises(ValueError):
            parse_status(value)


def test_counts_of_requests_give_the_replica_share():
    metrics = InstanceMetrics("p1")
    read, done = RequestKind.READ, RequestOutcome.DONE
    for target in (TargetKind.REPLICA, TargetKind.REPLICA, TargetKind.PRIMARY):
        metrics.count_request(read, done, target)
    metrics.count_request(RequestKind.WRITE, done, TargetKind.PRIMARY)
    metrics.count_request(read, RequestOutcome.NOT_RUN, TargetKind.NONE)
    metrics.count_failover("orders")
    assert metrics.counters == Counters(2, 1, 1, 1, 0, 0, 1)
    assert compute_replica_share(metrics.counters) == pytest.approx(2 / 3)
    assert compute_replica_share(Counters(0, 0, 0, 0, 0, 0, 0)) is None


def test_scrape_shows_each_instrument_of_this_instance_only():
    other = InstanceMetrics("p2")
    other.set_settings_revision(4)
    metrics = InstanceMetrics("p1")
    metrics.count_request(RequestKind.READ, RequestOutcome.DONE, TargetKind.REPLICA)
    metrics.count_failover("orders")
    metrics.record_failover_gap("orders", 0.5)
    metrics.record_queue_time(0.002)
    metrics.record_queue_time(0.00005)
    metrics.record_confirm_wait(0.004)
    metrics.set_settings_revision(12)
    metrics.set_pool_source(lambda: (PoolUse("orders", "db0", 3, 1, 2, 5),))
    text = metrics.render().decode()
    wanted = (
        'beryltrack_requests_total{kind="read",outcome="done",target="replica"} 1.0',
        'beryltrack_failovers_total{group="orders"} 1.0',
        "beryltrack_failover_gap_seconds_bucket",
        "beryltrack_queue_time_seconds_count 1.0",
        "beryltrack_confirm_wait_seconds_sum",
        "beryltrack_replica_share 1.0",
        'state="allowed"',
        "beryltrack_pool_waiting",
    )
    assert [name for name in wanted if name not in text] == []
    lines = text.splitlines()
    revisions = [line for line in lines if line.startswith("beryltrack_settings_rev")]
    assert [line.split()[-1] for line in revisions] == ["12.0"]


def test_each_instrument_has_a_description():
    metrics = InstanceMetrics("p1")
    metrics.count_request(RequestKind.READ, RequestOutcome.DONE, TargetKind.REPLICA)
    metrics.record_queue_time(0.002)
    text = metrics.render().decode()
    heads = [line for line in text.splitlines() if line.startswith("# HELP beryltrack")]
    assert heads and all(len(head.split(maxsplit=3)) == 4 for head in heads)
