"""Connects a proxy to its peers: membership, shared group views, owners and duties.

Instances share what they learn about a group's primary as hints, and rank failover
candidates over the same live members.
"""

import logging
import random
import time

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall

from beryltrack.connections.budget_service import BudgetService, make_plan
from beryltrack.connections.loan_links import get_holder_name
from beryltrack.daemon.groups import GroupTable
from beryltrack.failover.messages import FailoverReport
from beryltrack.failover.primary_records import PrimaryRecordWriter
from beryltrack.groups.sharing import GroupSharing
from beryltrack.objects.client import PlatformClient
from beryltrack.peers.forwarder import Forwarder, ForwardHandler
from beryltrack.peers.messages import JOINED, SUSPECTED, Member
from beryltrack.peers.placement import get_owners
from beryltrack.peers.service import PeerService
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import InstanceSettings
from beryltrack.settings.task import SettingsTask

log = logging.getLogger(__name__)

REFRESH_PERIOD = 0.5
"""Seconds between two updates of the owners of all groups."""

_ACTIVE_STATES = frozenset((JOINED, SUSPECTED))


class FleetTask:
    """Connects the groups of an instance to its peers.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    settings : InstanceSettings
        The instance's settings file.
    settings_task : SettingsTask
        The settings in force, to be shared.
    platform : PlatformClient
        The platform.
    groups : GroupTable
        The groups of this instance.
    handler : ForwardHandler
        Runs requests that other instances forward.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        reactor,
        settings: InstanceSettings,
        settings_task: SettingsTask,
        platform: PlatformClient,
        groups: GroupTable,
        handler: ForwardHandler,
        rng: random.Random,
    ):
        # The Unix time in seconds increases with each start of the process.
        incarnation = int(time.time())
        self.service = PeerService(
            reactor, settings, settings_task, platform, rng, incarnation
        )
        self.peers = self.service.peers
        self._name = settings.name
        self._known_members: tuple[Member, ...] = ()
        self._live_instances: tuple[str, ...] = ()
        self._groups = groups
        self.budget = BudgetService(
            reactor,
            self.peers,
            platform,
            make_plan(settings.seats),
            rng,
            incarnation,
        )
        self.forwarder = Forwarder(reactor, self.peers, handler, self.get_owner_names)
        self._primary_records = PrimaryRecordWriter(reactor, platform, rng)
        platform.eras.subscribe(lambda era: self._primary_records.rewrite_all())
        self._pending_writes: set[Deferred] = set()
        self._sharing = GroupSharing(self.peers, self.get_owner_names)
        self._known_owners: dict[str, tuple[str, ...]] = {}
        self._refresh_loop = LoopingCall(self._refresh_groups)
        self._refresh_loop.clock = reactor

    @property
    def live_instances(self) -> tuple[str, ...]:
        """Names of the live instances, this one among them."""
        members = self.peers.members
        # All groups read this at each change; the peers keep one tuple between changes.
        if members is not self._known_members:
            self._known_members = members
            self._live_instances = tuple(
                member.name for member in members if member.state in _ACTIVE_STATES
            )
        return self._live_instances

    def start(self) -> None:
        """Discover peers and start to share group views."""
        self.service.start()
        self.budget.start()
        self.forwarder.start()
        self._refresh_loop.start(REFRESH_PERIOD)
        self._groups.subscribe_started(self._add_group)
        self._groups.subscribe_stopped(self._remove_group)

    def leave(self) -> None:
        """Announce to the peers that this instance leaves; it keeps its shares."""
        self.service.leave()
        self.forwarder.leave()

    async def stop(self) -> None:
        """Release the shares, notify the peers, and close everything.

        The connections to databases must be closed before: requests in flight need
        them, and they need the shares.
        """
        if self._refresh_loop.running:
            self._refresh_loop.stop()
        await self.budget.leave()
        self.budget.stop()
        self.forwarder.stop()
        for writing in tuple(self._pending_writes):
            writing.cancel()
        await self.service.stop()

    def is_duty_holder(self, group: str) -> bool:
        """Return whether this instance has a group's duties of a single instance."""
        return self._name in get_owners(group, self.peers.members, 1)

    def get_owner_names(self, group: str) -> tuple[str, ...]:
        """Return the live instances that run a group's requests, best rank first.

        An instance that knows no live owner acts as the owner.
        """
        return self._get_live_owners(group) or (self._name,)

    def knows_owners(self, group: str) -> bool:
        """Return whether a live owner of a group is known."""
        return bool(self._get_live_owners(group))

    def _get_live_owners(self, group: str) -> tuple[str, ...]:
        """Return the live holders of a group's seats, best rank first."""
        live = self.live_instances
        names = map(get_holder_name, self.budget.task.get_owners(group))
        return tuple(name for name in names if name in live)

    def _add_group(self, runtime: GroupRuntime) -> None:
        """Share the view of a group that starts, and set its owners."""
        self.budget.add_pools(runtime.settings, runtime.pools)
        self._sharing.add(runtime.task)
        self._refresh_group(runtime)
        runtime.task.subscribe_failover(self._record_failover)

    def _remove_group(self, runtime: GroupRuntime) -> None:
        """Remove the shares of a group that has stopped."""
        self._sharing.remove(runtime.task)
        self._known_owners.pop(runtime.settings.name, None)
        self.budget.remove_pools(runtime.settings)

    def _refresh_groups(self) -> None:
        """Start the groups that this instance owns, and update all groups' owners."""
        for runtime in self._groups.runtimes:
            self._refresh_group(runtime)

    def _refresh_group(self, runtime: GroupRuntime) -> None:
        """Start a group if this instance owns it; update its failover candidates."""
        group = runtime.settings.name
        holders = self.budget.task.get_owners(group)
        if any(get_holder_name(holder) == self._name for holder in holders):
            runtime.ensure_started()
        owners = self.get_owner_names(group)
        if self._known_owners.get(group) != owners:
            self._known_owners[group] = owners
            runtime.task.set_instances(owners)

    def _record_failover(self, report: FailoverReport) -> None:
        """Record in the platform a change of primary that this instance made."""
        writing = self._primary_records.write(report)
        self._pending_writes.add(writing)
        writing.addErrback(lambda failure: failure.trap(CancelledError))
        writing.addBoth(lambda _: self._pending_writes.discard(writing))
