"""Probes of instances that are passed over, in place of callers' requests.

A probe is a link on which nothing is lent. The process itself must answer: a kernel
takes connections for one that is frozen.
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

LOOK_PERIOD = 0.1
"""Seconds between two looks at which probes are due."""

PROBE_LIMIT = 0.5
"""Seconds until a probe counts as not answered; it takes 1 to 10 ms."""

LAPSE_TIME = 2.0
"""Seconds for which an instance is passed over where probes are switched off."""

NOTHING = Offer(0, 0.0)


class ProbeTask:
    """Probes the instances that a directory passes over.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        Name of this instance.
    directory : RelayDirectory
        Says which probes are due, and is told their result.
    probes : bool
        False if nobody is probed: callers' requests find out who is back.
    """

    def __init__(
        self, reactor, name: str, directory: RelayDirectory, probes: bool = True
    ):
        self._probes = probes
        self._reactor = reactor
        self._awake = get_pause_aware_clock(reactor)
        self._name = name
        self._directory = directory
        self._running: set[str] = set()
        self._looking = LoopingCall(self._look)
        self._looking.clock = reactor

    def start(self) -> None:
        """Begin to probe."""
        self._looking.start(LOOK_PERIOD, now=False)

    def stop(self) -> None:
        """Probe no more."""
        if self._looking.running:
            self._looking.stop()

    def _look(self) -> None:
        """Begin the probes that are due."""
        for name in self._directory.get_due_probes():
            peer = self._directory.get_peer(name)
            # One of an earlier release takes no probe: a caller's request finds out.
            if not self._probes or peer is None or peer.rights is None:
                self._let_lapse(name)
            elif name not in self._running:
                self._begin(name, peer.rights)

    def _let_lapse(self, name: str) -> None:
        """Pass over an instance no more after a while, without a probe."""
        if self._directory.get_avoided_time(name) >= LAPSE_TIME:
            self._directory.note_reached(name)

    def _begin(self, name: str, place: Endpoint) -> None:
        """Begin a probe."""
        self._running.add(name)
        probing = Deferred.fromCoroutine(self._probe(place))
        probing.addCallbacks(
            self._note_reached,
            self._note_missed,
            callbackArgs=(name,),
            errbackArgs=(name,),
        )

    async def _probe(self, place: Endpoint) -> None:
        """Ask for an answer at an address; raise if there is none in time."""
        endpoint = TCP4ClientEndpoint(
            self._reactor, place.host, place.port, PROBE_LIMIT
        )
        link = await connectProtocol(endpoint, LoanLender())
        answer = link.send_offer(self._name, NOTHING)
        link.ended.addCallback(lambda _: answer.called or answer.cancel())
        try:
            await answer.addTimeout(PROBE_LIMIT, self._awake)
        finally:
            link.abort()

    def _note_reached(self, _: None, name: str) -> None:
        """Take in that an instance answers."""
        self._running.discard(name)
        log.info("relay: %s answers again.", name)
        self._directory.note_reached(name)

    def _note_missed(self, failure: object, name: str) -> None:
        """Take in that an instance does not answer."""
        self._running.discard(name)
        self._directory.note_unreached(name)
