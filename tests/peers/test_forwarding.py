"""Forwarding without sockets: correct outcomes, whole answers and bounded queues."""

import random
from collections import defaultdict, deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.peers.codec import decode_message, encode_message
from beryltrack.peers.forward_client import CREDIT_WINDOW_BYTES, ForwardClient
from beryltrack.peers.forward_messages import (
    BreakForwardLink,
    CancelRequest,
    DeliverData,
    FinishStream,
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardOpen,
    ForwardOutcome,
    ForwardResult,
    OpenForwardLink,
    ResumeRequest,
    SendForward,
    StartRequest,
)
from beryltrack.peers.forward_server import ForwardServer

ANSWERED = ForwardResult(ForwardOutcome.ANSWERED, "", b"token")


def get_outcomes(actions):
    return [a.result.outcome.name for a in actions if isinstance(a, FinishStream)]


def make_client(*peers):
    client = ForwardClient()
    for peer in peers:
        client.handle_link_opened(peer, 0.0)
    return client


def make_server():
    server = ForwardServer()
    server.handle_link_opened("a")
    return server


def start(server, stream=1, credit=CREDIT_WINDOW_BYTES):
    message = ForwardOpen(stream, "g", 5.0, credit, b"request")
    (action,) = server.receive("a", message, 0.0)
    return action.key


def test_a_request_goes_to_the_first_owner_with_a_link():
    _, actions = make_client("c").forward(("b", "c"), "g", b"r", 9.0, 1.0)
    assert actions == [
        SendForward("c", ForwardOpen(1, "g", 8.0, CREDIT_WINDOW_BYTES, b"r"))
    ]


def test_the_next_owner_is_tried_when_one_cannot_be_reached():
    client = make_client()
    _, actions = client.forward(("b", "c"), "g", b"r", 9.0, 0.0)
    assert actions == [OpenForwardLink("b")]
    assert client.handle_connect_failure("b", 1.0) == [OpenForwardLink("c")]
    assert get_outcomes(client.handle_connect_failure("c", 2.0)) == ["NOT_RUN"]


def test_a_request_not_sent_by_its_deadline_was_not_run():
    client = make_client()
    client.forward(("b",), "g", b"r", 9.0, 0.0)
    assert client.tick(8.9) == []
    assert get_outcomes(client.tick(9.0)) == ["NOT_RUN"]
    assert client.handle_link_opened("b", 9.1) == []


def test_a_sent_request_whose_link_is_lost_is_unknown():
    client = make_client("b")
    client.forward(("b",), "g", b"r", 9.0, 0.0)
    assert client.tick(100.0) == []
    assert get_outcomes(client.handle_link_closed("b")) == ["UNKNOWN"]


@pytest.mark.parametrize("outcome", ForwardOutcome)
def test_the_owners_outcome_is_passed_on(outcome):
    client = make_client("b")
    stream, _ = client.forward(("b",), "g", b"r", 9.0, 0.0)
    end = ForwardEnd(stream, int(outcome), "why", b"t")
    result = ForwardResult(outcome, "why", b"t")
    assert client.receive("b", end) == [FinishStream(stream, result)]
    assert client.receive("b", end) == []


def test_an_unsupported_outcome_counts_as_unknown():
    client = make_client("b")
    stream, _ = client.forward(("b",), "g", b"r", 9.0, 0.0)
    assert get_outcomes(client.receive("b", ForwardEnd(stream, 77, "", b""))) == [
        "UNKNOWN"
    ]


def test_another_peer_cannot_answer():
    client = make_client("b", "c")
    stream, _ = client.forward(("b",), "g", b"r", 9.0, 0.0)
    assert client.receive("c", ForwardData(stream, b"x")) == []


def test_an_owner_that_exceeds_its_credit_is_disconnected():
    client = make_client("b")
    stream, _ = client.forward(("b",), "g", b"r", 9.0, 0.0)
    data = ForwardData(stream, b"x" * (CREDIT_WINDOW_BYTES + 1))
    assert isinstance(client.receive("b", data)[0], BreakForwardLink)


def test_a_blocked_link_gets_no_request():
    client = make_client("b")
    client.set_blocked("b", True)
    _, actions = client.forward(("b",), "g", b"r", 9.0, 0.0)
    assert get_outcomes(actions) == ["NOT_RUN"]


def test_an_answer_waits_for_credit_and_its_end_for_the_answer():
    server = make_server()
    key = start(server, credit=3)
    assert server.write(key, b"abcde") == [SendForward("a", ForwardData(1, b"abc"))]
    assert server.has_pending(key)
    assert server.finish(key, ANSWERED) == []
    assert server.receive("a", ForwardCredit(1, 5), 0.0) == [
        SendForward("a", ForwardData(1, b"de")),
        SendForward("a", ForwardEnd(1, 1, "", b"token")),
    ]


def test_a_cancelled_answer_is_dropped_but_its_end_is_sent():
    server = make_server()
    key = start(server, credit=1)
    server.write(key, b"abc")
    assert server.receive("a", ForwardCancel(1), 0.0) == [CancelRequest(key)]
    unknown = ForwardResult(ForwardOutcome.UNKNOWN)
    assert server.finish(key, unknown) == [SendForward("a", ForwardEnd(1, 4, "", b""))]


def test_a_leaving_owner_refuses_new_requests_and_finishes_running_ones():
    server = make_server()
    key = start(server)
    server.leave()
    (refused,) = server.receive("a", ForwardOpen(2, "g", 5.0, 9, b""), 0.0)
    assert refused.message.outcome == ForwardOutcome.NOT_RUN
    assert server.write(key, b"x") == [SendForward("a", ForwardData(1, b"x"))]


def test_a_reused_stream_number_breaks_the_link():
    server = make_server()
    start(server)
    again = server.receive("a", ForwardOpen(1, "g", 5.0, 9, b""), 0.0)
    assert isinstance(again[0], BreakForwardLink)


def test_a_late_answer_does_not_reach_the_stream_of_a_later_link():
    server = make_server()
    old = start(server)
    assert server.handle_link_opened("a") == [CancelRequest(old)]
    new = start(server)
    assert server.write(old, b"stale") == []
    assert server.finish(old, ANSWERED) == []
    assert server.write(new, b"fresh") == [SendForward("a", ForwardData(1, b"fresh"))]


class Pair:
    """A forward client and server joined by a link that may be cut at any step."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.client, self.server = ForwardClient(), ForwardServer()
        self.to_server, self.to_client = deque(), deque()
        self.linked = False
        self.running = {}
        self.written, self.received = defaultdict(bytes), defaultdict(bytes)
        self.started, self.results = set(), {}

    def perform(self, actions):
        for action in actions:
            match action:
                case SendForward("b", message) if self.linked:
                    self.to_server.append(encode_message(message))
                case SendForward("a", message) if self.linked:
                    self.to_client.append(encode_message(message))
                case DeliverData(stream, data):
                    self.received[stream] += data
                    assert stream not in self.results
                    if self.rng.random() < 0.8:
                        self.perform(self.client.consume(stream, len(data)))
                case FinishStream(stream, result):
                    assert stream not in self.results
                    self.results[stream] = result.outcome
                case StartRequest(key):
                    assert key.stream not in self.started
                    self.started.add(key.stream)
                    self.running[key] = self.rng.randrange(4)
                case CancelRequest(key) if key in self.running:
                    self.finish(key, ForwardOutcome.UNKNOWN)
                case BreakForwardLink():
                    raise AssertionError(action)
                case ResumeRequest() | OpenForwardLink():
                    pass

    def finish(self, key, outcome):
        del self.running[key]
        self.perform(self.server.finish(key, ForwardResult(outcome)))

    def break_link(self):
        self.linked = False
        self.to_server.clear()
        self.to_client.clear()
        self.perform(
            self.client.handle_link_closed("b") + self.server.handle_link_closed("a")
        )

    def link(self):
        self.linked = True
        self.perform(self.server.handle_link_opened("a"))
        self.perform(self.client.handle_link_opened("b", 0.0))

    def step(self, choice):
        if choice == 0 and not self.linked:
            self.link()
        elif choice == 1 and self.rng.random() < 0.3:
            self.break_link()
        elif choice in (2, 3):
            _, actions = self.client.forward(("b",), "g", b"r", 1.0, 0.0)
            self.perform(actions)
        elif choice == 4 and self.client.stream_count:
            self.perform(self.client.cancel(self.rng.randrange(1, 20)))
        elif choice in (5, 6) and self.to_server:
            message, _ = decode_message(self.to_server.popleft(), "a")
            self.perform(self.server.receive("a", message, 0.0))
        elif choice in (7, 8) and self.to_client:
            message, _ = decode_message(self.to_client.popleft(), "b")
            self.perform(self.client.receive("b", message))
        elif self.running:
            self.work(self.rng.choice(list(self.running)))

    def work(self, key):
        if self.running[key] == 0:
            self.finish(key, ForwardOutcome.ANSWERED)
        elif not self.server.has_pending(key):
            self.running[key] -= 1
            data = bytes([key.stream % 256]) * self.rng.choice((10, 90_000))
            self.written[key.stream] += data
            self.perform(self.server.write(key, data))


@settings(derandomize=True, database=None, max_examples=60, deadline=None)
@given(st.integers(0, 10**6), st.lists(st.integers(0, 12), max_size=120))
def test_random_link_losses_keep_outcomes_correct_and_answers_whole(seed, steps):
    pair = Pair(seed)
    for choice in steps:
        pair.step(choice)
    pair.break_link()
    pair.perform(pair.client.tick(1.0))
    assert pair.client.stream_count == pair.server.stream_count == 0
    for stream, outcome in pair.results.items():
        assert pair.written[stream].startswith(pair.received[stream])
        if outcome is ForwardOutcome.ANSWERED:
            assert pair.received[stream] == pair.written[stream]
        if outcome is ForwardOutcome.NOT_RUN:
            assert stream not in pair.started
