"""The answer on its way from a target to a caller.

The first bytes of an answer are held back, so that a run that fails early can
be repeated without the caller seeing parts of two answers, and so that a short
answer leaves in one piece. A longer answer streams through.
"""

import math

from beryltrack.wire.messages import Producer, ResponseSink

MAX_BUFFERED_BYTES = 32768
"""Most bytes that are held back before the answer begins to stream."""


class AnswerSink:
    """Takes the frames of one answer and passes them to the caller.

    Parameters
    ----------
    caller : ResponseSink
        Where the answer goes in the end.
    max_buffered : int
        Most bytes to hold back.
    """

    def __init__(self, caller: ResponseSink, max_buffered: int = MAX_BUFFERED_BYTES):
        self._caller = caller
        self._max_buffered = max_buffered
        self._buffered: list[bytes] = []
        self._buffered_size = 0
        self._is_answered = False

    @property
    def is_answered(self) -> bool:
        """True if a part of the answer has gone to the caller."""
        return self._is_answered

    def buffer_all(self) -> None:
        """Hold back the whole answer: whether it counts is not known yet."""
        self._max_buffered = math.inf

    def write(self, data: bytes) -> None:
        """Take frames of the answer, in order."""
        if self._is_answered:
            self._caller.write(data)
            return
        self._buffered.append(bytes(data))
        self._buffered_size += len(data)
        if self._buffered_size > self._max_buffered:
            self.flush()

    def flush(self) -> None:
        """Pass on what was held back; from now on the answer streams."""
        self._is_answered = True
        self._caller.write(self.take_buffered())

    def get_buffered(self) -> bytes:
        """Return what is held back, and go on holding it."""
        return b"".join(self._buffered)

    def take_buffered(self) -> bytes:
        """Return what was held back, and hold it no longer."""
        held = b"".join(self._buffered)
        self._buffered.clear()
        self._buffered_size = 0
        return held

    def attach(self, producer: Producer) -> None:
        """Let the caller's reading pace hold the target back."""
        self._caller.attach(producer)

    def detach(self) -> None:
        """Forget the target: its answer has ended."""
        self._caller.detach()
