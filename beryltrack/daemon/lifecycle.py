"""The lifecycle of an instance's process: ports, signals and exit code."""

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

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Instance(Protocol):
    """The service that a process runs from its start until its shutdown."""

    def start(self) -> None:
        """Listen and begin to work.

        Raises
        ------
        CannotListenError
            If a port is in use or cannot be bound.
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
        The instance.
    endpoints : iterable of Endpoint
        Its listening addresses.
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
        # A repeated signal must not replace the exit code after the shutdown.
        for number in _STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        return self._exit_code

    def _begin(self) -> None:
        """Install the signal handlers, and start once the ports are free."""
        for number in _STOP_SIGNALS:
            signal.signal(number, self._handle_signal)
        self._starting = Deferred.fromCoroutine(self._start())
        self._starting.addErrback(self._fail)

    async def _start(self) -> None:
        """Wait for the ports and start the instance."""
        await wait_until_free(self._reactor, self._endpoints)
        self._instance.start()
        self._has_started = True

    def _fail(self, failure: Failure) -> None:
        """End the process with an error, so that its supervisor restarts it."""
        if failure.check(CancelledError):
            return
        if failure.check(CannotListenError):
            log.error(
                "daemon: Instance cannot listen, the process ends: %s",
                failure.getErrorMessage(),
            )
        else:
            log.error(
                "daemon: Instance cannot start, the process ends: %s",
                failure.getTraceback(),
            )
        self._exit_code = EXIT_FAILED
        self._stop()

    def _handle_signal(self, number: int, frame: object) -> None:
        """Handle a signal that asks the process to end."""
        self._reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        """Begin the shutdown, unless it has begun."""
        if self._is_leaving:
            log.info("daemon: Repeated signal ignored, the shutdown has already begun.")
            return
        self._is_leaving = True
        self._reactor.stop()

    def _leave(self) -> Deferred | None:
        """Shut the instance down; the reactor stops when the result fires."""
        if not self._has_started:
            self._starting.cancel()
            return None
        return Deferred.fromCoroutine(self._instance.leave())
