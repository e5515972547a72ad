"""The lifecycle of an instance's process, in simulated time."""

import signal
import socket

import pytest
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from beryltrack.daemon import lifecycle
from beryltrack.daemon.lifecycle import EXIT_DONE, EXIT_FAILED, InstanceProcess
from beryltrack.daemon.ports import PORT_CHECK_INTERVAL
from beryltrack.settings.messages import Endpoint

HOST = "127.0.0.1"


class Reactor(Clock):
    """A reactor that runs the steps of a test until it is stopped."""

    def __init__(self):
        super().__init__()
        self.steps = []
        self.stops = 0
        self.callFromThread = lambda call: call()

    def callWhenRunning(self, call):  # noqa: N802
        self._begin = call

    def addSystemEventTrigger(self, phase, event, call):  # noqa: N802
        self._leave = call

    def stop(self):
        self.stops += 1

    def run(self):
        self._begin()
        for step in self.steps:
            step()
        assert self.stops
        self._leave()


class Instance:
    """Records its starts and shutdowns."""

    def __init__(self, error=None):
        self.calls = []
        self._error = error

    def start(self):
        self.calls.append("start")
        if self._error is not None:
            raise self._error

    async def leave(self):
        self.calls.append("leave")


@pytest.fixture
def handlers(monkeypatch):
    """Record signal handlers without replacing those of the test process."""
    found = {}
    monkeypatch.setattr(lifecycle.signal, "signal", found.__setitem__)
    return found


def run(handlers, instance, steps=(), endpoints=()):
    """Run an instance; `steps` get the reactor and a function that sends SIGTERM."""
    reactor = Reactor()

    def terminate():
        handlers[signal.SIGTERM](signal.SIGTERM, None)

    reactor.steps = [lambda step=step: step(reactor, terminate) for step in steps]
    return InstanceProcess(reactor, instance, endpoints).run(), reactor


def test_sigterm_lets_an_instance_leave(handlers):
    instance = Instance()
    code, _ = run(handlers, instance, [lambda _, terminate: terminate()])
    assert code == EXIT_DONE and instance.calls == ["start", "leave"]


def test_a_repeated_sigterm_changes_nothing(handlers):
    """Guards against a shutdown that fails when the signal is repeated."""
    instance = Instance()
    code, reactor = run(handlers, instance, [lambda _, terminate: terminate()] * 3)
    assert code == EXIT_DONE and reactor.stops == 1
    assert instance.calls == ["start", "leave"]
    # Later signals must not replace the exit code as the interpreter ends.
    assert handlers[signal.SIGTERM] == signal.SIG_IGN


@pytest.mark.parametrize(
    "error", [CannotListenError(HOST, 5432, OSError()), ValueError("a defect")]
)
def test_an_instance_that_cannot_start_ends_its_process(handlers, error):
    """Guards against a process that keeps running without its ports."""
    code, reactor = run(handlers, Instance(error))
    assert code == EXIT_FAILED and reactor.stops == 1


def test_an_instance_starts_once_its_ports_are_free(handlers):
    """Guards against a process that ends because a port is taken for a moment."""
    instance = Instance()
    with socket.create_server((HOST, 0)) as taken:
        endpoint = Endpoint(*taken.getsockname())

        def free(reactor, _):
            assert instance.calls == []
            taken.close()
            reactor.advance(PORT_CHECK_INTERVAL)
            assert instance.calls == ["start"]

        steps = [free, lambda _, terminate: terminate()]
        code, _ = run(handlers, instance, steps, [endpoint])
    assert code == EXIT_DONE and instance.calls == ["start", "leave"]


def test_sigterm_ends_an_instance_that_waits_for_its_ports(handlers):
    """Guards against a wait for a port that ignores SIGTERM."""
    instance = Instance()
    with socket.create_server((HOST, 0)) as taken:
        endpoint = Endpoint(*taken.getsockname())
        steps = [
            lambda _, terminate: terminate(),
            lambda reactor, _: reactor.advance(PORT_CHECK_INTERVAL),
        ]
        code, reactor = run(handlers, instance, steps, [endpoint])
        reactor.advance(PORT_CHECK_INTERVAL)
    assert code == EXIT_DONE and instance.calls == []
    assert reactor.getDelayedCalls() == []
