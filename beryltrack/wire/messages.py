"""Typed results of the framing, and the interface that answers are written to."""

from enum import Enum, auto
from typing import NamedTuple, Protocol

from beryltrack.errors import SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.samples import Sample


class TransactionStatus(Enum):
    """How a session's transaction stands after a unit."""

    IDLE = "I"
    """No transaction is open."""
    IN_TRANSACTION = "T"
    """A transaction is open."""
    ERROR_TRANSACTION = "E"
    """A transaction is open that failed and can only be rolled back."""

    # Members are singletons; the hash by name is slow on the path of a statement.
    __hash__ = object.__hash__


class Edit(Enum):
    """What to do with one ParseComplete or CloseComplete of a target.

    The proxy adds statements to a caller's batch and takes some away, so that
    the answers to Parse and Close have to be matched to what the caller sent.
    """

    PASS = auto()
    DROP = auto()
    AS_PARSE_COMPLETE = auto()


class ResponseEnd(NamedTuple):
    """How the answer of a target to one request ended.

    Parameters
    ----------
    status : TransactionStatus
        The transaction status that ReadyForQuery gave.
    tail : bytes
        The CommandComplete that came last, held back because it may
        acknowledge a commit; empty if the answer ended otherwise. The
        ReadyForQuery itself is never passed on.
    error : SqlError or None
        The first error of the answer.
    error_frame : bytes
        That error as it came; held back; empty if there was none.
    position : LogPosition or None
        The applied position that the target reported during this answer.
    row_bytes : int
        Bytes that were passed to the sink. Zero means that the caller has
        seen nothing of this answer.
    completed : int
        How many Parse and Close messages the target completed.
    proof : Sample or None
        A proven position of the primary that came with the answer, where it came
        from another instance.
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
    """A source of bytes that can be told to wait, as Twisted's push producers."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop producing until told otherwise."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Produce again."""


class ResponseSink(Protocol):
    """Where the frames of an answer go."""

    def write(self, data: bytes) -> None:
        """Take whole or partial frames, in order."""

    def attach(self, producer: Producer) -> None:
        """Pause and resume `producer` from now on, as the sink fills and drains."""

    def detach(self) -> None:
        """Forget the producer: its answer has ended."""
