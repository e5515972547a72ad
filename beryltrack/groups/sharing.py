"""Ties the groups to the peers: who leads what spreads, and who ranks first.

A node that does not watch a group, or has just started, learns from its peers
where the primary is. What it learns is a hint: it proves neither an age nor
that the primary still leads. The members of the fleet are what the nodes that
may replace a primary are ranked among.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from beryltrack.findings import Finding, format_finding
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import GroupView
from beryltrack.peers.messages import MEMBER_KIND, KnowledgeItem

log = logging.getLogger(__name__)

VIEW_KIND = "group"

GetNodes = Callable[[str], tuple[str, ...]]


class PeerKnowledge(Protocol):
    """What is needed of the peers' task."""

    def publish(self, item: KnowledgeItem) -> None:
        """Tell all proxies of an item."""

    def subscribe(self, kind: str, callback: Callable[[KnowledgeItem], None]) -> None:
        """Call back with each new item of a kind, and with those known already."""


class GroupSharing:
    """Shares the views of all groups that run on this node.

    Parameters
    ----------
    peers : PeerKnowledge
        Spreads items.
    get_nodes : callable
        Gives the names of the instances that watch a group, this one among
        them if it does.
    """

    def __init__(self, peers: PeerKnowledge, get_nodes: GetNodes):
        self._peers = peers
        self._get_nodes = get_nodes
        self._tasks: dict[str, GroupTask] = {}
        self._hints: dict[str, GroupView] = {}
        peers.subscribe(VIEW_KIND, self._take_item)
        peers.subscribe(MEMBER_KIND, self._take_member)

    def add(self, task: GroupTask) -> None:
        """Share the view of one more group, and give it what is known."""
        group = task.view.group
        self._tasks[group] = task
        task.set_nodes(self._get_nodes(group))
        task.subscribe(self._publish)
        if group in self._hints:
            task.learn_view(self._hints[group])

    def remove(self, task: GroupTask) -> None:
        """Give a group's task nothing any more."""
        if self._tasks.get(task.view.group) is task:
            del self._tasks[task.view.group]

    def _publish(self, view: GroupView) -> None:
        if view.primary:
            self._peers.publish(make_view_item(view))

    def _take_item(self, item: KnowledgeItem) -> None:
        view, findings = parse_view_item(item)
        if view is None:
            log.warning("groups: %s", "; ".join(map(format_finding, findings)))
            return
        self._hints[view.group] = view
        task = self._tasks.get(view.group)
        if task is not None:
            task.learn_view(view)

    def _take_member(self, item: KnowledgeItem) -> None:
        for group, task in self._tasks.items():
            task.set_nodes(self._get_nodes(group))


def make_view_item(view: GroupView) -> KnowledgeItem:
    """Return the item that tells who leads a group.

    Parameters
    ----------
    view : GroupView
        A view with a primary. A term has one primary only, so two items of one
        version hold the same value.

    Returns
    -------
    KnowledgeItem
        Its version is the term.
    """
    return KnowledgeItem(VIEW_KIND, view.group, (view.term,), view.primary)


def parse_view_item(
    item: KnowledgeItem,
) -> tuple[GroupView | None, tuple[Finding, ...]]:
    """Return the hint that an item carries, or what is wrong with it.

    Parameters
    ----------
    item : KnowledgeItem
        An item of the kind `VIEW_KIND`.

    Returns
    -------
    view : GroupView or None
        A view that names the primary and nothing else.
    findings : tuple of Finding
        All that is wrong.
    """
    checks = (
        (len(item.version) == 1, "the version is not a term"),
        (isinstance(item.value, str) and item.value, "the value is not a name"),
    )
    findings = tuple(Finding(item.key, "", text) for holds, text in checks if not holds)
    if findings:
        return None, findings
    return GroupView(item.key, item.version[0], item.value), ()
