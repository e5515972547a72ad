"""The log of invalid objects: each finding once, bounded, and escaped."""

import logging

from beryltrack.findings import Finding
from beryltrack.objects.rejects import MAX_REMEMBERED, MAX_TEXT_LENGTH, RejectLog


def make_findings(count):
    return [
        Finding(f"servers/i-{each}", "/slots", "slots is 0") for each in range(count)
    ]


def test_a_repeated_finding_is_logged_and_counted_once(caplog):
    rejects = RejectLog()
    with caplog.at_level(logging.ERROR):
        for _ in range(3):
            rejects.report(make_findings(2))
    assert rejects.count == 2 and len(caplog.records) == 2


def test_the_remembered_findings_are_bounded(caplog):
    rejects = RejectLog()
    rejects.report(make_findings(MAX_REMEMBERED + 1))
    rejects.report(make_findings(1))
    assert rejects.count == MAX_REMEMBERED + 2


def test_the_memory_of_the_remembered_findings_is_bounded():
    """Guards against a process that ends as another writer's values fill its memory."""
    rejects = RejectLog()
    for number in range(MAX_REMEMBERED):
        text = f"address '{number}{'x' * 10_000}' is not an IP address"
        rejects.report([Finding("servers/i-1", "/address", text)])
    characters = sum(len("".join(each)) for each in rejects._seen)
    assert rejects.count == MAX_REMEMBERED
    assert characters <= MAX_REMEMBERED * MAX_TEXT_LENGTH


def test_a_line_escapes_and_bounds_quoted_text(caplog):
    with caplog.at_level(logging.ERROR):
        RejectLog().report([Finding("servers/x\r\ny\ud800", "", "z" * 10_000)])
    message = caplog.records[0].getMessage()
    assert (
        message.isascii() and "\n" not in message and len(message) < 2 * MAX_TEXT_LENGTH
    )
