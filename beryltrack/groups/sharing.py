"""Exchange of group views with the peers: which database is the primary of a group.

An instance that does not watch a group, or has just started, learns the primary from
its peers. Such a view is a hint: it proves neither an age nor that the primary still
leads. Each change of the fleet's members also updates the instances among which the
group's failover candidates are ranked.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from beryltrack.findings import Finding, format_finding
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import GroupView
from beryltrack.peers.messages import MEMBER_KIND, GossipItem

log = logging.getLogger(__name__)

VIEW_KIND = "group"

GetInstances = Callable[[str], tuple[str, ...]]


class PeerKnowledge(Protocol):
    """What `GroupSharing` needs of the peers' task."""

    def publish(self, item: GossipItem) -> None:
        """Send an item to all instances."""

    def subscribe(self, kind: str, callback: Callable[[GossipItem], None]) -> None:
        """Call back with each new item of a kind, and with those already known."""


class GroupSharing:
    """Exchanges the views of all groups that run on this instance.

    Parameters
    ----------
    peers : PeerKnowledge
        Distributes items.
    get_instances : callable
        Returns the names of the instances that watch a group, including this
        instance if it does.
    """

    def __init__(self, peers: PeerKnowledge, get_instances: GetInstances):
        self._peers = peers
        self._get_instances = get_instances
        self._tasks: dict[str, GroupTask] = {}
        self._hints: dict[str, GroupView] = {}
        peers.subscribe(VIEW_KIND, self._handle_view_item)
        peers.subscribe(MEMBER_KIND, self._handle_member_item)

    def add(self, task: GroupTask) -> None:
        """Publish the view of a group's task, and pass it the hint received before."""
        group = task.view.group
        self._tasks[group] = task
        task.set_instances(self._get_instances(group))
        task.subscribe(self._publish)
        if group in self._hints:
            task.learn_view(self._hints[group])

    def remove(self, task: GroupTask) -> None:
        """Stop passing hints and members to a group's task."""
        if self._tasks.get(task.view.group) is task:
            del self._tasks[task.view.group]

    def _publish(self, view: GroupView) -> None:
        if view.primary:
            self._peers.publish(make_view_item(view))

    def _handle_view_item(self, item: GossipItem) -> None:
        view, findings = parse_view_item(item)
        if view is None:
            log.warning(
                "groups: ignored a malformed view from a peer: %s",
                "; ".join(map(format_finding, findings)),
            )
            return
        self._hints[view.group] = view
        task = self._tasks.get(view.group)
        if task is not None:
            task.learn_view(view)

    def _handle_member_item(self, item: GossipItem) -> None:
        for group, task in self._tasks.items():
            task.set_instances(self._get_instances(group))


def make_view_item(view: GroupView) -> GossipItem:
    """Return the item that announces the primary of a group.

    Parameters
    ----------
    view : GroupView
        A view with a primary. A term has at most one primary, so that two items of
        one version hold the same value.

    Returns
    -------
    GossipItem
        Its version is the term.
    """
    return GossipItem(VIEW_KIND, view.group, (view.term,), view.primary)


def parse_view_item(
    item: GossipItem,
) -> tuple[GroupView | None, tuple[Finding, ...]]:
    """Return the hint that an item contains, or the reasons why it is malformed.

    Parameters
    ----------
    item : GossipItem
        An item of the kind `VIEW_KIND`.

    Returns
    -------
    view : GroupView or None
        A view with the group, the term and the primary only; None if there are
        findings.
    findings : tuple of Finding
        All defects of the item.
    """
    checks = (
        (len(item.version) == 1, "the version is not a term"),
        (
            isinstance(item.value, str) and item.value,
            "the value is not a database name",
        ),
    )
    findings = tuple(Finding(item.key, "", text) for holds, text in checks if not holds)
    if findings:
        return None, findings
    return GroupView(item.key, item.version[0], item.value), ()
