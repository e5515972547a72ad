"""Answers that the proxy gives by itself, without a target.

``SET`` and ``SHOW`` of beryltrack's own settings never reach a target. The
frames are made for both forms of the protocol, as drivers use either.
"""

from collections.abc import Iterable

from pygwire.messages import (
    Bind,
    BindComplete,
    Close,
    CloseComplete,
    CommandComplete,
    DataRow,
    Describe,
    Execute,
    FieldDescription,
    NoData,
    ParameterDescription,
    Parse,
    ParseComplete,
    RowDescription,
)

TEXT_OID = 25
TEXT_SIZE = -1


def format_set_answer() -> bytes:
    """Return the frames that answer a ``SET``."""
    return CommandComplete(tag="SET").to_wire()


def format_show_answer(name: str, value: str) -> bytes:
    """Return the frames that answer a ``SHOW``, from its description on."""
    return _describe_text(name) + _format_row(value)


def format_extended_answer(messages: Iterable, name: str, value: str | None) -> bytes:
    """Return the frames that answer an extended request by the proxy itself.

    Parameters
    ----------
    messages : iterable of pygwire.messages.FrontendMessage
        The request's messages.
    name : str
        Column name of a ``SHOW``.
    value : str or None
        Value of a ``SHOW``; None for a ``SET``.

    Returns
    -------
    bytes
        The answer up to, without, ``ReadyForQuery``.
    """
    return b"".join(_answer_message(message, name, value) for message in messages)


def _answer_message(message, name: str, value: str | None) -> bytes:
    """Return the answer to one message."""
    if isinstance(message, Parse):
        return ParseComplete().to_wire()
    if isinstance(message, Bind):
        return BindComplete().to_wire()
    if isinstance(message, Close):
        return CloseComplete().to_wire()
    if isinstance(message, Describe):
        return _answer_describe(message, name, value)
    if isinstance(message, Execute):
        return format_set_answer() if value is None else _format_row(value)
    return b""


def _answer_describe(message: Describe, name: str, value: str | None) -> bytes:
    """Return the description of a statement or a portal."""
    parameters = ParameterDescription().to_wire() if message.kind == "S" else b""
    columns = NoData().to_wire() if value is None else _describe_text(name)
    return parameters + columns


def _describe_text(name: str) -> bytes:
    """Return the description of one text column."""
    column = FieldDescription(name=name, type_oid=TEXT_OID, type_size=TEXT_SIZE)
    return RowDescription(fields=[column]).to_wire()


def _format_row(value: str) -> bytes:
    """Return one row of one text column and its command tag."""
    row = DataRow(columns=[value.encode("utf-8")])
    return row.to_wire() + CommandComplete(tag="SHOW").to_wire()
