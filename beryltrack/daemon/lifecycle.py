"""The life of an instance's process: its ports, its signals and its exit code."""

import logging
import signal
from collections.abc import Iterable
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import CannotListenError
from twisted.python.failure import Failure

from beryltrack.daemon.ports import wait_until_free
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_FAILED = 1

_END_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Instance(Protocol):
    """What a process runs from its start until it is told to end."""

    def start(self) -> None:
        """Listen and begin to work.

        Raises
        ------
        CannotListenError
            If a port cannot be had.
        """

    async def leave(self) -> None:
        """Shut down without cutting off a request in flight."""


class InstanceProcess:
    """Runs one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    reactor : reactor
        The reactor; it is run here.
    instance : Instance
        What to run.
    endpoints : iterable of Endpoint
        Where it listens.
    """

    def __init__(self, reactor, instance: Instance, endpoints: Iterable[Endpoint]):
        self._reactor = reactor
        self._instance = instance
        self._endpoints = tuple(endpoints)
        self._starting: Deferred[None] | None = None
        self._has_started = False
        self._is_leaving = False
        self._exit_code = EXIT_DONE

    def run(self) -> int:
        """Run the instance, shut it down gracefully, and return the exit code."""
        self._reactor.callWhenRunning(self._begin)
        self._reactor.addSystemEventTrigger("before", "shutdown", self._leave)
        self._reactor.run()
        # A signal that is repeated must not replace the exit code of what has ended.
        for number in _END_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        return self._exit_code

    def _begin(self) -> None:
        """Take signals, and start once the ports are free."""
        for number in _END_SIGNALS:
            signal.signal(number, self._take_signal)
        self._starting = Deferred.fromCoroutine(self._start())
        self._starting.addErrback(self._fail)

    async def _start(self) -> None:
        """Start the instance."""
        await wait_until_free(self._reactor, self._endpoints)
        self._instance.start()
        self._has_started = True

    def _fail(self, failure: Failure) -> None:
        """End the process, so that whoever watches it starts it again."""
        if failure.check(CancelledError):
            return
        if failure.check(CannotListenError):
            log.error("daemon: Cannot listen: %s", failure.getErrorMessage())
        else:
            log.error("daemon: Cannot start: %s", failure.getTraceback())
        self._exit_code = EXIT_FAILED
        self._stop()

    def _take_signal(self, number: int, frame: object) -> None:
        """Handle a signal that asks the process to end."""
        self._reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        """Begin the shutdown, unless it has begun."""
        if self._is_leaving:
            log.info("daemon: A repeated signal changes nothing, the instance leaves.")
            return
        self._is_leaving = True
        self._reactor.stop()

    def _leave(self) -> Deferred | None:
        """Return what the end of the process waits for."""
        if not self._has_started:
            self._starting.cancel()
            return None
        return Deferred.fromCoroutine(self._instance.leave())
