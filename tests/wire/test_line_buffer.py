"""A stream of bytes is split into lines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beryltrack.wire.line_buffer import MAX_LINE_SIZE, LineBuffer, MalformedMessage


@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=8))
def test_lines_do_not_depend_on_how_the_bytes_are_split(data, cuts):
    whole = LineBuffer().feed(data)
    buffer, found = LineBuffer(), []
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, stop in zip(places, places[1:], strict=False):
        found += buffer.feed(data[start:stop])
    assert found == whole


def test_a_line_without_an_end_is_rejected():
    buffer = LineBuffer()
    with pytest.raises(MalformedMessage):
        for _ in range(3):
            buffer.feed(b"x" * (MAX_LINE_SIZE // 2))
