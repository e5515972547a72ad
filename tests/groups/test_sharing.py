"""Exchange of group views with the peers."""

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.sharing import GroupSharing, parse_view_item
from beryltrack.groups.view import NEVER, GroupView
from beryltrack.peers.messages import MEMBER_KIND, GossipItem
from tests.group_site import GroupSite

NODES = ("proxy-1", "proxy-2")


class FakePeers:
    """Records published items and subscribers."""

    def __init__(self):
        self.published = []
        self.callbacks = {}

    def publish(self, item):
        self.published.append(item)

    def subscribe(self, kind, callback):
        self.callbacks[kind] = callback


class FakeTask:
    """Records the instances and hints that it receives."""

    def __init__(self):
        self.view = GroupView("g")
        self.nodes = ()
        self.hints = []

    def set_instances(self, nodes):
        self.nodes = nodes

    def subscribe(self, callback):
        self.report_view = callback

    def learn_view(self, view):
        self.hints.append(view)


def share():
    peers, task, nodes = FakePeers(), FakeTask(), list(NODES)
    sharing = GroupSharing(peers, lambda group: tuple(nodes))
    return sharing, peers, task, nodes


def test_a_new_primary_is_published_under_its_term():
    sharing, peers, task, _ = share()
    sharing.add(task)
    task.report_view(GroupView("g", 3, ""))
    task.report_view(GroupView("g", 3, "b", head=LogPosition(3, 9)))
    assert peers.published == [GossipItem("group", "g", (3,), "b")]


def test_a_hint_from_before_a_task_was_added_is_passed_to_it():
    sharing, peers, task, _ = share()
    peers.callbacks["group"](GossipItem("group", "g", (3,), "b"))
    peers.callbacks["group"](GossipItem("group", "other", (9,), "x"))
    sharing.add(task)
    assert task.hints == [GroupView("g", 3, "b")]
    sharing.remove(task)
    peers.callbacks["group"](GossipItem("group", "g", (4,), "c"))
    assert len(task.hints) == 1


def test_changed_members_are_passed_to_the_tasks():
    sharing, peers, task, nodes = share()
    sharing.add(task)
    assert task.nodes == NODES
    nodes.append("proxy-3")
    peers.callbacks[MEMBER_KIND](None)
    assert task.nodes == (*NODES, "proxy-3")


def test_a_malformed_item_is_ignored():
    sharing, peers, task, _ = share()
    sharing.add(task)
    peers.callbacks["group"](GossipItem("group", "g", (1, 2), 7))
    assert task.hints == []
    view, findings = parse_view_item(GossipItem("group", "g", (1, 2), 7))
    assert view is None
    assert len(findings) == 2


def test_a_hint_never_proves_an_age():
    site = GroupSite()
    sharing = GroupSharing(FakePeers(), lambda group: NODES)
    sharing.add(site.task)
    for name in site.group.databases:
        site.network.cut_both("proxy-1", name)
    site.run(0.5)
    site.task.learn_view(GroupView("group", 5, "group-2"))
    assert site.task.view.primary == "group-2"
    assert site.task.get_age("group-2") > 0.4
    assert site.task.view.confirmed_at != NEVER
