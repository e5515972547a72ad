"""Items that wait to be pushed over each control link.

A newer item replaces an older one under its key, so that what waits is bounded
by the number of keys. On a link that is stuck, what exceeds the bound is
dropped and counted: the digests will show it.
"""

from collections.abc import Container, Iterable

from beryltrack.peers.actions import SendMessage
from beryltrack.peers.batches import MAX_PENDING_ITEMS, split_items
from beryltrack.peers.messages import GossipItem, ItemKey, Items


class PushQueues:
    """What waits to be pushed, for each link."""

    def __init__(self):
        self.dropped = 0
        self._queues: dict[str, dict[ItemKey, GossipItem]] = {}

    @property
    def has_pending(self) -> bool:
        """True if anything waits."""
        return any(self._queues.values())

    def add_link(self, peer: str) -> None:
        """Begin with nothing for a link that is new."""
        self._queues[peer] = {}

    def drop_link(self, peer: str) -> None:
        """Forget what waited for a link that has closed."""
        self._queues.pop(peer, None)

    def push(self, items: Iterable[GossipItem], source: str = "") -> None:
        """Have items sent over all links but the one that they came from."""
        items = tuple(items)
        for peer in self._queues:
            if peer != source:
                self.push_to(peer, items)

    def push_to(self, peer: str, items: Iterable[GossipItem]) -> None:
        """Have items sent over one link."""
        queue = self._queues[peer]
        for item in items:
            key = ItemKey(item.kind, item.key)
            if key in queue or len(queue) < MAX_PENDING_ITEMS:
                queue[key] = item
            else:
                self.dropped += 1

    def flush(self, blocked: Container[str] = ()) -> list[SendMessage]:
        """Return the messages that carry all that waits.

        Parameters
        ----------
        blocked : container of str
            Peers whose links take no more now; their items go on waiting.

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
