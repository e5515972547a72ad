"""Round trips of all messages; malformed bytes become findings."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltrack.peers.codec import decode_message, encode_message
from beryltrack.peers.messages import (
    Challenge,
    GossipItem,
    Heartbeat,
    Hello,
    ItemKey,
    Items,
    ItemVersion,
    Proof,
    SyncDigests,
    SyncItems,
    SyncRequest,
    SyncVersions,
    Welcome,
)

ITEM = GossipItem("k", "a", (1, 2), {"x": [1, b"y", None]})


@pytest.mark.parametrize(
    "message",
    [
        Hello(1, 2, "n", 7, "control", b"nonce"),
        Challenge(1, "n", 7, b"nonce", b"proof"),
        Proof(b"proof"),
        Welcome(1),
        Heartbeat(2**64 - 1),
        Items((ITEM,)),
        SyncItems((ITEM, ITEM)),
        SyncDigests(b"digests"),
        SyncVersions((1, 2), (ItemVersion("k", "a", (1,)),)),
        SyncRequest((ItemKey("k", "a"),)),
    ],
)
def test_each_message_round_trips(message):
    assert decode_message(encode_message(message), "p") == (message, [])


@pytest.mark.parametrize(
    "value",
    [
        5,
        [],
        [99, 1],
        ["x"],
        [4],
        [4, -1],
        [4, True],
        [5, [["k", "a", [], 0]]],
        [5, [["k", "a", [1]]]],
        [5, [["k", 3, [1], 0]]],
        [5, [["k", "a", [1], cbor2.CBORTag(35, "a+")]]],
        [5, [["k", "a", [1], {1: 2}]]],
        [8, "text"],
    ],
)
def test_invalid_messages_are_reported_as_findings(value):
    message, findings = decode_message(cbor2.dumps(value), "p")
    assert message is None
    assert findings[0].source == "p"


def test_all_field_errors_are_reported_together():
    _, findings = decode_message(cbor2.dumps([1, "a", "b", 3, 4, 5, 6]), "p")
    assert len(findings) == 5


def test_additional_fields_of_a_newer_version_are_ignored():
    assert decode_message(cbor2.dumps([4, 9, "new"]), "p") == (Heartbeat(9), [])


@settings(derandomize=True, database=None, max_examples=200)
@given(st.binary(max_size=40))
def test_decoding_never_raises(data):
    message, findings = decode_message(data, "p")
    assert (message is None) == bool(findings)
