"""Responses to statements that the proxy answers itself, without a target.

Examples are ``SHOW beryltrack.session`` and ``SET beryltrack.max_age``. Their results
are encoded for the simple and for the extended protocol.
"""

from typing import NamedTuple

from pygwire.messages import (
    BindComplete,
    CloseComplete,
    CommandComplete,
    DataRow,
    FieldDescription,
    NoData,
    ParameterDescription,
    ParseComplete,
    RowDescription,
)

from beryltrack.callers.messages import (
    BindFrame,
    CloseFrame,
    DescribeFrame,
    ExecuteFrame,
    ExtendedRequest,
    Frame,
    ParseFrame,
)

_TEXT_TYPE = 25
_VARIABLE_SIZE = -1


class LocalResult(NamedTuple):
    """A result that the proxy produces; all columns are of type text.

    Parameters
    ----------
    tag : str
        The command tag, for example ``SET``.
    columns : tuple of str
        Column names; empty if the statement returns no rows.
    rows : tuple of tuple of str
        The rows.
    """

    tag: str
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[str, ...], ...] = ()


def encode_simple_response(result: LocalResult) -> bytes:
    """Encode the response to a simple query, without ReadyForQuery."""
    description = _encode_columns(result) if result.columns else b""
    return description + _encode_rows(result)


def encode_extended_response(request: ExtendedRequest, result: LocalResult) -> bytes:
    """Encode the response to a batch with one statement, without ReadyForQuery."""
    return b"".join(_encode_frame(frame, result) for frame in request.messages)


def _encode_frame(frame: Frame, result: LocalResult) -> bytes:
    """Encode the response to one frame of a batch."""
    match frame:
        case ParseFrame():
            return ParseComplete().to_wire()
        case BindFrame():
            return BindComplete().to_wire()
        case DescribeFrame(kind="S"):
            return ParameterDescription().to_wire() + _encode_description(result)
        case DescribeFrame():
            return _encode_description(result)
        case ExecuteFrame():
            return _encode_rows(result)
        case CloseFrame():
            return CloseComplete().to_wire()
        case _:
            return b""


def _encode_description(result: LocalResult) -> bytes:
    """Encode the RowDescription, or NoData if there are no columns."""
    return _encode_columns(result) if result.columns else NoData().to_wire()


def _encode_columns(result: LocalResult) -> bytes:
    """Encode the RowDescription."""
    fields = [
        FieldDescription(name, 0, 0, _TEXT_TYPE, _VARIABLE_SIZE, -1, 0)
        for name in result.columns
    ]
    return RowDescription(fields).to_wire()


def _encode_rows(result: LocalResult) -> bytes:
    """Encode the rows and the CommandComplete."""
    rows = (DataRow([value.encode() for value in row]) for row in result.rows)
    frames = [*rows, CommandComplete(result.tag)]
    return b"".join(frame.to_wire() for frame in frames)
