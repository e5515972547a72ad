"""Forwarding over real links."""

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults

from beryltrack.clock import get_monotonic_clock
from beryltrack.peers.forward_messages import ForwardOutcome, ForwardResult
from beryltrack.peers.forwarder import Forwarder
from tests.peers.fleet import start_fleet, wait_for
from tests.reactor_thread import run

CHUNK = b"x" * 100_000
CHUNKS = 20


class Handler:
    """Answers with many bytes; a request `hang` gets no answer."""

    def __init__(self):
        self.unsent = 0
        self.cancelled = 0

    def run(self, start, writer):
        if start.request == b"hang":
            return Deferred(lambda _: setattr(self, "cancelled", 1))
        return Deferred.fromCoroutine(self._answer(start, writer))

    async def _answer(self, start, writer):
        for self.unsent in range(CHUNKS - 1, -1, -1):
            await writer.wait_ready()
            writer.write(CHUNK)
        return ForwardResult(ForwardOutcome.ANSWERED, "", start.request)


class Sink:
    """Counts the bytes of an answer; consumes them only while `is_reading`."""

    def __init__(self, is_reading=True):
        self.is_reading = is_reading
        self.size = 0
        self.result = None
        self.stream = None

    def write(self, data):
        self.size += len(data)
        if self.is_reading:
            reactor.callLater(0, self.stream.consume, len(data))

    def finish(self, result):
        self.result = result


@pytest.fixture
def site():
    tasks = run(start_fleet, ["n1", "n2"])
    run(wait_for, lambda: all(task.linked for task in tasks))
    handlers = [Handler() for _ in tasks]
    forwarders = [
        Forwarder(reactor, task, handler, lambda group: ("n2",))
        for task, handler in zip(tasks, handlers, strict=True)
    ]
    for forwarder in forwarders:
        run(forwarder.start)
    yield tasks, forwarders, handlers
    run(lambda: [forwarder.stop() for forwarder in forwarders])
    run(lambda: gatherResults([task.stop() for task in tasks]))


def forward(forwarder, request, sink):
    def call():
        deadline = get_monotonic_clock(reactor)() + 5.0
        sink.stream = forwarder.forward("g", request, deadline, sink)

    run(call)


def test_a_large_answer_arrives_whole_with_its_trailer(site):
    _, forwarders, _ = site
    sink = Sink()
    assert forwarders[1].is_owner("g") and not forwarders[0].is_owner("g")
    forward(forwarders[0], b"trailer", sink)
    run(wait_for, lambda: sink.result)
    assert sink.result == (ForwardOutcome.ANSWERED, "", b"trailer")
    assert sink.size == CHUNKS * len(CHUNK)


def test_a_caller_that_does_not_read_blocks_the_owner(site):
    _, forwarders, handlers = site
    slow, other = Sink(is_reading=False), Sink()
    forward(forwarders[0], b"", slow)
    run(wait_for, lambda: slow.size >= 256 * 1024)
    unsent = handlers[1].unsent
    assert unsent > 10
    forward(forwarders[0], b"", other)
    run(wait_for, lambda: other.result)
    assert slow.size == 256 * 1024 and slow.result is None


def test_a_cancelled_request_is_cancelled_at_its_owner(site):
    _, forwarders, handlers = site
    sink = Sink()
    forward(forwarders[0], b"hang", sink)
    run(wait_for, lambda: forwarders[1].stream_count)
    run(sink.stream.cancel)
    run(wait_for, lambda: sink.result)
    assert sink.result.outcome is ForwardOutcome.UNKNOWN
    assert handlers[1].cancelled


def test_owner_crash_gives_unknown_then_not_run(site):
    tasks, forwarders, _ = site
    first, second = Sink(), Sink()
    forward(forwarders[0], b"hang", first)
    run(wait_for, lambda: forwarders[1].stream_count)
    run(tasks[1].abort)
    run(wait_for, lambda: first.result)
    assert first.result.outcome is ForwardOutcome.UNKNOWN
    forward(forwarders[0], b"hang", second)
    run(wait_for, lambda: second.result)
    assert second.result.outcome is ForwardOutcome.NOT_RUN
