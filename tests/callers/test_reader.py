"""Splitting a caller's input into units."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pygwire import messages as m
from pygwire.exceptions import ProtocolError

from beryltrack.callers.messages import (
    ExtendedRequest,
    RefusedRequest,
    SimpleRequest,
    TerminateRequest,
)
from beryltrack.callers.reader import BATCH_LIMIT, RequestReader

QUERY = m.Query("SELECT 1").to_wire()
BATCH = b"".join(
    x.to_wire()
    for x in (
        m.Parse("s", "SELECT $1", [25, 20]),
        m.Describe("S", "s"),
        m.Bind("p", "s", [1], [b"a\x00b", None], [0]),
        m.Execute("p", 5),
        m.Close("P", "p"),
        m.Sync(),
    )
)
INPUT = QUERY + BATCH + m.Flush().to_wire() + QUERY + m.Terminate().to_wire()


def read(data, size=1 << 20, reader=None):
    """Return all units of the input, fed in parts of `size` bytes."""
    reader = reader or RequestReader()
    units = []
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
        units.extend(iter(reader.read_unit, None))
    return units


@pytest.mark.parametrize("size", range(1, 20))
def test_input_cut_anywhere_gives_the_same_units(size):
    units = read(INPUT, size)
    kinds = [SimpleRequest, ExtendedRequest, SimpleRequest, TerminateRequest]
    assert [type(unit) for unit in units] == kinds
    assert b"".join(frame.wire for frame in units[1].messages) == BATCH
    parse, describe, bind, execute, close, _ = units[1].messages
    assert (parse.name, parse.text, parse.types) == ("s", "SELECT $1", (25, 20))
    assert (bind.portal, bind.statement, execute.portal) == ("p", "s", "p")
    assert (describe.kind, describe.name, close.kind) == ("S", "s", "P")


def test_the_function_call_protocol_is_refused():
    (unit,) = read(m.FunctionCall().to_wire())
    assert isinstance(unit, RefusedRequest)


def test_a_unit_may_not_outgrow_its_limit():
    reader = RequestReader(unit_limit=100)
    parse = m.Parse("", "x" * 40, []).to_wire()
    with pytest.raises(ProtocolError):
        read(parse * 3, reader=reader)


def test_a_batch_may_not_have_too_many_frames():
    with pytest.raises(ProtocolError):
        read(m.Execute("", 0).to_wire() * (BATCH_LIMIT + 1))


frames = st.one_of(
    st.sampled_from([QUERY, BATCH, INPUT]),
    st.binary(max_size=40),
    st.tuples(st.sampled_from(b"QPBDECSHXFdcfp!"), st.binary(max_size=30)).map(
        lambda pair: bytes([pair[0]]) + (len(pair[1]) + 4).to_bytes(4, "big") + pair[1]
    ),
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(frames, max_size=6).map(b"".join), st.integers(1, 50))
def test_any_input_gives_units_or_a_protocol_error(data, size):
    def attempt(part_size):
        try:
            return read(data, part_size)
        except ProtocolError as error:
            return str(error)

    assert attempt(size) == attempt(1 << 20)
