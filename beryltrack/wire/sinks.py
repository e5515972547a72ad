"""A response sink that collects a short response in memory."""

from beryltrack.wire.messages import Producer


class CollectingSink:
    """Collects the frames of a short response; applies no back-pressure."""

    def __init__(self):
        self._parts: list[bytes] = []

    @property
    def frames(self) -> bytes:
        """The frames that were written so far."""
        return b"".join(self._parts)

    def write(self, data: bytes) -> None:
        """Collect frames."""
        self._parts.append(bytes(data))

    def attach(self, producer: Producer) -> None:
        """Ignore the producer: it is never paused, as responses are short."""

    def detach(self) -> None:
        """Do nothing: no producer is attached."""
