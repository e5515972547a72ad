"""What is wrong with objects is logged once."""

import logging

from beryltrack.findings import Finding
from beryltrack.objects.rejects import MOST_KEPT, MOST_TEXT, RejectLog


def make_findings(count):
    return [
        Finding(f"servers/i-{each}", "/slots", "slots is 0") for each in range(count)
    ]


def test_a_finding_that_stays_is_logged_and_counted_once(caplog):
    rejects = RejectLog()
    with caplog.at_level(logging.ERROR):
        for _ in range(3):
            rejects.report(make_findings(2))
    assert rejects.count == 2 and len(caplog.records) == 2


def test_what_is_remembered_is_bounded(caplog):
    rejects = RejectLog()
    rejects.report(make_findings(MOST_KEPT + 1))
    rejects.report(make_findings(1))
    assert rejects.count == MOST_KEPT + 2


def test_a_line_holds_no_text_of_others_unescaped(caplog):
    with caplog.at_level(logging.ERROR):
        RejectLog().report([Finding("servers/x\r\ny\ud800", "", "z" * 10_000)])
    message = caplog.records[0].getMessage()
    assert message.isascii() and "\n" not in message and len(message) < 2 * MOST_TEXT
