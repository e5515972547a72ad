"""Queues of the items to push over each control link.

A newer item replaces an older one under its key, so a queue is bounded by the number
of keys. Items beyond `MAX_PENDING_ITEMS` on a blocked link are dropped and counted;
anti-entropy repairs the difference.
"""

from collections.abc import Container, Iterable

from beryltrack.peers.actions import SendMessage
from beryltrack.peers.batches import MAX_PENDING_ITEMS, split_items
from beryltrack.peers.messages import GossipItem, ItemKey, Items


class PushQueues:
    """The items to push, for each link."""

    def __init__(self):
        self.dropped = 0
        self._queues: dict[str, dict[ItemKey, GossipItem]] = {}

    @property
    def has_pending(self) -> bool:
        """True if any item is queued."""
        return any(self._queues.values())

    def add_link(self, peer: str) -> None:
        """Start an empty queue for a new link."""
        self._queues[peer] = {}

    def drop_link(self, peer: str) -> None:
        """Drop the queue of a link that has closed."""
        self._queues.pop(peer, None)

    def push(self, items: Iterable[GossipItem], source: str = "") -> None:
        """Queue items for all links except the one to their source."""
        items = tuple(items)
        for peer in self._queues:
            if peer != source:
                self.push_to(peer, items)

    def push_to(self, peer: str, items: Iterable[GossipItem]) -> None:
        """Queue items for one link."""
        queue = self._queues[peer]
        for item in items:
            key = ItemKey(item.kind, item.key)
            if key in queue or len(queue) < MAX_PENDING_ITEMS:
                queue[key] = item
            else:
                self.dropped += 1

    def flush(self, blocked: Container[str] = ()) -> list[SendMessage]:
        """Return the messages that carry the queued items, and empty the queues.

        Parameters
        ----------
        blocked : container of str
            Peers whose links cannot be written to; their items stay queued.

        Returns
        -------
        list of SendMessage
            Messages to send.
        """
        ready = [peer for peer in self._queues if peer not in blocked]
        messages = [
            SendMessage(peer, Items(batch))
            for peer in ready
            for batch in split_items(self._queues[peer].values())
        ]
        for peer in ready:
            self._queues[peer].clear()
        return messages
