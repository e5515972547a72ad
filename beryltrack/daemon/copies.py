"""The copies of the store's objects that the instances of a fleet share."""

from beryltrack.objects.copies import CopyPublisher
from beryltrack.objects.feed import FeedTask
from beryltrack.objects.follow import FollowTask
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint


class FleetCopies:
    """Tells others what this instance knows of the store, and is told by others.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    feeds : tuple of FeedTask
        The kinds that are shared; the first one finds out whether the store answers.
    own : Peer
        This instance.
    seeds : tuple of Endpoint, optional
        Where others may tell this one while it knows none of them.
    """

    def __init__(
        self,
        reactor,
        feeds: tuple[FeedTask, ...],
        own: Peer,
        seeds: tuple[Endpoint, ...] = (),
    ):
        self.port = CopyPublisher(reactor, feeds)
        self._follow = FollowTask(reactor, feeds, own, seeds=seeds)

    @property
    def source(self) -> str:
        """The name of the instance that tells this one; empty if none does."""
        return self._follow.source

    def start(self) -> None:
        """Begin to tell and to be told."""
        self.port.start()
        self._follow.start()

    def stop(self) -> None:
        """End all links."""
        self._follow.stop()
        self.port.stop()

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Take all instances that are known."""
        self._follow.set_peers(peers)
