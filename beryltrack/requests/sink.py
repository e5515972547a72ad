"""Buffers the start of an answer between a target and a caller.

With its first bytes buffered, a run that fails early can be repeated without sending
parts of two answers, and a short answer is sent in one write. A longer answer is
streamed.
"""

import math

from beryltrack.wire.messages import Producer, ResponseSink

MAX_BUFFERED_BYTES = 32768
"""Size of the buffer, bytes, beyond which an answer is streamed."""


class AnswerSink:
    """Receives the frames of one answer and passes them to the caller.

    Parameters
    ----------
    caller : ResponseSink
        Receiver of the answer.
    max_buffered : int
        Size of the buffer, bytes.
    """

    def __init__(self, caller: ResponseSink, max_buffered: int = MAX_BUFFERED_BYTES):
        self._caller = caller
        self._max_buffered = max_buffered
        self._buffered: list[bytes] = []
        self._buffered_size = 0
        self._is_answered = False

    @property
    def is_answered(self) -> bool:
        """True if the caller has been sent a part of the answer."""
        return self._is_answered

    def buffer_all(self) -> None:
        """Buffer the whole answer, as it may have to be discarded."""
        self._max_buffered = math.inf

    def write(self, data: bytes) -> None:
        """Receive frames of the answer, in order."""
        if self._is_answered:
            self._caller.write(data)
            return
        self._buffered.append(bytes(data))
        self._buffered_size += len(data)
        if self._buffered_size > self._max_buffered:
            self.flush()

    def flush(self) -> None:
        """Send the buffered frames; later ones are streamed."""
        self._is_answered = True
        self._caller.write(self.take_buffered())

    def get_buffered(self) -> bytes:
        """Return the buffered frames without removing them."""
        return b"".join(self._buffered)

    def take_buffered(self) -> bytes:
        """Return and remove the buffered frames."""
        buffered = b"".join(self._buffered)
        self._buffered.clear()
        self._buffered_size = 0
        return buffered

    def attach(self, producer: Producer) -> None:
        """Let the caller's backpressure pause the target."""
        self._caller.attach(producer)

    def detach(self) -> None:
        """Remove the target, whose answer has ended."""
        self._caller.detach()
