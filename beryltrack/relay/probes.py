"""Probes of instances that are passed over, in place of callers' requests.

A probe is a link on which nothing is lent. The process itself must answer: a kernel
takes connections for one that is frozen.
"""

import logging

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.task import LoopingCall

from beryltrack.accounts.lending import Offer
from beryltrack.accounts.link import RightsLender
from beryltrack.relay.directory import RelayDirectory
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

LOOK_PERIOD = 0.1
"""Seconds between two looks at which probes are due."""

PROBE_LIMIT = 0.5
"""Seconds until a probe counts as not answered; it takes 1 to 10 ms."""

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
    """

    def __init__(self, reactor, name: str, directory: RelayDirectory):
        self._reactor = reactor
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
            if name in self._running:
                continue
            peer = self._directory.get_peer(name)
            if peer is None or peer.rights is None:
                # One of an earlier release: a caller's request finds out.
                self._directory.note_reached(name)
                continue
            self._running.add(name)
            probing = Deferred.fromCoroutine(self._probe(peer.rights))
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
        link = await connectProtocol(endpoint, RightsLender())
        answer = link.tell(self._name, NOTHING)
        link.is_over.addCallback(lambda _: answer.called or answer.cancel())
        try:
            await answer.addTimeout(PROBE_LIMIT, self._reactor)
        finally:
            link.give_up()

    def _note_reached(self, _: None, name: str) -> None:
        """Take in that an instance answers."""
        self._running.discard(name)
        log.info("relay: %s answers again.", name)
        self._directory.note_reached(name)

    def _note_missed(self, failure: object, name: str) -> None:
        """Take in that an instance does not answer."""
        self._running.discard(name)
        self._directory.note_unreached(name)
