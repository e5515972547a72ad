"""Lines of decisions: bounded, never blocking, and put together again."""

import json
import os

from cleo.testers.command_tester import CommandTester

from beryltrack.command.main import build_application
from beryltrack.connections.messages import RefusalReason
from beryltrack.events.budget import BURST, OTHER_LINES, LineBudget
from beryltrack.events.explain import REFUSAL_TEXTS, explain_request, read_lines
from beryltrack.events.log import (
    IDS_A_LINE,
    MOST_HELD,
    MOST_NOTED,
    EventLog,
    NonBlockingStream,
)
from beryltrack.events.messages import RequestEvent, RequestStep, SharedDecision
from beryltrack.requests.answers import ADMISSION


def make_event(request="r-1", step=RequestStep.NOT_RUN, reason="no primary"):
    return RequestEvent(request, "lepu", "write", step, reason, confirmed_ms=812.34)


class Clock:
    """A time that a test sets."""

    now = 0.0

    def __call__(self):
        return self.now


def make_log():
    lines, clock = [], Clock()
    return EventLog("node-1", lines.append, clock, lambda: 0.0), lines, clock


def record(log, event):
    if log.reserve_line(event.step):
        log.record(event)
    else:
        log.record_shared(
            event.request, SharedDecision(event.step, event.reason, 3, "db-1")
        )


def test_a_line_carries_the_inputs_of_the_decision():
    log, lines, _ = make_log()
    record(log, make_event())
    line = json.loads(lines[0])
    assert (line["request"], line["step"], line["reason"]) == (
        "r-1",
        "not_run",
        "no primary",
    )
    assert line["confirmed_ms"] == 812.3 and line["instance"] == "node-1"


def test_a_flood_of_one_kind_leaves_room_for_the_others():
    budget = LineBudget()
    allowed = sum(budget.allows(RequestStep.NOT_RUN, 0.0) for _ in range(1000))
    assert allowed == OTHER_LINES * BURST
    assert budget.allows(RequestStep.UNKNOWN, 0.0)
    assert budget.take_suppressed() == {"not_run": 1000 - allowed}


def test_lines_that_were_left_out_are_counted_in_one():
    log, lines, clock = make_log()
    for _ in range(500):
        record(log, make_event())
    clock.now = 6.0
    record(log, make_event())
    summary = next(json.loads(line) for line in lines if "suppressed" in line)
    assert summary["lines"] == {"not_run": 500 - OTHER_LINES * BURST}


def test_a_reader_that_never_reads_holds_nothing_up():
    reading, writing = os.pipe()
    try:
        stream = NonBlockingStream(writing)
        for _ in range(3000):
            stream.write("x" * 99 + "\n")
        assert stream.dropped > 0 and len(stream._held) <= MOST_HELD
        assert os.read(reading, 100) == b"x" * 99 + b"\n"
        stream.flush()
        assert len(stream._held) < MOST_HELD
    finally:
        os.close(reading)
        os.close(writing)


def test_a_reader_that_is_gone_costs_nothing():
    reading, writing = os.pipe()
    os.close(reading)
    try:
        stream = NonBlockingStream(writing)
        stream.write("line\n")
        assert stream.dropped == 1
    finally:
        os.close(writing)


def make_logs():
    log, lines, clock = make_log()
    record(log, make_event(step=RequestStep.RETRIED, reason="the target was lost"))
    record(log, make_event("r-2"))
    record(log, make_event(step=RequestStep.UNKNOWN, reason="not confirmed in time"))
    return lines


def test_the_lines_of_one_request_are_put_together():
    texts = ["no JSON", *("12.5 node-1 " + line for line in make_logs()), "{broken"]
    found = explain_request("r-1", read_lines(texts))
    assert [line["step"] for line in found.lines] == ["retried", "unknown"]
    assert found.deciding["reason"] == "not confirmed in time"
    assert explain_request("r-3", read_lines(texts)).deciding is None


def test_the_tool_explains_a_request(tmp_path):
    file = tmp_path / "node-1.log"
    file.write_text("".join(make_logs()))
    tester = CommandTester(build_application().find("explain"))
    assert tester.execute(f"r-1 --logs {file}") == 0
    output = tester.io.fetch_output()
    assert "retried (the target was lost)" in output
    assert "decided: unknown (not confirmed in time)" in output
    assert tester.execute(f"r-9 --logs {file}") != 0


def flood(count, step=RequestStep.NOT_RUN):
    log, lines, clock = make_log()
    for number in range(count):
        record(log, make_event(f"r-{number}", step))
    clock.now = 1.5
    record(log, make_event("last"))
    return lines


def test_each_of_many_refusals_is_found_by_its_identifier():
    lines = flood(1000)
    for request in ("r-0", "r-500", "r-999"):
        found = explain_request(request, read_lines(lines))
        assert found.deciding["reason"] == "no primary"
    shared = explain_request("r-999", read_lines(lines)).deciding
    assert shared["primary"] == "db-1" and shared["term"] == 3
    assert len(shared["requests"]) <= IDS_A_LINE


def test_a_flood_costs_a_bounded_number_of_bytes():
    texts = flood(MOST_NOTED * 5)
    assert sum(map(len, texts)) < 60 * 400 + MOST_NOTED * 20 + 2000


def test_what_was_served_shares_no_line():
    assert not any('"requests": [' in line for line in flood(50, RequestStep.SERVED))


def test_the_tool_tells_of_a_shared_line(tmp_path):
    file = tmp_path / "node-1.log"
    file.write_text("".join(flood(100)))
    tester = CommandTester(build_application().find("explain"))
    assert tester.execute(f"r-99 --logs {file}") == 0
    output = tester.io.fetch_output()
    assert "not_run (no primary), like 39 others within a second" in output


def test_a_transaction_is_found_by_the_identifier_that_opened_it():
    # Callers report a failed transaction by its first request. Of ten failed requests
    # two had no line, as that of the statement that failed names only itself:
    #     rolled_back (the connection to the target was lost) after 707.7 ms, kind write
    log, lines, _ = make_log()
    event = make_event("r-7")
    record(log, event._replace(opened_by="r-5"))
    found = explain_request("r-5", read_lines(lines))
    assert found.deciding["request"] == "r-7"


DEMAND = {
    "priority": 2,
    "aim_left_ms": -30.04,
    "wait_expected_ms": 120.06,
    "verdict": "too_late",
}


def test_what_a_request_asked_for_stands_in_its_line_where_it_is_known():
    log, lines, _ = make_log()
    record(log, make_event())
    record(log, make_event()._replace(**DEMAND))
    bare, full = map(json.loads, lines)
    assert not set(DEMAND) & set(bare)
    told = {name: full[name] for name in DEMAND}
    assert told == DEMAND | {"aim_left_ms": -30.0, "wait_expected_ms": 120.1}


def explain(tmp_path, event):
    log, lines, _ = make_log()
    record(log, event)
    file = tmp_path / "node-1.log"
    file.write_text("".join(lines))
    tester = CommandTester(build_application().find("explain"))
    assert tester.execute(f"r-1 --logs {file}") == 0
    return tester.io.fetch_output()


def test_the_tool_tells_in_words_why_a_request_was_refused(tmp_path):
    output = explain(tmp_path, make_event()._replace(**DEMAND))
    assert "; priority 2, its target latency was over for 30.0 ms" in output
    assert (
        "It was refused as it could not have been done in time (a wait of 120.1 ms was "
        "expected, its target latency was over for 30.0 ms)." in output
    )


def test_the_tool_tells_nothing_of_a_demand_that_is_not_known(tmp_path):
    output = explain(tmp_path, make_event()._replace(verdict="other"))
    assert "priority" not in output and "It was refused" not in output


def test_each_reason_of_a_refusal_has_words():
    words = {reason.name.lower() for reason in RefusalReason} | {ADMISSION}
    assert words == set(REFUSAL_TEXTS)


def test_requests_that_share_a_line_are_told_apart_by_priority():
    log, lines, clock = make_log()
    for number, priority in enumerate((0, 0, 2, None)):
        shared = SharedDecision(RequestStep.NOT_RUN, "full", 3, "db-1", priority)
        log.record_shared(f"r-{number}", shared)
    clock.now = 1.5
    log.reserve_line(RequestStep.NOT_RUN)
    told = [(line["requests"], line.get("priority")) for line in map(json.loads, lines)]
    assert told == [(["r-0", "r-1"], 0), (["r-2"], 2), (["r-3"], None)]
    assert "priority" not in json.loads(lines[2])


def test_the_refusal_of_a_request_in_a_shared_line_is_told_in_words(tmp_path):
    log, lines, clock = make_log()
    for number in range(3):
        shared = SharedDecision(RequestStep.NOT_RUN, "full", 3, "db-1", 1, "queue_full")
        log.record_shared(f"r-{number}", shared)
    clock.now = 1.5
    log.reserve_line(RequestStep.NOT_RUN)
    file = tmp_path / "node-1.log"
    file.write_text("".join(lines))
    tester = CommandTester(build_application().find("explain"))
    assert tester.execute(f"r-2 --logs {file}") == 0
    output = tester.io.fetch_output()
    assert "; priority 1" in output
    assert "It was refused as too many requests waited" in output
