"""Owner's side of forwarding: runs the requests of other proxies. Sans-I/O.

An owner sends no more of an answer than the peer has granted credit for, and ends
each stream with the outcome of its request.
"""

from itertools import count
from typing import NamedTuple

from beryltrack.peers.forward_messages import (
    BreakForwardLink,
    CancelRequest,
    ForwardAction,
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardMessage,
    ForwardOpen,
    ForwardOutcome,
    ForwardResult,
    ResumeRequest,
    SendForward,
    StartRequest,
    StreamKey,
)

MAX_SERVED_STREAMS = 4096

MAX_DATA_BYTES = 32 * 1024
"""Maximum part of an answer in one message."""

MAX_CREDIT_BYTES = 4 * 1024 * 1024
"""Maximum credit of one stream; grants of a peer above it are capped."""


class _ServedRequest:
    """A request that runs here for a peer.

    Parameters
    ----------
    credit : int
        Bytes of the answer that the peer accepts.
    """

    def __init__(self, credit: int):
        self.credit = credit
        self.pending = bytearray()
        self.is_cancelled = False
        self.result: ForwardResult | None = None


class _ServedLink(NamedTuple):
    """A link's number, and the highest stream number on it."""

    number: int
    highest_stream: int


class ForwardServer:
    """The requests that peers have forwarded to this proxy."""

    def __init__(self):
        self._served: dict[StreamKey, _ServedRequest] = {}
        self._links: dict[str, _ServedLink] = {}
        self._link_numbers = count(1)
        self._blocked: set[str] = set()
        self._is_draining = False

    @property
    def stream_count(self) -> int:
        """The number of streams that have not ended."""
        return len(self._served)

    def leave(self) -> None:
        """Refuse new requests; running ones are finished."""
        self._is_draining = True

    def handle_link_opened(self, peer: str) -> list[ForwardAction]:
        """Start to use a new link; cancel the requests of an earlier one."""
        actions = self.handle_link_closed(peer)
        self._links[peer] = _ServedLink(next(self._link_numbers), 0)
        return actions

    def handle_link_closed(self, peer: str) -> list[ForwardAction]:
        """Cancel the requests of a peer whose link has closed."""
        self._links.pop(peer, None)
        self._blocked.discard(peer)
        lost = [key for key in self._served if key.peer == peer]
        running = [key for key in lost if self._served[key].result is None]
        for key in lost:
            del self._served[key]
        return [CancelRequest(key) for key in running]

    def receive(
        self, peer: str, message: ForwardMessage, now: float
    ) -> list[ForwardAction]:
        """Handle a message of a forwarding peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        message : ForwardMessage
            `ForwardOpen`, `ForwardCredit` or `ForwardCancel`.
        now : float
            The current time, seconds.

        Returns
        -------
        list of ForwardAction
            What to do.
        """
        link = self._links.get(peer)
        if link is None:
            return []
        key = StreamKey(peer, link.number, message.stream)
        if isinstance(message, ForwardOpen):
            return self._start(key, message, now)
        served = self._served.get(key)
        if served is None:  # The stream ended while the message was in transit.
            return []
        match message:
            case ForwardCredit(_, credit):
                served.credit = min(MAX_CREDIT_BYTES, served.credit + credit)
                return self._send_pending(key, served)
            case ForwardCancel():
                return self._cancel(key, served)
        return []

    def write(self, key: StreamKey, data: bytes) -> list[ForwardAction]:
        """Send a part of an answer, or queue it until there is credit."""
        served = self._served.get(key)
        if served is None or served.is_cancelled or served.result is not None:
            return []
        served.pending += data
        # The handler is writing, so it is not waiting to be resumed.
        actions = self._send_pending(key, served)
        return [item for item in actions if not isinstance(item, ResumeRequest)]

    def has_pending(self, key: StreamKey) -> bool:
        """Return whether a part of the answer is queued (backpressure)."""
        served = self._served.get(key)
        return served is not None and bool(served.pending)

    def finish(self, key: StreamKey, result: ForwardResult) -> list[ForwardAction]:
        """End a request; `ForwardEnd` is sent after the whole answer."""
        served = self._served.get(key)
        if served is None or served.result is not None:
            return []
        served.result = result
        return self._send_pending(key, served)

    def set_blocked(self, peer: str, is_blocked: bool) -> list[ForwardAction]:
        """Set whether a link is blocked; once it is not, send what is queued."""
        if is_blocked:
            self._blocked.add(peer)
            return []
        self._blocked.discard(peer)
        waiting = [item for item in self._served.items() if item[0].peer == peer]
        return [a for key, served in waiting for a in self._send_pending(key, served)]

    def _start(
        self, key: StreamKey, message: ForwardOpen, now: float
    ) -> list[ForwardAction]:
        """Start a request, or refuse it before any of it has run."""
        link = self._links[key.peer]
        if key.stream <= link.highest_stream:
            return [BreakForwardLink(key.peer, "the peer reused a stream number")]
        self._links[key.peer] = link._replace(highest_stream=key.stream)
        if self._is_draining:
            return [_refuse(key, "the owner is leaving")]
        if len(self._served) >= MAX_SERVED_STREAMS:
            return [_refuse(key, "the owner is full")]
        if message.timeout <= 0.0:
            return [_refuse(key, "its time was over")]
        self._served[key] = _ServedRequest(min(MAX_CREDIT_BYTES, message.credit))
        deadline = now + message.timeout
        return [StartRequest(key, message.group, deadline, message.request)]

    def _cancel(self, key: StreamKey, served: _ServedRequest) -> list[ForwardAction]:
        """Drop the queued part of an answer, but not its `ForwardEnd`."""
        served.pending.clear()
        served.is_cancelled = True
        if served.result is not None:
            return self._send_pending(key, served)
        return [CancelRequest(key)]

    def _send_pending(
        self, key: StreamKey, served: _ServedRequest
    ) -> list[ForwardAction]:
        """Send as much of an answer as the credit allows, then its end."""
        if key.peer in self._blocked:
            return []
        was_waiting = bool(served.pending)
        actions: list[ForwardAction] = []
        while served.pending and served.credit > 0:
            size = min(MAX_DATA_BYTES, served.credit, len(served.pending))
            data = bytes(served.pending[:size])
            del served.pending[:size]
            served.credit -= size
            actions.append(SendForward(key.peer, ForwardData(key.stream, data)))
        if served.pending:
            return actions
        if served.result is not None:
            del self._served[key]
            return [
                *actions,
                SendForward(key.peer, _make_end_message(key, served.result)),
            ]
        return [*actions, ResumeRequest(key)] if was_waiting else actions


def _make_end_message(key: StreamKey, result: ForwardResult) -> ForwardEnd:
    """Return the message that ends a stream."""
    return ForwardEnd(key.stream, int(result.outcome), result.reason, result.trailer)


def _refuse(key: StreamKey, reason: str) -> SendForward:
    """Return the `NOT_RUN` end of a request that was not started."""
    result = ForwardResult(ForwardOutcome.NOT_RUN, reason)
    return SendForward(key.peer, _make_end_message(key, result))
