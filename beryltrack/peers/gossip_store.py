"""Store of the gossip items that a proxy holds, with digests for anti-entropy.

An item is replaced only by one of a higher version (last writer wins), so late,
duplicate and reordered messages never revert it. Items hash into buckets, each with
an XOR digest: two proxies find the buckets that differ at a cost that does not grow
with the number of items.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from beryltrack.peers.messages import MEMBER_KIND, GossipItem, ItemKey, ItemVersion

BUCKET_COUNT = 128
BUCKET_DIGEST_BYTES = 4

MAX_ITEMS = 100_000
"""Items above which new keys are rejected."""


class Difference(NamedTuple):
    """Result of comparing this side's versions with the other side's.

    Parameters
    ----------
    wanted : tuple of ItemKey
        Items of which the other side holds a newer version.
    offered : tuple of GossipItem
        Items of which this side holds a newer version.
    """

    wanted: tuple[ItemKey, ...]
    offered: tuple[GossipItem, ...]


def compute_bucket(key: ItemKey) -> int:
    """Return the number of an item's bucket."""
    return xxhash.xxh64_intdigest(f"{key.kind}\0{key.key}".encode()) % BUCKET_COUNT


def compute_item_digest(item: GossipItem) -> int:
    """Return a 64-bit digest of an item's kind, key and version."""
    version = ".".join(map(str, item.version))
    return xxhash.xxh64_intdigest(f"{item.kind}\0{item.key}\0{version}".encode())


def is_about_member(kind: str) -> bool:
    """Return whether the key of items of this kind is a member's name."""
    return kind == MEMBER_KIND or kind.startswith(f"{MEMBER_KIND}.")


class GossipStore:
    """The highest version of each item that this proxy has seen."""

    def __init__(self):
        self._buckets: list[dict[ItemKey, GossipItem]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._digests = [0] * BUCKET_COUNT
        self._outside_digest: set[ItemKey] = set()
        self._size = 0
        self._digest = 0

    @property
    def digest(self) -> int:
        """64-bit digest of all items that count; equal for equal sets of items."""
        return self._digest

    @property
    def size(self) -> int:
        """The number of items."""
        return self._size

    def get(self, key: ItemKey) -> GossipItem | None:
        """Return the item under a key, or None if there is none."""
        return self._buckets[compute_bucket(key)].get(key)

    def get_items(self, kind: str) -> tuple[GossipItem, ...]:
        """Return all items of one kind, ordered by key."""
        found = (
            item
            for bucket in self._buckets
            for item in bucket.values()
            if item.kind == kind
        )
        return tuple(sorted(found, key=lambda item: item.key))

    def accept(self, item: GossipItem, in_digest: bool = True) -> bool:
        """Store an item if its version is higher than the stored one.

        Parameters
        ----------
        item : GossipItem
            An item that was published here or received.
        in_digest : bool
            False leaves the item out of the digests, for items that each
            proxy drops at a time of its own.

        Returns
        -------
        bool
            True if the item was stored; False if it is not newer, or if its key is
            new and the store holds `MAX_ITEMS` items.
        """
        key = ItemKey(item.kind, item.key)
        known = self.get(key)
        if known is None and self._size >= MAX_ITEMS:
            return False
        if known is not None and known.version >= item.version:
            return False
        self.remove(key)
        self._buckets[compute_bucket(key)][key] = item
        self._size += 1
        if in_digest:
            self._toggle_digest(key, item)
        else:
            self._outside_digest.add(key)
        return True

    def remove(self, key: ItemKey) -> None:
        """Drop the item under a key, if there is one."""
        item = self._buckets[compute_bucket(key)].pop(key, None)
        if item is None:
            return
        self._size -= 1
        if key in self._outside_digest:
            self._outside_digest.discard(key)
        else:
            self._toggle_digest(key, item)

    def remove_member(self, name: str) -> None:
        """Drop all items about a member."""
        keys = [
            key
            for bucket in self._buckets
            for key in bucket
            if key.key == name and is_about_member(key.kind)
        ]
        for key in keys:
            self.remove(key)

    def get_bucket_digests(self) -> bytes:
        """Return the digests of all buckets, `BUCKET_DIGEST_BYTES` bytes each."""
        mask = (1 << 8 * BUCKET_DIGEST_BYTES) - 1
        return b"".join(
            (digest & mask).to_bytes(BUCKET_DIGEST_BYTES, "big")
            for digest in self._digests
        )

    def find_different_buckets(self, digests: bytes) -> tuple[int, ...]:
        """Return the buckets whose digests differ from those of another proxy.

        Parameters
        ----------
        digests : bytes
            The other proxy's `get_bucket_digests`. If the length differs, all
            buckets count as different.

        Returns
        -------
        tuple of int
            Numbers of buckets.
        """
        own = self.get_bucket_digests()
        if len(digests) != len(own):
            return tuple(range(BUCKET_COUNT))
        width = BUCKET_DIGEST_BYTES
        return tuple(
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * width : (bucket + 1) * width]
            != digests[bucket * width : (bucket + 1) * width]
        )

    def get_versions(self, bucket: int) -> tuple[ItemVersion, ...]:
        """Return the versions of all items in one bucket."""
        return tuple(
            ItemVersion(item.kind, item.key, item.version)
            for item in self._buckets[bucket].values()
        )

    def compare_versions(
        self, buckets: Iterable[int], versions: Iterable[ItemVersion]
    ) -> Difference:
        """Return the items that each side lacks.

        Parameters
        ----------
        buckets : iterable of int
            Buckets that the other side listed in full; numbers out of range
            are ignored.
        versions : iterable of ItemVersion
            The versions that the other side holds in them.

        Returns
        -------
        Difference
            Items to request and items to send.
        """
        theirs = {ItemKey(entry.kind, entry.key): entry.version for entry in versions}
        wanted = tuple(
            key for key, version in theirs.items() if self._is_newer(key, version)
        )
        offered = tuple(
            item
            for bucket in buckets
            if bucket < BUCKET_COUNT
            for key, item in self._buckets[bucket].items()
            if theirs.get(key, ()) < item.version
        )
        return Difference(wanted, offered)

    def _is_newer(self, key: ItemKey, version: tuple[int, ...]) -> bool:
        """Return whether a version is higher than the stored one."""
        known = self.get(key)
        return known is None or version > known.version

    def _toggle_digest(self, key: ItemKey, item: GossipItem) -> None:
        """Add an item's digest, or remove it if it is included."""
        digest = compute_item_digest(item)
        self._digests[compute_bucket(key)] ^= digest
        self._digest ^= digest
