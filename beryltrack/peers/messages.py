"""The messages of the peer link and the types that other slices share.

All of them are flat tuples of numbers, text and bytes, which the codec turns
into CBOR arrays. The types at the top are the ones that other slices use.
"""

from typing import NamedTuple

LISTED = "listed"
JOINED = "joined"
LEAVING = "leaving"
SUSPECTED = "suspected"
LEFT = "left"
DEAD = "dead"

# Within one incarnation a later state goes before an earlier one.
STATE_RANKS = {LISTED: 0, JOINED: 1, LEAVING: 2, SUSPECTED: 3, LEFT: 4, DEAD: 5}
PRESENT_STATES = frozenset({JOINED, LEAVING, SUSPECTED})
GONE_STATES = frozenset({LEFT, DEAD})

MEMBER_KIND = "member"

CONTROL = "control"
FORWARDING = "forwarding"
LOANS = "loans"

Version = tuple[int, ...]


class GossipItem(NamedTuple):
    """One fact that every proxy should know.

    Parameters
    ----------
    kind : str
        What the fact is about. Items whose kind is ``member`` or begins with
        ``member.`` have a member's name as key and go when it is forgotten.
    key : str
        Name of the thing, unique in its kind.
    version : tuple of int
        Order of the facts under one key; the highest wins. Two items of one
        version under one key must hold the same value.
    value : object
        Whatever CBOR carries: numbers, text, bytes, lists and maps of them.
    """

    kind: str
    key: str
    version: Version
    value: object


class ItemVersion(NamedTuple):
    """The version under which an item is known, without its value."""

    kind: str
    key: str
    version: Version


class ItemKey(NamedTuple):
    """The name of an item."""

    kind: str
    key: str


class Member(NamedTuple):
    """One proxy of the fleet, as this proxy knows it.

    Parameters
    ----------
    name : str
        Name of the instance.
    host : str
        IP number of its peer link.
    port : int
        TCP port of its peer link.
    zone : str
        Its availability zone.
    state : str
        `LISTED` (only the platform names it), `JOINED`, `LEAVING`,
        `SUSPECTED`, `LEFT` or `DEAD`.
    incarnation : int
        Raised by the member itself to refute a suspicion or after a restart.
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
        Oldest version of the protocol that it speaks.
    highest : int
        Newest version of the protocol that it speaks.
    name : str
        Name of the instance.
    incarnation : int
        Its incarnation.
    purpose : str
        `CONTROL`, `FORWARDING` or `LOANS`.
    nonce : bytes
        Random bytes that the other side's proof has to cover.
    """

    lowest: int
    highest: int
    name: str
    incarnation: int
    purpose: str
    nonce: bytes


class Challenge(NamedTuple):
    """Answer to `Hello`: the version chosen, the own name, nonce and proof."""

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
        Version of the protocol that both speak from now on.
    """

    version: int


class Heartbeat(NamedTuple):
    """Sign of life.

    Parameters
    ----------
    digest : int
        Digest of all that the sender knows; see `GossipStore.digest`.
    """

    digest: int


class Items(NamedTuple):
    """Items that have just changed."""

    items: tuple[GossipItem, ...]


class SyncDigests(NamedTuple):
    """Digests of all buckets, to find the buckets that differ."""

    digests: bytes


class SyncVersions(NamedTuple):
    """All versions in some buckets.

    Parameters
    ----------
    buckets : tuple of int
        The buckets that are listed in full.
    versions : tuple of ItemVersion
        What the sender knows in these buckets.
    """

    buckets: tuple[int, ...]
    versions: tuple[ItemVersion, ...]


class SyncRequest(NamedTuple):
    """Asks for the items under some keys."""

    keys: tuple[ItemKey, ...]


class SyncItems(NamedTuple):
    """Items that the receiver lacked when buckets were compared."""

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
