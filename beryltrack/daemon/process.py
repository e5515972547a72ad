"""The process of one proxy: its reactor, signals and exit code."""

import logging
import random

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from beryltrack.clock import use_monotonic_time
from beryltrack.daemon.proxy import Proxy, ProxyState
from beryltrack.settings.messages import InstanceSettings

log = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_FAILED = 1


def run_proxy(settings: InstanceSettings) -> int:
    """Run a proxy until SIGTERM or SIGINT, and shut it down gracefully.

    Parameters
    ----------
    settings : InstanceSettings
        What its settings file says.

    Returns
    -------
    int
        The exit code.
    """
    use_monotonic_time(reactor)
    proxy = Proxy(reactor, settings, random.Random())
    failures = []

    def start() -> None:
        try:
            proxy.start()
        except CannotListenError as error:
            log.error("daemon: Cannot listen: %s.", error)
            failures.append(error)
            reactor.stop()

    def leave() -> Deferred | None:
        if failures or proxy.state is ProxyState.LEAVING:
            return None
        return Deferred.fromCoroutine(proxy.leave())

    reactor.callWhenRunning(start)
    # Twisted turns SIGTERM and SIGINT into a shutdown that waits for this.
    reactor.addSystemEventTrigger("before", "shutdown", leave)
    reactor.run()
    return EXIT_FAILED if failures else EXIT_DONE
