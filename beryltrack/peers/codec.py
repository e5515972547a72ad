"""Codec of the peer link's messages.

A message is a CBOR array: its code, then its fields in order. Decoding validates
each field and reports all errors as findings; it never raises, because the bytes
come from outside.
"""

from collections.abc import Callable
from typing import NamedTuple

import cbor2

from beryltrack.connections.budget_messages import (
    LoanGrant,
    LoanRecall,
    LoanRefusal,
    LoanRenewal,
    LoanRequest,
    LoanReturn,
)
from beryltrack.findings import Finding
from beryltrack.peers.forward_messages import (
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardOpen,
)
from beryltrack.peers.messages import (
    Challenge,
    GossipItem,
    Heartbeat,
    Hello,
    ItemKey,
    Items,
    ItemVersion,
    Message,
    Proof,
    SyncDigests,
    SyncItems,
    SyncRequest,
    SyncVersions,
    Welcome,
)

MAX_DEPTH = 32
"""Maximum nesting of CBOR values."""

MAX_NUMBER = 2**64 - 1

MAX_VERSION_LENGTH = 8
"""Maximum count of numbers in an item's version."""

PLAIN_TYPES = frozenset({bool, int, float, str, bytes})

Reader = Callable[[object], object]


class MessageSpec(NamedTuple):
    """Encoding of one type of message.

    Parameters
    ----------
    code : int
        The first element of the array.
    type : type
        The message's NamedTuple.
    readers : tuple of callable
        One for each field; converts the decoded CBOR value to the field's value,
        or raises ValueError.
    """

    code: int
    type: type
    readers: tuple[Reader, ...]


def read_text(value: object) -> str:
    """Return a text field; raise ValueError for any other value."""
    if not isinstance(value, str):
        raise ValueError("is not text")
    return value


def read_number(value: object) -> int:
    """Return an unsigned 64-bit integer; raise ValueError for any other value."""
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise ValueError("is not an unsigned 64-bit integer")
    return value


def read_seconds(value: object) -> float:
    """Return a duration in seconds; raise ValueError for any other value."""
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise ValueError("is not a finite, non-negative duration")
    return float(value)


def read_bytes(value: object) -> bytes:
    """Return a bytes field; raise ValueError for any other value."""
    if not isinstance(value, bytes):
        raise ValueError("is not a byte string")
    return value


def read_plain(value: object) -> object:
    """Return a value of plain types; its user validates what it means.

    Tagged CBOR values raise ValueError: they decode to objects that not every
    encoder accepts, so the item could not be passed on to other peers.
    """
    if isinstance(value, list):
        return [read_plain(element) for element in value]
    if isinstance(value, dict):
        return {read_text(key): read_plain(entry) for key, entry in value.items()}
    if value is not None and type(value) not in PLAIN_TYPES:
        raise ValueError("does not consist of numbers, text, bytes, lists and maps")
    return value


def read_version(value: object) -> tuple[int, ...]:
    """Return an item's version; raise ValueError for any other value."""
    if not isinstance(value, list) or not 0 < len(value) <= MAX_VERSION_LENGTH:
        raise ValueError("is not a version (a short list of numbers)")
    return tuple(read_number(number) for number in value)


def make_list_reader(read_element: Reader) -> Reader:
    """Return a reader of lists that reads each element with `read_element`."""

    def read_list(value: object) -> tuple:
        if not isinstance(value, list):
            raise ValueError("is not a list")
        return tuple(map(read_element, value))

    return read_list


def make_tuple_reader(kind: type, readers: tuple[Reader, ...]) -> Reader:
    """Return a reader of lists that hold the fields of the NamedTuple `kind`."""

    def read_tuple(value: object) -> object:
        if not isinstance(value, list) or len(value) != len(readers):
            raise ValueError(f"is not a list of {len(readers)} fields")
        return kind(*(read(field) for read, field in zip(readers, value, strict=True)))

    return read_tuple


read_items = make_list_reader(
    make_tuple_reader(GossipItem, (read_text, read_text, read_version, read_plain))
)
read_versions = make_list_reader(
    make_tuple_reader(ItemVersion, (read_text, read_text, read_version))
)
read_keys = make_list_reader(make_tuple_reader(ItemKey, (read_text, read_text)))
read_numbers = make_list_reader(read_number)

# A code is never reused for another message; see docs/notes/peers.md.
SPECS = (
    MessageSpec(
        1,
        Hello,
        (read_number, read_number, read_text, read_number, read_text, read_bytes),
    ),
    MessageSpec(
        2, Challenge, (read_number, read_text, read_number, read_bytes, read_bytes)
    ),
    MessageSpec(3, Proof, (read_bytes,)),
    MessageSpec(4, Heartbeat, (read_number,)),
    MessageSpec(5, Items, (read_items,)),
    MessageSpec(6, SyncDigests, (read_bytes,)),
    MessageSpec(7, SyncVersions, (read_numbers, read_versions)),
    MessageSpec(8, SyncRequest, (read_keys,)),
    MessageSpec(9, SyncItems, (read_items,)),
    MessageSpec(10, Welcome, (read_number,)),
    MessageSpec(20, LoanRequest, (read_text, read_number, read_number)),
    MessageSpec(
        21, LoanGrant, (read_text, read_number, read_number, read_number, read_seconds)
    ),
    MessageSpec(22, LoanRefusal, (read_text, read_number)),
    MessageSpec(23, LoanRenewal, (read_text, read_number, read_number, read_number)),
    MessageSpec(24, LoanReturn, (read_text, read_number, read_number)),
    MessageSpec(25, LoanRecall, (read_text, read_number, read_number)),
    MessageSpec(
        30,
        ForwardOpen,
        (read_number, read_text, read_seconds, read_number, read_bytes),
    ),
    MessageSpec(31, ForwardData, (read_number, read_bytes)),
    MessageSpec(32, ForwardCredit, (read_number, read_number)),
    MessageSpec(33, ForwardCancel, (read_number,)),
    MessageSpec(34, ForwardEnd, (read_number, read_number, read_text, read_bytes)),
)
SPECS_BY_CODE = {spec.code: spec for spec in SPECS}
CODES_BY_TYPE = {spec.type: spec.code for spec in SPECS}


def encode_message(message: Message) -> bytes:
    """Return the encoded bytes of a message.

    Parameters
    ----------
    message : Message
        Any message of the link.

    Returns
    -------
    bytes
        A CBOR array.
    """
    return cbor2.dumps((CODES_BY_TYPE[type(message)], *message))


def decode_message(data: bytes, source: str) -> tuple[Message | None, list[Finding]]:
    """Decode and validate a message.

    Parameters
    ----------
    data : bytes
        Payload of one frame.
    source : str
        Name of the peer, for the findings.

    Returns
    -------
    Message or None
        The message; None if it is malformed.
    list of Finding
        All errors, each with its place.
    """
    array, findings = _load_array(data, source)
    if array is None:
        return None, findings
    spec = SPECS_BY_CODE.get(array[0]) if type(array[0]) is int else None
    if spec is None:
        return None, [Finding(source, "/0", "the message has an unknown code")]
    # A newer peer may append fields; they are ignored.
    fields = array[1 : 1 + len(spec.readers)]
    if len(fields) < len(spec.readers):
        return None, [
            Finding(source, spec.type.__name__, "the message has too few fields")
        ]
    return _read_fields(spec, fields, source)


def _load_array(data: bytes, source: str) -> tuple[list | None, list[Finding]]:
    """Return the decoded array, or a finding."""
    try:
        array = cbor2.loads(data, max_depth=MAX_DEPTH)
    except Exception as error:  # Decoders of tagged values raise any type of error.
        return None, [Finding(source, "", f"the message is not valid CBOR: {error!r}")]
    if not isinstance(array, list) or not array:
        return None, [Finding(source, "", "the message is not a CBOR array")]
    return array, []


def _read_fields(
    spec: MessageSpec, fields: list, source: str
) -> tuple[Message | None, list[Finding]]:
    """Return the message with its validated fields, or all findings."""
    values, findings = [], []
    for name, read, field in zip(spec.type._fields, spec.readers, fields, strict=True):
        try:
            values.append(read(field))
        except ValueError as error:
            place = f"{spec.type.__name__}/{name}"
            findings.append(Finding(source, place, str(error)))
    return (None if findings else spec.type(*values)), findings
