"""Messages and actions by which proxies pass requests on to a group's owners.

A forwarded request is a stream on a link of its own purpose. The side that
opened the stream numbers it, never uses a number twice on a link, and says by
credit how much of the answer it takes. Both sides of a link may open streams;
the types of the messages tell whose number is meant.
"""

import enum
from typing import NamedTuple


class ForwardOutcome(enum.IntEnum):
    """What is known of a forwarded request when its stream ends.

    NOT_RUN is said only if it provably did not run and never will, ROLLED_BACK
    only if it provably had no effect; UNKNOWN is everything else but ANSWERED.
    """

    ANSWERED = 1
    NOT_RUN = 2
    ROLLED_BACK = 3
    UNKNOWN = 4


class ForwardOpen(NamedTuple):
    """Asks an owner to run a request.

    Parameters
    ----------
    stream : int
        Number of the stream.
    group : str
        The database group.
    timeout : float
        Seconds within which the request has to reach a target.
    credit : int
        Bytes of the answer that may be sent before more credit is given.
    request : bytes
        The request, in the form that the requests slice knows.
    """

    stream: int
    group: str
    timeout: float
    credit: int
    request: bytes


class ForwardData(NamedTuple):
    """A part of the answer, in order."""

    stream: int
    data: bytes


class ForwardCredit(NamedTuple):
    """Allows so many more bytes of the answer."""

    stream: int
    credit: int


class ForwardCancel(NamedTuple):
    """Says that the caller wants no answer any more; the end still comes."""

    stream: int


class ForwardEnd(NamedTuple):
    """The end of a stream.

    Parameters
    ----------
    stream : int
        Number of the stream.
    outcome : int
        A `ForwardOutcome`.
    reason : str
        Why, if the request was not answered.
    trailer : bytes
        What goes with the answer, such as the new session token, in the form
        that the requests slice knows.
    """

    stream: int
    outcome: int
    reason: str
    trailer: bytes


ForwardMessage = ForwardOpen | ForwardData | ForwardCredit | ForwardCancel | ForwardEnd


class ForwardResult(NamedTuple):
    """What came of a forwarded request; see `ForwardEnd`."""

    outcome: ForwardOutcome
    reason: str = ""
    trailer: bytes = b""


class StreamKey(NamedTuple):
    """A stream that a peer opened.

    Parameters
    ----------
    peer : str
        Name of the peer.
    link : int
        Number of the link, as a restarted peer uses the same numbers of streams
        again on its next link.
    stream : int
        Number of the stream.
    """

    peer: str
    link: int
    stream: int


class SendForward(NamedTuple):
    """Send a message over the forwarding link to a peer."""

    peer: str
    message: ForwardMessage


class OpenForwardLink(NamedTuple):
    """Open a forwarding link to a peer."""

    peer: str


class BreakForwardLink(NamedTuple):
    """Break the forwarding link to a peer."""

    peer: str
    reason: str


class DeliverData(NamedTuple):
    """Hand a part of the answer to whoever forwarded the request."""

    stream: int
    data: bytes


class FinishStream(NamedTuple):
    """Tell whoever forwarded the request what came of it."""

    stream: int
    result: ForwardResult


class StartRequest(NamedTuple):
    """Run a request that a peer forwarded.

    Parameters
    ----------
    key : StreamKey
        Whose request it is.
    group : str
        The database group.
    deadline : float
        Time by which it has to reach a target, seconds.
    request : bytes
        The request.
    """

    key: StreamKey
    group: str
    deadline: float
    request: bytes


class CancelRequest(NamedTuple):
    """Cancel a request that a peer forwarded."""

    key: StreamKey


class ResumeRequest(NamedTuple):
    """Let a request go on that was held back because nobody took its answer."""

    key: StreamKey


ForwardAction = (
    SendForward
    | OpenForwardLink
    | BreakForwardLink
    | DeliverData
    | FinishStream
    | StartRequest
    | CancelRequest
    | ResumeRequest
)
