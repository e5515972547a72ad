"""Messages and actions by which proxies pass requests on to a group's owners.

A forwarded request is a stream on a link of the purpose `FORWARDING`. The side that
opens the stream numbers it, never reuses a number on a link, and limits the answer
by credit (flow control). Both sides of a link may open streams; the type of a
message tells which side's number it holds.
"""

import enum
from typing import NamedTuple


class ForwardOutcome(enum.IntEnum):
    """Outcome of a forwarded request when its stream ends.

    NOT_RUN means that it provably did not run and never will, ROLLED_BACK that it
    provably had no effect. UNKNOWN is every other outcome except ANSWERED.
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
        The request, in the format of `beryltrack.requests`.
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
    """Allows the owner to send `credit` more bytes of the answer."""

    stream: int
    credit: int


class ForwardCancel(NamedTuple):
    """Cancels a request; its `ForwardEnd` still follows."""

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
        Cause, if the request was not answered.
    trailer : bytes
        Data that goes with the answer, such as the new session token, in the
        format of `beryltrack.requests`.
    """

    stream: int
    outcome: int
    reason: str
    trailer: bytes


ForwardMessage = ForwardOpen | ForwardData | ForwardCredit | ForwardCancel | ForwardEnd


class ForwardResult(NamedTuple):
    """Result of a forwarded request; see `ForwardEnd`."""

    outcome: ForwardOutcome
    reason: str = ""
    trailer: bytes = b""


class StreamKey(NamedTuple):
    """Identifies a stream that a peer opened.

    Parameters
    ----------
    peer : str
        Name of the peer.
    link : int
        Number of the link: a restarted peer reuses stream numbers on its next
        link.
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
    """Deliver a part of the answer to the sink of the request."""

    stream: int
    data: bytes


class FinishStream(NamedTuple):
    """Report the result of a request to its sink."""

    stream: int
    result: ForwardResult


class StartRequest(NamedTuple):
    """Run a request that a peer forwarded.

    Parameters
    ----------
    key : StreamKey
        The stream of the request.
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
    """Resume a request that was paused because its answer lacked credit."""

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
