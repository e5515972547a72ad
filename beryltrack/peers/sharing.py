"""Connects the peers to the platform: shared settings and the instance list.

Settings that one proxy reads from the store reach the others as gossip items. This
module also decides whether this proxy is a watcher, one of the few that watch the
store. All proxies poll the instance list, watchers often and the others rarely, so
that the fleet's calls do not grow with its size.
"""

import logging
import random
from collections.abc import Awaitable, Iterable
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.interfaces import IReactorTime

from beryltrack.findings import Finding, format_finding
from beryltrack.objects.messages import InstanceEntry, PlatformError, PlatformObject
from beryltrack.peers.messages import MEMBER_KIND, GossipItem
from beryltrack.peers.repeater import Repeater
from beryltrack.peers.task import PeerTask
from beryltrack.settings.paths import PREFIX
from beryltrack.settings.task import SettingsTask

log = logging.getLogger(__name__)

SETTINGS_KIND = "settings"

SETTINGS_BATCH_DELAY = 0.01
"""Seconds for which received settings are collected before they are applied."""

WATCHER_CHOICE_DELAY = 0.5
"""Seconds from a change of the fleet until the watchers are chosen again."""

FIRST_WATCHER_CHOICE_DELAY = 2.0
"""Seconds until the first choice: a proxy that has just started knows no members."""

WATCHER_LIST_PERIOD = 5.0
"""Seconds between reads of the instance list by a watcher."""

UNLINKED_LIST_PERIOD = 2.0
"""Seconds between reads of the instance list while no peer is linked."""

LIST_JITTER = 0.25
"""Fraction by which the periods of reading the list vary at random."""


class InstanceListClient(Protocol):
    """The method of the platform's client that the poller calls."""

    def list_instances(
        self,
    ) -> Awaitable[Result[tuple[InstanceEntry, ...], PlatformError]]:
        """Return the instance list."""


def make_settings_item(found: PlatformObject) -> GossipItem:
    """Return the gossip item that carries a settings object."""
    value = [found.value, found.deleted]
    return GossipItem(SETTINGS_KIND, found.path, (found.version,), value)


def parse_settings_item(
    item: GossipItem,
) -> tuple[PlatformObject | None, list[Finding]]:
    """Parse and validate a settings item.

    Parameters
    ----------
    item : GossipItem
        An item of the kind `SETTINGS_KIND`.

    Returns
    -------
    PlatformObject or None
        The settings object; None if the item is malformed.
    list of Finding
        All errors.
    """
    value = item.value
    is_pair = isinstance(value, list | tuple) and len(value) == 2
    checks = (
        (item.key.startswith(PREFIX), "the path is not one of the settings"),
        (len(item.version) == 1, "the version is not a single number"),
        (is_pair and isinstance(value[1], bool), "the value is not an object"),
    )
    findings = [Finding(item.key, "", text) for holds, text in checks if not holds]
    if findings:
        return None, findings
    return PlatformObject(item.key, item.version[0], value[0], value[1]), []


class SettingsSharing:
    """Shares settings between the proxies, and decides whether this one is a watcher.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays that batch changes.
    peers : PeerTask
        The peer task of this proxy.
    settings : SettingsTask
        The settings task of this proxy.
    """

    def __init__(self, reactor: IReactorTime, peers: PeerTask, settings: SettingsTask):
        self._reactor = reactor
        self._peers = peers
        self._settings = settings
        self._received: list[PlatformObject] = []
        self._apply_timer = None
        self._choice_timer = None
        self._stopped = False

    def start(self) -> None:
        """Start to share."""
        self._settings.subscribe_objects(self._publish)
        self._publish(self._settings.get_objects())
        self._settings.set_watcher(False)
        self._choice_timer = self._reactor.callLater(
            FIRST_WATCHER_CHOICE_DELAY, self._choose_watchers
        )
        self._peers.subscribe(SETTINGS_KIND, self._buffer_item)
        self._peers.subscribe(MEMBER_KIND, self._schedule_choice)

    def stop(self) -> None:
        """Stop sharing."""
        self._stopped = True
        for call in (self._apply_timer, self._choice_timer):
            if call is not None and call.active():
                call.cancel()

    def _publish(self, objects: Iterable[PlatformObject]) -> None:
        """Publish objects to the peers, which ignore versions that they hold."""
        if not self._stopped:
            for found in objects:
                self._peers.publish(make_settings_item(found))

    def _buffer_item(self, item: GossipItem) -> None:
        """Buffer a received object, because settings are applied as a whole."""
        found, findings = parse_settings_item(item)
        for finding in findings:
            log.warning("peers: ignored a settings item: %s", format_finding(finding))
        if found is None or self._stopped:
            return
        self._received.append(found)
        if self._apply_timer is None:
            self._apply_timer = self._reactor.callLater(
                SETTINGS_BATCH_DELAY, self._apply_settings
            )

    def _apply_settings(self) -> None:
        """Apply the buffered objects."""
        self._apply_timer = None
        received, self._received = self._received, []
        self._settings.merge(received)

    def _schedule_choice(self, item: GossipItem) -> None:
        """Schedule a choice of the watchers, one for many changes of the fleet."""
        if self._choice_timer is None and not self._stopped:
            self._choice_timer = self._reactor.callLater(
                WATCHER_CHOICE_DELAY, self._choose_watchers
            )

    def _choose_watchers(self) -> None:
        """Set whether this proxy watches the store, and the size of the fleet."""
        self._choice_timer = None
        self._settings.set_watcher(self._peers.is_watcher)
        self._settings.set_fleet_size(len(self._peers.members))


class InstanceListPoller:
    """Polls the platform's instance list for the peers.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the periods.
    peers : PeerTask
        Receives the list.
    client : InstanceListClient
        The platform's client.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        peers: PeerTask,
        client: InstanceListClient,
        rng: random.Random,
    ):
        self._peers = peers
        self._client = client
        self._rng = rng
        self._repeater = Repeater(reactor, self._read)

    def start(self) -> None:
        """Read the list now and periodically."""
        self._repeater.start()

    def stop(self) -> None:
        """Stop polling."""
        self._repeater.stop()

    async def _read(self) -> float:
        """Read the list once; return the seconds until the next read."""
        result = await self._client.list_instances()
        if isinstance(result, Success):
            self._peers.observe_instances(result.unwrap())
        return self._get_period() * self._rng.uniform(1 - LIST_JITTER, 1 + LIST_JITTER)

    def _get_period(self) -> float:
        """Return the mean seconds between reads of the list."""
        if not self._peers.linked:
            return UNLINKED_LIST_PERIOD
        return (
            WATCHER_LIST_PERIOD if self._peers.is_watcher else self._peers.poll_period
        )
