"""Client side of forwarding: passes requests on to owners. Sans-I/O.

A request that has not been sent over a link provably did not run, and may go to the
next owner. After that only the owner's `ForwardEnd` states the outcome; if the link
is lost before that message arrives, the request ends with `UNKNOWN`.
"""

from itertools import count
from typing import NamedTuple

from beryltrack.peers.forward_messages import (
    BreakForwardLink,
    DeliverData,
    FinishStream,
    ForwardAction,
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardMessage,
    ForwardOpen,
    ForwardOutcome,
    ForwardResult,
    OpenForwardLink,
    SendForward,
)

CREDIT_WINDOW_BYTES = 256 * 1024
"""Flow-control window: bytes of one answer that an owner may send unconsumed."""

MAX_STREAMS_PER_PEER = 1024
MAX_WAITING_REQUESTS = 1024

KNOWN_OUTCOMES = frozenset(ForwardOutcome)


class _WaitingRequest(NamedTuple):
    """A request that waits for a link to an owner.

    Parameters
    ----------
    owners : tuple of str
        Owners to try, the current one first.
    group : str
        The database group.
    deadline : float
        Time by which it has to reach a target, seconds.
    request : bytes
        The request.
    """

    owners: tuple[str, ...]
    group: str
    deadline: float
    request: bytes


class _SentRequest:
    """A request that was sent over a link.

    Parameters
    ----------
    peer : str
        The owner.
    """

    def __init__(self, peer: str):
        self.peer = peer
        self.credit = CREDIT_WINDOW_BYTES
        self.consumed = 0


class ForwardClient:
    """The requests that this proxy has passed on to owners."""

    def __init__(self):
        self._numbers = count(1)
        self._waiting: dict[int, _WaitingRequest] = {}
        self._sent: dict[int, _SentRequest] = {}
        self._open_links: set[str] = set()
        self._opening_links: set[str] = set()
        self._blocked: set[str] = set()

    @property
    def stream_count(self) -> int:
        """The number of streams that have not ended."""
        return len(self._waiting) + len(self._sent)

    def forward(
        self,
        owners: tuple[str, ...],
        group: str,
        request: bytes,
        deadline: float,
        now: float,
    ) -> tuple[int, list[ForwardAction]]:
        """Pass a request on to the first owner that is reachable.

        Parameters
        ----------
        owners : tuple of str
            Owners of the group, in the order in which to try them.
        group : str
            The database group.
        request : bytes
            The request.
        deadline : float
            Time by which it has to reach a target, seconds.
        now : float
            The current time, seconds.

        Returns
        -------
        int
            Number of the stream.
        list of ForwardAction
            What to do; includes a `FinishStream` with `NOT_RUN` if the request
            cannot be sent.
        """
        stream = next(self._numbers)
        waiting = _WaitingRequest(owners, group, deadline, request)
        if len(self._waiting) >= MAX_WAITING_REQUESTS:
            return stream, [_refuse(stream, "too many requests wait for owners")]
        return stream, self._dispatch(stream, waiting, now)

    def handle_link_opened(self, peer: str, now: float) -> list[ForwardAction]:
        """Send the requests that wait for a link that is open now.

        If it replaces an earlier link, the streams of that link end.
        """
        actions = self._end_sent_requests(peer, "the link to the owner was replaced")
        self._opening_links.discard(peer)
        self._open_links.add(peer)
        self._blocked.discard(peer)
        return [*actions, *self._dispatch_waiting(peer, now)]

    def handle_connect_failure(self, peer: str, now: float) -> list[ForwardAction]:
        """Try the next owner for the requests that wait for a link that failed."""
        self._opening_links.discard(peer)
        waiting = self._list_waiting(peer)
        for stream, entry in waiting:
            self._waiting[stream] = entry._replace(owners=entry.owners[1:])
        return [
            action
            for stream, entry in waiting
            for action in self._dispatch(stream, self._waiting.pop(stream), now)
        ]

    def handle_link_closed(self, peer: str) -> list[ForwardAction]:
        """End the streams of a closed link; their requests may have run."""
        self._open_links.discard(peer)
        self._blocked.discard(peer)
        return self._end_sent_requests(peer, "the link to the owner was lost")

    def set_blocked(self, peer: str, is_blocked: bool) -> None:
        """Set whether a link is blocked; a blocked link gets no new request."""
        if is_blocked:
            self._blocked.add(peer)
        else:
            self._blocked.discard(peer)

    def handle_dead_peer(self, peer: str) -> list[ForwardAction]:
        """Break the link to a peer that membership reports as gone."""
        if peer not in self._open_links:
            return []
        return [BreakForwardLink(peer, "the owner has left or is dead")]

    def receive(self, peer: str, message: ForwardMessage) -> list[ForwardAction]:
        """Handle an owner's message; drop it if its stream has ended."""
        sent = self._sent.get(message.stream)
        if sent is None or sent.peer != peer:
            return []
        match message:
            case ForwardData(stream, data):
                sent.credit -= len(data)
                if sent.credit < 0:
                    return [
                        BreakForwardLink(peer, "the owner sent more than its credit")
                    ]
                return [DeliverData(stream, data)]
            case ForwardEnd(stream, outcome, reason, trailer):
                del self._sent[stream]
                # An outcome that only a newer version defines proves nothing.
                known = outcome in KNOWN_OUTCOMES
                meaning = ForwardOutcome(outcome if known else ForwardOutcome.UNKNOWN)
                return [FinishStream(stream, ForwardResult(meaning, reason, trailer))]
        return []

    def consume(self, stream: int, size: int) -> list[ForwardAction]:
        """Grant the owner credit for bytes of an answer that the caller was sent."""
        sent = self._sent.get(stream)
        if sent is None:
            return []
        sent.consumed += size
        if sent.consumed < CREDIT_WINDOW_BYTES // 2:
            return []
        credit, sent.consumed = sent.consumed, 0
        sent.credit += credit
        return [SendForward(sent.peer, ForwardCredit(stream, credit))]

    def cancel(self, stream: int) -> list[ForwardAction]:
        """Cancel a request; if it was sent, the owner still reports its outcome."""
        if self._waiting.pop(stream, None) is not None:
            return [_refuse(stream, "the request was cancelled")]
        sent = self._sent.get(stream)
        return [SendForward(sent.peer, ForwardCancel(stream))] if sent else []

    def tick(self, now: float) -> list[ForwardAction]:
        """Refuse the requests that could not be sent before their deadline."""
        late = [s for s, entry in self._waiting.items() if now >= entry.deadline]
        for stream in late:
            del self._waiting[stream]
        return [_refuse(stream, "no owner accepted it in time") for stream in late]

    def _dispatch(
        self, stream: int, entry: _WaitingRequest, now: float
    ) -> list[ForwardAction]:
        """Send a request, open a link for it, or refuse it."""
        if now >= entry.deadline:
            return [_refuse(stream, "no owner accepted it in time")]
        usable = [owner for owner in entry.owners if self._has_capacity(owner)]
        linked = [owner for owner in usable if owner in self._open_links]
        if linked:
            return [self._send(stream, linked[0], entry, now)]
        if not usable:
            return [_refuse(stream, "no owner of the group can be reached")]
        self._waiting[stream] = entry._replace(owners=tuple(usable))
        if usable[0] in self._opening_links:
            return []
        self._opening_links.add(usable[0])
        return [OpenForwardLink(usable[0])]

    def _has_capacity(self, peer: str) -> bool:
        """Return whether a peer may be sent one more stream."""
        streams = sum(sent.peer == peer for sent in self._sent.values())
        return peer not in self._blocked and streams < MAX_STREAMS_PER_PEER

    def _send(
        self, stream: int, peer: str, entry: _WaitingRequest, now: float
    ) -> ForwardAction:
        """Return the action that sends a request over a link."""
        self._sent[stream] = _SentRequest(peer)
        timeout = entry.deadline - now
        message = ForwardOpen(
            stream, entry.group, timeout, CREDIT_WINDOW_BYTES, entry.request
        )
        return SendForward(peer, message)

    def _dispatch_waiting(self, peer: str, now: float) -> list[ForwardAction]:
        """Dispatch again the requests that wait for a link to a peer."""
        return [
            action
            for stream, entry in self._list_waiting(peer)
            for action in self._dispatch(stream, self._waiting.pop(stream), now)
        ]

    def _list_waiting(self, peer: str) -> list[tuple[int, _WaitingRequest]]:
        """Return the requests that wait for a link to a peer."""
        return [
            (stream, entry)
            for stream, entry in self._waiting.items()
            if entry.owners[0] == peer
        ]

    def _end_sent_requests(self, peer: str, reason: str) -> list[ForwardAction]:
        """End the streams of a lost link with `UNKNOWN`."""
        lost = [stream for stream, sent in self._sent.items() if sent.peer == peer]
        for stream in lost:
            del self._sent[stream]
        result = ForwardResult(ForwardOutcome.UNKNOWN, reason)
        return [FinishStream(stream, result) for stream in lost]


def _refuse(stream: int, reason: str) -> FinishStream:
    """Return the `NOT_RUN` end of a request that was not sent."""
    return FinishStream(stream, ForwardResult(ForwardOutcome.NOT_RUN, reason))
