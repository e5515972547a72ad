"""Results of parsing a target's responses, and the interface that receives them."""

from enum import Enum, auto
from typing import NamedTuple, Protocol

from beryltrack.errors import SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.samples import Sample


class TransactionStatus(Enum):
    """State of a session's transaction, as ReadyForQuery reports it."""

    IDLE = "I"
    """No transaction is open."""
    IN_TRANSACTION = "T"
    """A transaction is open."""
    ERROR_TRANSACTION = "E"
    """A transaction has failed and can only be rolled back."""

    # Members are singletons; hashing by name is slow on the path of a statement.
    __hash__ = object.__hash__


class Edit(Enum):
    """What to do with one ParseComplete or CloseComplete of a target.

    The proxy adds Parse and Close messages to a caller's batch and omits others, so
    their responses have to be matched to what the caller sent.
    """

    PASS = auto()
    """Pass it on."""
    DROP = auto()
    """Drop it: the proxy added the message."""
    AS_PARSE_COMPLETE = auto()
    """Send ParseComplete instead."""


class ResponseEnd(NamedTuple):
    """How the response of a target to one request ended.

    Parameters
    ----------
    status : TransactionStatus
        The transaction status that ReadyForQuery gave.
    tail : bytes
        The last CommandComplete, held back because it may acknowledge a
        commit; empty if the response ended otherwise. The ReadyForQuery
        itself is never passed on.
    error : SqlError or None
        The first error of the response.
    error_frame : bytes
        The frame of that error, held back; empty if there was none.
    position : LogPosition or None
        The applied position that the target reported during this response.
    row_bytes : int
        Bytes that were passed to the sink. Zero means that the caller has
        received nothing of this response.
    completed : int
        Number of Parse and Close messages that the target completed.
    proof : Sample or None
        A proven position of the primary that another instance sent with its
        response.
    """

    status: TransactionStatus
    tail: bytes
    error: SqlError | None
    error_frame: bytes
    position: LogPosition | None
    row_bytes: int
    completed: int
    proof: Sample | None = None


class Producer(Protocol):
    """A source of bytes that can be paused, like Twisted's push producers."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop producing until resumed."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume producing."""


class ResponseSink(Protocol):
    """Receives the frames of a response."""

    def write(self, data: bytes) -> None:
        """Write whole or partial frames, in order."""

    def attach(self, producer: Producer) -> None:
        """Pause and resume `producer` from now on, as the sink fills and drains."""

    def detach(self) -> None:
        """Release the producer: its response has ended."""
