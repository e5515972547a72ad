"""Flow control between a connection that answers come from and one that they go to.

Both wire protocols use it. The receiving connection tells its `SendBuffer` when its
transport is full or has drained; the buffer pauses the `PausableReader` that is
attached to it. An answer attaches the reader at its start and detaches it at its end,
whatever the end is, and a detached reader reads: its next answer has another receiver.
"""

from collections.abc import Callable

from beryltrack.wire.messages import Producer


class PausableReader:
    """Base of a connection that stops reading while its answer's receiver is full.

    `transport` is that of the connection, None before it is made. `broken` is True once
    it must not be used again.
    """

    transport: object
    broken: bool
    _is_paused = False

    @property
    def is_paused(self) -> bool:
        """True while the connection does not read."""
        return self._is_paused

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading until the receiver accepts data; see `Producer`."""
        self._is_paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue reading."""
        if self._is_paused and not self.broken:
            self._is_paused = False
            self.transport.resumeProducing()


class SendBuffer:
    """What a connection has not sent yet, and the reader that adds to it.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    stall_timeout : float
        Seconds for which the other side may leave it full.
    on_stalled : callable
        Called after that time.
    """

    def __init__(self, reactor, stall_timeout: float, on_stalled: Callable[[], object]):
        self._reactor = reactor
        self._stall_timeout = stall_timeout
        self._on_stalled = on_stalled
        self._producer: Producer | None = None
        self._is_full = False
        self._stall_call = None

    @property
    def is_full(self) -> bool:
        """True while it accepts no data."""
        return self._is_full

    def attach(self, producer: Producer) -> None:
        """Pause and resume `producer` from now on; see `ResponseSink`."""
        self._producer = producer
        if self._is_full:
            producer.pauseProducing()

    def detach(self) -> None:
        """Let the producer read, and leave it alone from now on."""
        producer, self._producer = self._producer, None
        if producer is not None and self._is_full:
            producer.resumeProducing()

    def fill(self) -> None:
        """Record that it accepts no data."""
        self._is_full = True
        if self._producer is not None:
            self._producer.pauseProducing()
        if self._stall_call is None:
            self._stall_call = self._reactor.callLater(
                self._stall_timeout, self._report_stall
            )

    def drain(self) -> None:
        """Record that it accepts data again, or that its connection is lost."""
        self._is_full = False
        call, self._stall_call = self._stall_call, None
        if call is not None:
            call.cancel()
        if self._producer is not None:
            self._producer.resumeProducing()

    def _report_stall(self) -> None:
        self._stall_call = None
        self._on_stalled()
