"""Cuts lists of items into messages of bounded size."""

from collections.abc import Iterable

import cbor2

from beryltrack.peers.messages import GossipItem

MAX_BATCH_BYTES = 64 * 1024
MAX_ITEM_BYTES = 1024 * 1024 + 4096
MAX_PENDING_ITEMS = 4096


def compute_item_size(item: GossipItem) -> int:
    """Return the bytes that an item takes in a message.

    Raises
    ------
    cbor2.CBOREncodeError
        If the item's value cannot be carried by CBOR.
    """
    return len(cbor2.dumps(item))


def split_items(
    items: Iterable[GossipItem], limit: int = MAX_BATCH_BYTES
) -> list[tuple[GossipItem, ...]]:
    """Return items in batches.

    Parameters
    ----------
    items : iterable of GossipItem
        What is to be sent.
    limit : int
        Bytes above which a batch ends; a single larger item is a batch.

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
