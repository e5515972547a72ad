"""Messages of the peer link, and the types that other packages share.

All of them are flat tuples of numbers, text and bytes, which the codec encodes as
CBOR arrays. Other packages use the constants and types at the top.
"""

from typing import NamedTuple

LISTED = "listed"
JOINED = "joined"
LEAVING = "leaving"
SUSPECTED = "suspected"
LEFT = "left"
DEAD = "dead"

# Within one incarnation a state of higher rank supersedes the others.
STATE_RANKS = {LISTED: 0, JOINED: 1, LEAVING: 2, SUSPECTED: 3, LEFT: 4, DEAD: 5}
PRESENT_STATES = frozenset({JOINED, LEAVING, SUSPECTED})
GONE_STATES = frozenset({LEFT, DEAD})

MEMBER_KIND = "member"

CONTROL = "control"
FORWARDING = "forwarding"
LOANS = "loans"

Version = tuple[int, ...]


class GossipItem(NamedTuple):
    """A versioned value that gossip spreads to every proxy.

    Parameters
    ----------
    kind : str
        Type of the value. Items whose kind is ``member`` or begins with
        ``member.`` have a member's name as key and are dropped with the member.
    key : str
        Name of the object, unique in its kind.
    version : tuple of int
        Version of the value; the highest wins. Two items of one version under
        one key must hold the same value.
    value : object
        Any value of plain CBOR types: numbers, text, bytes, lists and maps.
    """

    kind: str
    key: str
    version: Version
    value: object


class ItemVersion(NamedTuple):
    """An item's key and version, without its value."""

    kind: str
    key: str
    version: Version


class ItemKey(NamedTuple):
    """The kind and key that identify an item."""

    kind: str
    key: str


class Member(NamedTuple):
    """One proxy of the fleet, as this proxy knows it.

    Parameters
    ----------
    name : str
        Name of the instance.
    host : str
        IP address on which it listens for peers.
    port : int
        TCP port on which it listens for peers.
    zone : str
        Its availability zone.
    state : str
        `LISTED` (known only from the platform's instance list), `JOINED`,
        `LEAVING`, `SUSPECTED`, `LEFT` or `DEAD`.
    incarnation : int
        Raised by the member itself to refute a suspicion, and by a restart.
    """

    name: str
    host: str
    port: int
    zone: str
    state: str
    incarnation: int


class Hello(NamedTuple):
    """First message of the side that opened the link.

    Parameters
    ----------
    lowest : int
        Oldest protocol version that it supports.
    highest : int
        Newest protocol version that it supports.
    name : str
        Name of the instance.
    incarnation : int
        Its incarnation.
    purpose : str
        `CONTROL`, `FORWARDING` or `LOANS`.
    nonce : bytes
        Random bytes that the proofs cover.
    """

    lowest: int
    highest: int
    name: str
    incarnation: int
    purpose: str
    nonce: bytes


class Challenge(NamedTuple):
    """Answer to `Hello`: the chosen version, and the sender's name, nonce and proof."""

    version: int
    name: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Proof(NamedTuple):
    """Answer to `Challenge`: the proof of the side that opened the link."""

    proof: bytes


class Welcome(NamedTuple):
    """Answer to `Proof`: the link is open.

    Parameters
    ----------
    version : int
        Protocol version of the link.
    """

    version: int


class Heartbeat(NamedTuple):
    """Periodic message that shows that the sender is alive.

    Parameters
    ----------
    digest : int
        Digest of the sender's items; see `GossipStore.digest`.
    """

    digest: int


class Items(NamedTuple):
    """Items that have just changed."""

    items: tuple[GossipItem, ...]


class SyncDigests(NamedTuple):
    """Digests of all buckets; starts an anti-entropy exchange."""

    digests: bytes


class SyncVersions(NamedTuple):
    """The versions of all items in some buckets.

    Parameters
    ----------
    buckets : tuple of int
        The buckets that are listed in full.
    versions : tuple of ItemVersion
        The sender's versions in these buckets.
    """

    buckets: tuple[int, ...]
    versions: tuple[ItemVersion, ...]


class SyncRequest(NamedTuple):
    """Requests the items under some keys."""

    keys: tuple[ItemKey, ...]


class SyncItems(NamedTuple):
    """Items that the receiver lacks according to an anti-entropy exchange."""

    items: tuple[GossipItem, ...]


Message = (
    Hello
    | Challenge
    | Proof
    | Welcome
    | Heartbeat
    | Items
    | SyncDigests
    | SyncVersions
    | SyncRequest
    | SyncItems
)
