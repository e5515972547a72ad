"""The place of an instance among the others: views, ranks and chosen duties.

What one instance learns of a group's primary the others take as a hint, and
all of them rank candidates over the same live members.
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

LOOK_PERIOD = 0.5
"""Seconds between two looks at who owns which group."""

_ACTIVE_STATES = frozenset((JOINED, SUSPECTED))


class FleetTask:
    """Ties the groups of an instance to its peers.

    Parameters
    ----------
    reactor : reactor
        Source of sockets and timers.
    settings : InstanceSettings
        What the instance's settings file says.
    settings_task : SettingsTask
        The settings in force, to be shared.
    platform : PlatformClient
        The platform.
    groups : GroupTable
        The groups of this instance.
    handler : ForwardHandler
        Runs requests that other instances pass on.
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
        # Seconds since 1970 rise with each start of the process.
        incarnation = int(time.time())
        self.service = PeerService(
            reactor, settings, settings_task, platform, rng, incarnation
        )
        self.peers = self.service.peers
        self._name = settings.name
        self._known_members: tuple[Member, ...] = ()
        self._nodes: tuple[str, ...] = ()
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
        self._hints = PrimaryRecordWriter(reactor, platform, rng)
        platform.eras.subscribe(lambda era: self._hints.rewrite_all())
        self._writing: set[Deferred] = set()
        self._sharing = GroupSharing(self.peers, self.get_owner_names)
        self._told_owners: dict[str, tuple[str, ...]] = {}
        self._looking = LoopingCall(self._look_at_groups)
        self._looking.clock = reactor

    @property
    def nodes(self) -> tuple[str, ...]:
        """Names of the live instances, this one among them."""
        members = self.peers.members
        # All groups ask at each change; the peers keep one tuple between changes.
        if members is not self._known_members:
            self._known_members = members
            self._nodes = tuple(
                member.name for member in members if member.state in _ACTIVE_STATES
            )
        return self._nodes

    def start(self) -> None:
        """Look for peers, and share what is known of groups."""
        self.service.start()
        self.budget.start()
        self.forwarder.start()
        self._looking.start(LOOK_PERIOD)
        self._groups.subscribe_started(self._watch_group)
        self._groups.subscribe_stopped(self._forget_group)

    def leave(self) -> None:
        """Tell the peers that this instance is leaving; it keeps its shares."""
        self.service.leave()
        self.forwarder.leave()

    async def stop(self) -> None:
        """Give up the shares, tell the peers, and close everything.

        The connections to databases must be closed by now: requests in flight
        need them until then.
        """
        if self._looking.running:
            self._looking.stop()
        await self.budget.leave()
        self.budget.stop()
        self.forwarder.stop()
        for writing in tuple(self._writing):
            writing.cancel()
        await self.service.stop()

    def is_chosen(self, group: str) -> bool:
        """Return whether this instance does the duties of a group that one does."""
        return self._name in get_owners(group, self.peers.members, 1)

    def get_owner_names(self, group: str) -> tuple[str, ...]:
        """Return the live instances that run a group's requests, best rank first.

        An instance that knows of no owner acts as one.
        """
        return self._get_live_owners(group) or (self._name,)

    def knows_owners(self, group: str) -> bool:
        """Return whether an owner of a group is known that is live."""
        return bool(self._get_live_owners(group))

    def _get_live_owners(self, group: str) -> tuple[str, ...]:
        """Return the holders of a group's seats that are live, best rank first."""
        live = self.nodes
        names = map(get_holder_name, self.budget.task.get_owners(group))
        return tuple(name for name in names if name in live)

    def _watch_group(self, runtime: GroupRuntime) -> None:
        """Share the view of a group that starts, and take what is known of it."""
        self.budget.add_pools(runtime.settings, runtime.pools)
        self._sharing.add(runtime.task)
        self._look_at_group(runtime)
        runtime.task.subscribe_failover(self._record_failover)

    def _forget_group(self, runtime: GroupRuntime) -> None:
        """Forget the shares of a group that has stopped."""
        self._sharing.remove(runtime.task)
        self._told_owners.pop(runtime.settings.name, None)
        self.budget.remove_pools(runtime.settings)

    def _look_at_groups(self) -> None:
        """Start the groups that this instance owns; rank candidates by owners."""
        for runtime in self._groups.runtimes:
            self._look_at_group(runtime)

    def _look_at_group(self, runtime: GroupRuntime) -> None:
        """Follow who owns one group."""
        group = runtime.settings.name
        holders = self.budget.task.get_owners(group)
        if any(get_holder_name(holder) == self._name for holder in holders):
            runtime.ensure_started()
        owners = self.get_owner_names(group)
        if self._told_owners.get(group) != owners:
            self._told_owners[group] = owners
            runtime.task.set_nodes(owners)

    def _record_failover(self, report: FailoverReport) -> None:
        """Keep a change of primary that this instance made in the platform."""
        writing = self._hints.write(report)
        self._writing.add(writing)
        writing.addErrback(lambda failure: failure.trap(CancelledError))
        writing.addBoth(lambda _: self._writing.discard(writing))
