"""Shares cached copies of the store's objects among the instances of a fleet."""

from beryltrack.objects.copies import CopyPublisher
from beryltrack.objects.feed import FeedTask
from beryltrack.objects.follow import FollowTask
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint


class FleetCopies:
    """Publishes this instance's cached copies and follows those of another instance.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    feeds : tuple of FeedTask
        The kinds that are shared; the first one detects whether the store answers.
    own : Peer
        This instance.
    seeds : tuple of Endpoint, optional
        Publishers to try while this instance knows no other one.
    """

    def __init__(
        self,
        reactor,
        feeds: tuple[FeedTask, ...],
        own: Peer,
        seeds: tuple[Endpoint, ...] = (),
    ):
        self.publisher = CopyPublisher(reactor, feeds)
        self._follow = FollowTask(reactor, feeds, own, seeds=seeds)

    @property
    def source(self) -> str:
        """The name of the instance that is followed; empty if none is."""
        return self._follow.source

    def start(self) -> None:
        """Start to publish and to follow."""
        self.publisher.start()
        self._follow.start()

    def stop(self) -> None:
        """Close all links."""
        self._follow.stop()
        self.publisher.stop()

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the known instances."""
        self._follow.set_peers(peers)
