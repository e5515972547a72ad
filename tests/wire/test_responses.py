"""The parser of a target's responses."""

import pytest
from pygwire import messages as m
from pygwire.exceptions import ProtocolError

from beryltrack.groups.messages import LogPosition
from beryltrack.wire.messages import Edit, TransactionStatus
from beryltrack.wire.responses import CopyStarted, ResponseReader

ROW = m.DataRow([b"a" * 9]).to_wire()
COMPLETE = m.CommandComplete("SELECT 1").to_wire()
OTHER_COMPLETE = m.CommandComplete("INSERT 0 1").to_wire()
POSITION = m.ParameterStatus("beryltrack.position", "3/17").to_wire()
READY = m.ReadyForQuery().to_wire()
ERROR = m.ErrorResponse({"S": "ERROR", "C": "22012", "M": "zero"}).to_wire()
PARSED = m.ParseComplete().to_wire()
CLOSED = m.CloseComplete().to_wire()
NOTICE = m.NoticeResponse({"S": "NOTICE", "M": "note"}).to_wire()


def read(*parts, edits=()):
    """Feed the parts; return the `ResponseEnd` and the bytes that were passed on."""
    reader, passed = ResponseReader(), []
    reader.start(edits)
    ends = [reader.feed(part, passed.append) for part in parts]
    return next((end for end in ends if end), None), b"".join(passed)


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 11, 1000])
def test_parsing_does_not_depend_on_how_the_response_is_split(size):
    response = ROW + OTHER_COMPLETE + ROW + COMPLETE + NOTICE + POSITION + READY
    parts = [response[at : at + size] for at in range(0, len(response), size)]
    end, passed = read(*parts)
    assert passed == ROW + OTHER_COMPLETE + ROW + NOTICE
    assert end.tail == COMPLETE
    assert end.position == LogPosition(3, 17)
    assert end.row_bytes == len(passed)
    assert end.status is TransactionStatus.IDLE


def test_a_row_is_passed_on_before_it_is_complete():
    assert read(ROW[:9])[1] == ROW[:9]
    assert read(ROW[:9], ROW[9:12])[1] == ROW[:12]


def test_an_error_is_held_back():
    end, passed = read(ROW + ERROR + READY)
    assert (passed, end.error_frame) == (ROW, ERROR)
    assert end.error.sqlstate == "22012"


def test_a_completed_command_before_an_error_is_passed_on():
    end, passed = read(COMPLETE + ERROR + READY)
    assert passed == COMPLETE
    assert end.tail == b""


def test_completions_of_added_messages_are_edited():
    edits = (Edit.DROP, Edit.AS_PARSE_COMPLETE, Edit.PASS)
    end, passed = read(PARSED + CLOSED + CLOSED + PARSED + READY, edits=edits)
    assert passed == PARSED + CLOSED + PARSED
    assert end.completed == 4


def test_frames_outside_of_a_response_are_rejected():
    reader = ResponseReader()
    assert reader.feed(NOTICE + POSITION, print) is None
    for frame in (ROW, COMPLETE, READY, ERROR):
        with pytest.raises(ProtocolError):
            reader.feed(frame, print)


@pytest.mark.parametrize(
    "frame",
    [
        b"D\x00\x00\x00\x03",
        b"D\xff\xff\xff\xff",
        b"C\x7f\x00\x00\x00",
        b"\x00\x00\x00\x00\x08abcd",
        m.ReadyForQuery().to_wire()[:-1] + b"X",
        m.ParameterStatus("beryltrack.position", "x/1").to_wire(),
    ],
)
def test_malformed_responses_are_rejected(frame):
    with pytest.raises(ProtocolError):
        read(frame)


def test_a_copy_is_rejected():
    with pytest.raises(CopyStarted):
        read(m.CopyInResponse().to_wire())
