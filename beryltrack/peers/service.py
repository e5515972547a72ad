"""All that makes one proxy act with its peers, started and stopped as one."""

import random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP, IReactorTime

from beryltrack.peers.sharing import (
    InstanceListClient,
    InstanceListPoller,
    SettingsSharing,
)
from beryltrack.peers.task import PeerTask
from beryltrack.settings.messages import InstanceSettings
from beryltrack.settings.task import SettingsTask


class PeerService:
    """The peers of one proxy, joined to its settings and the platform.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Where sockets and timers come from.
    instance_settings : InstanceSettings
        Name, zone, peer address, key and seeds of this proxy.
    settings : SettingsTask
        Its settings, to be shared.
    client : InstanceList
        The platform's client.
    rng : random.Random
        Source of jitter.
    incarnation : int
        See `PeerTask`.
    """

    def __init__(
        self,
        reactor: IReactorTCP | IReactorTime,
        instance_settings: InstanceSettings,
        settings: SettingsTask,
        client: InstanceListClient,
        rng: random.Random,
        incarnation: int,
    ):
        self.peers = PeerTask(reactor, instance_settings, rng, incarnation)
        self._sharing = SettingsSharing(reactor, self.peers, settings)
        self._list_poller = InstanceListPoller(reactor, self.peers, client, rng)

    def start(self) -> None:
        """Listen for peers, look for them, and share settings."""
        self.peers.start()
        self._sharing.start()
        self._list_poller.start()

    def leave(self) -> None:
        """Tell all proxies that this one is leaving."""
        self.peers.leave()

    def stop(self) -> Deferred:
        """Tell all proxies that this one has left, and close everything."""
        self._stop_sharing()
        return self.peers.stop()

    def abort(self) -> Deferred:
        """Break off without a word, as a crash does; for tests."""
        self._stop_sharing()
        return self.peers.abort()

    def _stop_sharing(self) -> None:
        """Stop what stands between the peers and the platform."""
        self._sharing.stop()
        self._list_poller.stop()
