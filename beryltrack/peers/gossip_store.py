"""What a proxy knows: items of the highest version seen, and their digests.

An item is replaced only by one of a higher version, so nothing goes back
whatever arrives late, twice or out of order. Digests of buckets of items let
two proxies find what they know differently at a cost that does not grow with
the number of items.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from beryltrack.peers.messages import MEMBER_KIND, GossipItem, ItemKey, ItemVersion

BUCKET_COUNT = 128
BUCKET_DIGEST_BYTES = 4
MAX_ITEMS = 100_000


class Difference(NamedTuple):
    """How one side's versions compare with the other's.

    Parameters
    ----------
    wanted : tuple of ItemKey
        Items that the other side knows better.
    offered : tuple of GossipItem
        Items that this side knows better.
    """

    wanted: tuple[ItemKey, ...]
    offered: tuple[GossipItem, ...]


def compute_bucket(key: ItemKey) -> int:
    """Return the bucket of an item."""
    return xxhash.xxh64_intdigest(f"{key.kind}\0{key.key}".encode()) % BUCKET_COUNT


def compute_item_digest(item: GossipItem) -> int:
    """Return a 64 bit digest of an item's name and version."""
    version = ".".join(map(str, item.version))
    return xxhash.xxh64_intdigest(f"{item.kind}\0{item.key}\0{version}".encode())


def is_about_member(kind: str) -> bool:
    """Return whether items of a kind have members' names as keys."""
    return kind == MEMBER_KIND or kind.startswith(f"{MEMBER_KIND}.")


class GossipStore:
    """All items of the highest version that this proxy has seen."""

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
        """Digest of all counted items, 64 bits; equal for equal knowledge."""
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
        """Take an item if its version is higher than the one known.

        Parameters
        ----------
        item : GossipItem
            What was published or heard.
        in_digest : bool
            False leaves the item out of the digests, for items that each
            proxy drops at its own time.

        Returns
        -------
        bool
            True if the item is new and was taken.
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
        """Drop what is known under a key, if anything is."""
        item = self._buckets[compute_bucket(key)].pop(key, None)
        if item is None:
            return
        self._size -= 1
        if key in self._outside_digest:
            self._outside_digest.discard(key)
        else:
            self._toggle_digest(key, item)

    def remove_member(self, name: str) -> None:
        """Drop all items about a member that is forgotten."""
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
        """Return the buckets whose digests are not those of another proxy.

        Parameters
        ----------
        digests : bytes
            What the other's `get_bucket_digests` gave. Bytes of another length
            differ in all buckets.

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
        """Return what this side and another would have to tell each other.

        Parameters
        ----------
        buckets : iterable of int
            Buckets that the other side listed in full; numbers out of range
            are passed over.
        versions : iterable of ItemVersion
            What the other side knows in them.

        Returns
        -------
        Difference
            What to ask for and what to send.
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
        """Return whether a version is higher than the one known."""
        known = self.get(key)
        return known is None or version > known.version

    def _toggle_digest(self, key: ItemKey, item: GossipItem) -> None:
        """Add an item's digest, or take it out if it is in."""
        digest = compute_item_digest(item)
        self._digests[compute_bucket(key)] ^= digest
        self._digest ^= digest
