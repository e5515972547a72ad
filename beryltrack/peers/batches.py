"""Splits lists of items into batches of bounded size, one for each message."""

from collections.abc import Iterable

import cbor2

from beryltrack.peers.messages import GossipItem

MAX_BATCH_BYTES = 64 * 1024

MAX_ITEM_BYTES = 1024 * 1024 + 4096
"""Maximum size of an encoded item that a frame can hold."""

MAX_PENDING_ITEMS = 4096
"""Items that may be queued for one link."""


def compute_item_size(item: GossipItem) -> int:
    """Return the encoded size of an item, bytes.

    Raises
    ------
    cbor2.CBOREncodeError
        If CBOR cannot encode the item's value.
    """
    return len(cbor2.dumps(item))


def split_items(
    items: Iterable[GossipItem], limit: int = MAX_BATCH_BYTES
) -> list[tuple[GossipItem, ...]]:
    """Split items into batches.

    Parameters
    ----------
    items : iterable of GossipItem
        Items to send.
    limit : int
        Maximum size of a batch, bytes; a larger item is a batch of its own.

    Returns
    -------
    list of tuple of GossipItem
        Batches in the order of the items.
    """
    batches: list[list[GossipItem]] = []
    space = 0
    for item in items:
        size = compute_item_size(item)
        if not batches or size > space:
            batches.append([])
            space = limit
        batches[-1].append(item)
        space -= size
    return [tuple(batch) for batch in batches]
