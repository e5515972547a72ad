"""The owner's side of forwarding, without any I/O.

An owner runs what peers forward, sends no more of an answer than it was given
credit for, and ends each stream with what it knows of the request.
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
MAX_CREDIT_BYTES = 4 * 1024 * 1024


class _ServedRequest:
    """A request that runs here for a peer.

    Parameters
    ----------
    credit : int
        Bytes of the answer that the peer takes.
    """

    def __init__(self, credit: int):
        self.credit = credit
        self.pending = bytearray()
        self.is_cancelled = False
        self.result: ForwardResult | None = None


class _ServedLink(NamedTuple):
    """A link: its number, and the highest number of a stream on it."""

    number: int
    highest_stream: int


class ForwardServer:
    """The requests that peers have passed on to this proxy."""

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
        """Take no new requests; those that run are finished."""
        self._is_draining = True

    def handle_link_opened(self, peer: str) -> list[ForwardAction]:
        """Note a new link; the streams of an earlier one have ended with it."""
        actions = self.handle_link_closed(peer)
        self._links[peer] = _ServedLink(next(self._link_numbers), 0)
        return actions

    def handle_link_closed(self, peer: str) -> list[ForwardAction]:
        """Cancel the requests of a peer that is gone."""
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
        """Take a message of a peer that forwards.

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
        if served is None:  # It has ended while the message was on its way.
            return []
        match message:
            case ForwardCredit(_, credit):
                served.credit = min(MAX_CREDIT_BYTES, served.credit + credit)
                return self._send_pending(key, served)
            case ForwardCancel():
                return self._cancel(key, served)
        return []

    def write(self, key: StreamKey, data: bytes) -> list[ForwardAction]:
        """Take a part of an answer; it waits if there is no credit for it."""
        served = self._served.get(key)
        if served is None or served.is_cancelled or served.result is not None:
            return []
        served.pending += data
        # Whoever writes now is not waiting, so that nothing has to be resumed.
        actions = self._send_pending(key, served)
        return [item for item in actions if not isinstance(item, ResumeRequest)]

    def has_pending(self, key: StreamKey) -> bool:
        """Return whether a part of the answer waits, so that no more is wanted."""
        served = self._served.get(key)
        return served is not None and bool(served.pending)

    def finish(self, key: StreamKey, result: ForwardResult) -> list[ForwardAction]:
        """End a request; its end is sent after all of its answer."""
        served = self._served.get(key)
        if served is None or served.result is not None:
            return []
        served.result = result
        return self._send_pending(key, served)

    def set_blocked(self, peer: str, is_blocked: bool) -> list[ForwardAction]:
        """Note whether a link takes messages; send what waited if it does again."""
        if is_blocked:
            self._blocked.add(peer)
            return []
        self._blocked.discard(peer)
        waiting = [item for item in self._served.items() if item[0].peer == peer]
        return [a for key, served in waiting for a in self._send_pending(key, served)]

    def _start(
        self, key: StreamKey, message: ForwardOpen, now: float
    ) -> list[ForwardAction]:
        """Begin a request, or refuse it before anything of it has run."""
        link = self._links[key.peer]
        if key.stream <= link.highest_stream:
            return [BreakForwardLink(key.peer, "it used a stream's number again")]
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
        """Drop what is left of an answer that nobody takes, but not its end."""
        served.pending.clear()
        served.is_cancelled = True
        if served.result is not None:
            return self._send_pending(key, served)
        return [CancelRequest(key)]

    def _send_pending(
        self, key: StreamKey, served: _ServedRequest
    ) -> list[ForwardAction]:
        """Send as much of an answer as there is credit for, then its end."""
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
    """Return the end of a request of which nothing has run."""
    result = ForwardResult(ForwardOutcome.NOT_RUN, reason)
    return SendForward(key.peer, _make_end_message(key, result))
