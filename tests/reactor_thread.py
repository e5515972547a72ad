"""One reactor in a background thread, for tests with real sockets.

A test calls blocking clients (psycopg, urllib) in its own thread and Twisted code by
`run`. The reactor starts at the first call and ends with the process.
"""

import functools
import inspect
import threading

from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.threads import blockingCallFromThread

TIMEOUT = 20.0


def run(function, *args, **kwargs):
    """Call a function in the reactor's thread and return its result.

    Parameters
    ----------
    function : callable
        May return a value, a Deferred or a coroutine. Its exception, or its Deferred's
        failure, is raised here.
    """
    start_reactor()

    def call():
        result = maybeDeferred(function, *args, **kwargs)
        result.addCallback(_await_result)
        return result.addTimeout(TIMEOUT, reactor)

    return blockingCallFromThread(reactor, call)


@functools.cache
def start_reactor():
    """Start the reactor's thread, once in the process."""
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    return thread


def _await_result(result):
    """Wait for a coroutine that a function returned."""
    return Deferred.fromCoroutine(result) if inspect.iscoroutine(result) else result
