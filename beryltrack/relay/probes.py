"""Probes of avoided instances, so that no caller's request has to try them.

A probe is an empty offer on a quota link. It needs an answer of the process, as the
kernel accepts connections even for a frozen process.
"""

import logging

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.task import LoopingCall

from beryltrack.accounts.lending import Offer
from beryltrack.accounts.link import LoanLender
from beryltrack.pause_aware_clock import get_pause_aware_clock
from beryltrack.relay.directory import RelayDirectory
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.1
"""Seconds between two checks for due probes."""

PROBE_TIMEOUT = 0.5
"""Seconds until a probe counts as unanswered; an answer takes 1 to 10 ms."""

UNPROBED_AVOID_TIME = 2.0
"""Seconds for which an instance is avoided that cannot be probed."""

EMPTY_OFFER = Offer(0, 0.0)


class ProbeTask:
    """Probes the instances that a directory avoids.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        Name of this instance.
    directory : RelayDirectory
        Lists the due probes and receives their results.
    is_enabled : bool
        False if no instance is probed: callers' requests find out which are back.
    """

    def __init__(
        self, reactor, name: str, directory: RelayDirectory, is_enabled: bool = True
    ):
        self._is_enabled = is_enabled
        self._reactor = reactor
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._name = name
        self._directory = directory
        self._running: set[str] = set()
        self._checking = LoopingCall(self._check_due)
        self._checking.clock = reactor

    def start(self) -> None:
        """Start probing."""
        self._checking.start(CHECK_INTERVAL, now=False)

    def stop(self) -> None:
        """Stop probing."""
        if self._checking.running:
            self._checking.stop()

    def _check_due(self) -> None:
        """Start the probes that are due."""
        for name in self._directory.get_due_probes():
            peer = self._directory.get_peer(name)
            # An instance of an earlier release accepts no probes.
            if not self._is_enabled or peer is None or peer.quota_endpoint is None:
                self._expire(name)
            elif name not in self._running:
                self._start_probe(name, peer.quota_endpoint)

    def _expire(self, name: str) -> None:
        """Stop avoiding an instance after a while without a probe."""
        if self._directory.get_time_since_failure(name) >= UNPROBED_AVOID_TIME:
            self._directory.stop_avoiding(name)

    def _start_probe(self, name: str, endpoint: Endpoint) -> None:
        """Start a probe."""
        self._running.add(name)
        probing = Deferred.fromCoroutine(self._probe(endpoint))
        probing.addCallbacks(
            self._observe_answer,
            self._observe_failure,
            callbackArgs=(name,),
            errbackArgs=(name,),
        )

    async def _probe(self, endpoint: Endpoint) -> None:
        """Request an answer from an endpoint; raise if there is none in time."""
        client = TCP4ClientEndpoint(
            self._reactor, endpoint.host, endpoint.port, PROBE_TIMEOUT
        )
        link = await connectProtocol(client, LoanLender())
        answer = link.send_offer(self._name, EMPTY_OFFER)
        link.ended.addCallback(lambda _: answer.called or answer.cancel())
        try:
            await answer.addTimeout(PROBE_TIMEOUT, self._pause_aware_clock)
        finally:
            link.abort()

    def _observe_answer(self, _: None, name: str) -> None:
        """Record that an instance answered its probe."""
        self._running.discard(name)
        log.info("relay: %s answered a probe and is used again.", name)
        self._directory.stop_avoiding(name)

    def _observe_failure(self, failure: object, name: str) -> None:
        """Record that an instance did not answer its probe."""
        self._running.discard(name)
        self._directory.observe_probe_failure(name)
