"""What a caller asks for: frames of the extended protocol, and units of work.

A unit is what PostgreSQL answers with one ReadyForQuery. The frames keep the
bytes they came in, so that what needs no change is sent on as it is.
"""

from typing import NamedTuple


class ParseFrame(NamedTuple):
    """Prepares a statement.

    Parameters
    ----------
    name : str
        The caller's name for it; empty for the unnamed statement.
    text : str
        The statement.
    types : tuple of int
        Type numbers of its parameters, as far as they are given.
    wire : bytes
        The frame as it came.
    """

    name: str
    text: str
    types: tuple[int, ...]
    wire: bytes


class BindFrame(NamedTuple):
    """Makes a portal of a statement and parameters.

    Parameters
    ----------
    portal : str
        Name of the portal; empty for the unnamed one.
    statement : str
        Name of the statement; empty for the unnamed one.
    values_offset : int
        Where in `wire` the parameters begin.
    wire : bytes
        The frame as it came.
    """

    portal: str
    statement: str
    values_offset: int
    wire: bytes


class DescribeFrame(NamedTuple):
    """Asks for the columns of a statement (kind ``S``) or portal (kind ``P``)."""

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
        The frame as it came.
    """

    text: str
    wire: bytes


class ExtendedRequest(NamedTuple):
    """A batch of the extended protocol.

    Parameters
    ----------
    messages : tuple of Frame
        All frames up to and with Sync.
    is_flushed : bool
        True if the caller sent Flush where the Sync stands: it wants the
        answers, but no ReadyForQuery.
    """

    messages: tuple[Frame, ...]
    is_flushed: bool = False


class RefusedRequest(NamedTuple):
    """Input that the proxy does not run, though the connection can go on.

    Parameters
    ----------
    message : str
        Why it is refused.
    """

    message: str


class TerminateRequest(NamedTuple):
    """The caller says good-bye. Having no fields, it counts as false."""


Request = SimpleRequest | ExtendedRequest
Unit = Request | RefusedRequest | TerminateRequest
