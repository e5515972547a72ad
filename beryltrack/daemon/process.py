"""The process of one proxy."""

import random

from twisted.internet import reactor

from beryltrack.clock import use_monotonic_time
from beryltrack.daemon.lifecycle import InstanceProcess
from beryltrack.daemon.proxy import Proxy
from beryltrack.settings.messages import InstanceSettings


def run_proxy(settings: InstanceSettings) -> int:
    """Run a proxy until SIGTERM or SIGINT, and shut it down gracefully.

    Parameters
    ----------
    settings : InstanceSettings
        Its settings file.

    Returns
    -------
    int
        The exit code.
    """
    use_monotonic_time(reactor)
    proxy = Proxy(reactor, settings, random.Random())
    endpoints = settings.listen, settings.peer_listen, settings.health_listen
    return InstanceProcess(reactor, proxy, endpoints).run()
