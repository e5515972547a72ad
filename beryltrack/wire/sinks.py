"""Sinks that keep short answers."""

from beryltrack.wire.messages import Producer


class CollectingSink:
    """Keeps the frames of a short answer."""

    def __init__(self):
        self._parts: list[bytes] = []

    @property
    def frames(self) -> bytes:
        """All frames so far."""
        return b"".join(self._parts)

    def write(self, data: bytes) -> None:
        """Keep frames."""
        self._parts.append(bytes(data))

    def attach(self, producer: Producer) -> None:
        """Take a producer; it is never paused, as the answers are short."""

    def detach(self) -> None:
        """Forget the producer."""
