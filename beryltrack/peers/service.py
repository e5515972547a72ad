"""Assembles a proxy's peer task, settings sharing and instance list poller."""

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
    """The peer task of one proxy, connected to its settings and the platform.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Provides sockets and timers.
    instance_settings : InstanceSettings
        Name, zone, peer address, key and seeds of this proxy.
    settings : SettingsTask
        The settings task of this proxy, whose objects are shared.
    client : InstanceListClient
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
        """Listen for and connect to peers, and share settings."""
        self.peers.start()
        self._sharing.start()
        self._list_poller.start()

    def leave(self) -> None:
        """Announce that this proxy is leaving."""
        self.peers.leave()

    def stop(self) -> Deferred:
        """Announce that this proxy has left, and close all links."""
        self._stop_sharing()
        return self.peers.stop()

    def abort(self) -> Deferred:
        """Abort all links without an announcement, as a crash does; for tests."""
        self._stop_sharing()
        return self.peers.abort()

    def _stop_sharing(self) -> None:
        """Stop sharing settings and reading the instance list."""
        self._sharing.stop()
        self._list_poller.stop()
