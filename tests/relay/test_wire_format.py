"""The wire format between instances: demands, load reports, proofs, process numbers."""

import math
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beryltrack.groups.messages import LogPosition
from beryltrack.load.messages import DEFAULT_DEMAND, DatabaseReport, Demand
from beryltrack.load.reports import TimedReport
from beryltrack.relay.wire_format import (
    format_demand,
    format_proven,
    format_report,
    parse_demand,
    parse_incarnation,
    parse_proven,
    parse_report,
    take_demand_prefix,
)
from beryltrack.wire.line_buffer import MalformedMessage

REPORT = DatabaseReport(24, 20, (0.0, 0.015, 0.4), 0.0014, 7)


@pytest.mark.parametrize(
    ("demand", "prefix"),
    [
        (Demand(1, 0.25, 0.8), b"WITHIN 1 250 800 "),
        (Demand(2, -0.03, 0.75, "", True), b"WITHIN 2+ -30 750 "),
        (Demand(0, math.inf, 0.8), b"WITHIN 0 - 800 "),
        (Demand(3, 0.25, math.inf), b"WITHIN 3 250 - "),
        (DEFAULT_DEMAND, b""),
        (Demand(account="one", is_retry=True), b""),
    ],
)
def test_a_demand_is_encoded_as_a_short_prefix(demand, prefix):
    assert format_demand(demand) == prefix
    expected = demand._replace(account="one", is_retry=False)
    assert parse_demand(prefix + b"READ x", "one") == (expected, b"READ x")


@pytest.mark.parametrize(
    "text",
    [
        b"WITHIN",
        b"WITHIN ",
        b"WITHIN 1 250 READ x",
        b"WITHIN 1 250 800",
        b"WITHIN 1 250 800 ",
        b"WITHIN -1 250 800 READ x",
        b"WITHIN 1 2.5 800 READ x",
        b"WITHIN 1 250 x READ x",
        b"WITHIN 1- 250 800 READ x",
        b"WITHIN 1 250 9999999999 READ x",
    ],
)
def test_a_malformed_demand_is_rejected(text):
    parsed = parse_demand(text, "")
    assert parsed is None or parsed == (DEFAULT_DEMAND, b"WITHIN")


def test_values_out_of_bounds_are_clamped():
    demand, _ = parse_demand(b"WITHIN 9 -5 -7 READ x", "")
    assert demand == Demand(3, -0.005, 0.0)


def test_a_demand_is_sent_once_and_only_to_instances_that_understand_it():
    def take(via, incarnation):
        connection = SimpleNamespace(
            demand=Demand(1, 0.25, 0.8), via=via, incarnation=incarnation
        )
        return take_demand_prefix(connection), take_demand_prefix(connection)

    assert take("owner", 7) == (b"WITHIN 1 250 800 ", b"")
    assert take("owner", 0) == (b"", b"")
    assert take("", 7) == (b"", b"")


@pytest.mark.parametrize(
    ("line", "incarnation"),
    [
        (b"READY I - 1764747600123", 1764747600123),
        (b"READY I -", 0),
        (b"READY I 3.7", 0),
        (b"READY I - x", 0),
        (b"READY I - 7 further", 7),
    ],
)
def test_the_answer_to_start_holds_the_process_number(line, incarnation):
    assert parse_incarnation(line) == incarnation


def test_a_report_is_encoded_and_parsed():
    line = format_report(TimedReport(REPORT, 83.2114))
    assert line == b"LOAD 83211 24 20 1400 0,15,400\r\n"
    assert parse_report(line[:-2], 7) == TimedReport(REPORT, 83.211)


def test_a_report_without_waits_is_encoded_and_parsed():
    report = REPORT._replace(waits=())
    line = format_report(TimedReport(report, 1.0))
    assert parse_report(line[:-2], 7).report == report


@pytest.mark.parametrize(
    "line", [b"LOAD", b"LOAD 1 2 3 4", b"LOAD 1 2 3 4 5,", b"LOAD -1 2 3 4 5"]
)
def test_a_malformed_report_is_rejected(line):
    with pytest.raises(MalformedMessage):
        parse_report(line, 7)


@given(st.binary(max_size=40))
def test_any_bytes_are_parsed_or_rejected(data):
    parse_demand(b"WITHIN " + data, "")
    for parse in (lambda: parse_report(b"LOAD " + data, 7), lambda: parse_proven(data)):
        with pytest.raises(MalformedMessage):
            parse()
            raise MalformedMessage


def test_the_age_of_a_proof_is_rounded_up():
    line = format_proven(LogPosition(3, 9), 0.0000014)
    assert line == b"PROVEN 3.9 2\r\n"
    assert parse_proven(line[:-2]) == (LogPosition(3, 9), 2e-6)
