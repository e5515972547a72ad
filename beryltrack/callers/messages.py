"""A caller's requests: frames of the extended protocol, and units of work.

A unit is the input that PostgreSQL answers with one ReadyForQuery. Frames keep the
bytes that they were decoded from, so that unchanged frames are forwarded as received.
"""

from typing import NamedTuple


class ParseFrame(NamedTuple):
    """Prepares a statement.

    Parameters
    ----------
    name : str
        Statement name chosen by the caller; empty for the unnamed statement.
    text : str
        The statement.
    types : tuple of int
        Type OIDs of its parameters, as far as they are given.
    wire : bytes
        The frame as received.
    """

    name: str
    text: str
    types: tuple[int, ...]
    wire: bytes


class BindFrame(NamedTuple):
    """Creates a portal from a statement and parameters.

    Parameters
    ----------
    portal : str
        Name of the portal; empty for the unnamed one.
    statement : str
        Name of the statement; empty for the unnamed one.
    values_offset : int
        Offset in `wire` at which the parameters begin, bytes.
    wire : bytes
        The frame as received.
    """

    portal: str
    statement: str
    values_offset: int
    wire: bytes


class DescribeFrame(NamedTuple):
    """Requests the columns of a statement (kind ``S``) or portal (kind ``P``)."""

    kind: str
    name: str
    wire: bytes


class ExecuteFrame(NamedTuple):
    """Runs a portal."""

    portal: str
    wire: bytes


class CloseFrame(NamedTuple):
    """Closes a statement (kind ``S``) or portal (kind ``P``)."""

    kind: str
    name: str
    wire: bytes


class SyncFrame(NamedTuple):
    """Ends a unit of the extended protocol."""

    wire: bytes


Frame = ParseFrame | BindFrame | DescribeFrame | ExecuteFrame | CloseFrame | SyncFrame


class SimpleRequest(NamedTuple):
    """A simple query.

    Parameters
    ----------
    text : str
        One or more statements.
    wire : bytes
        The frame as received.
    """

    text: str
    wire: bytes


class ExtendedRequest(NamedTuple):
    """A batch of the extended protocol.

    Parameters
    ----------
    messages : tuple of Frame
        All frames up to and including Sync.
    is_flushed : bool
        True if the caller sent Flush in place of the Sync: it expects the responses
        but no ReadyForQuery.
    """

    messages: tuple[Frame, ...]
    is_flushed: bool = False


class RefusedRequest(NamedTuple):
    """A unit that the proxy refuses to run; the connection stays usable.

    Parameters
    ----------
    message : str
        Message of the error that refuses it.
    """

    message: str


class TerminateRequest(NamedTuple):
    """The caller ends the connection. Having no fields, it is false as a boolean."""


Request = SimpleRequest | ExtendedRequest
Unit = Request | RefusedRequest | TerminateRequest
