"""Queues of items to push over links."""

from beryltrack.peers.actions import SendMessage
from beryltrack.peers.batches import MAX_PENDING_ITEMS, split_items
from beryltrack.peers.messages import GossipItem, Items
from beryltrack.peers.pushes import PushQueues


def make_item(key="a", version=1, value="v"):
    return GossipItem("k", key, (version,), value)


def make_queues(*peers):
    queues = PushQueues()
    for peer in peers:
        queues.add_link(peer)
    return queues


def test_an_item_is_pushed_to_all_links_but_its_source():
    queues = make_queues("a", "b", "c")
    queues.push([make_item()], "b")
    message = Items((make_item(),))
    assert queues.flush() == [SendMessage("a", message), SendMessage("c", message)]
    assert not queues.has_pending


def test_a_newer_item_replaces_the_queued_one_of_a_blocked_link():
    queues = make_queues("a")
    queues.push([make_item(version=1)])
    assert queues.flush(blocked={"a"}) == []
    queues.push([make_item(version=2)])
    assert queues.flush() == [SendMessage("a", Items((make_item(version=2),)))]


def test_items_beyond_the_queue_bound_are_dropped_and_counted():
    queues = make_queues("a")
    queues.push([make_item(str(number)) for number in range(MAX_PENDING_ITEMS + 3)])
    queues.push([make_item("0", version=2)])
    assert queues.dropped == 3
    sent = [item for action in queues.flush() for item in action.message.items]
    assert len(sent) == MAX_PENDING_ITEMS
    assert sent[0] == make_item("0", version=2)


def test_batches_stay_within_the_limit_unless_one_item_exceeds_it():
    items = [make_item(value="v" * size) for size in (10, 10, 500, 10)]
    assert [len(batch) for batch in split_items(items, limit=100)] == [2, 1, 1]
