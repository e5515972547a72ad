"""Size-bounded framing on top of pygwire's strategies and decoders.

pygwire accepts any length up to one gigabyte from any peer. Here each connection
phase has a bound of its own, so that an unauthenticated peer cannot make the proxy
buffer much, and a length that is too small for its own field is rejected.
"""

import struct

from pygwire import BackendMessageDecoder, ConnectionPhase, FrontendMessageDecoder
from pygwire.constants import MessageDirection
from pygwire.exceptions import FramingError
from pygwire.framing import (
    FramingStrategy,
    NegotiationFraming,
    StandardFraming,
    StartupFraming,
    lookup_framing,
)
from pygwire.messages import PGMessage

MAX_STARTUP_SIZE = 10_000
"""Largest start-up packet, bytes, as in PostgreSQL."""
MAX_AUTHENTICATION_SIZE = 10_000
"""Largest message of an authentication exchange, bytes; none comes near it."""
MAX_DECODED_FRAME_SIZE = 1 << 20
"""Largest frame of a target that is decoded (errors, parameters), bytes; these stay
far below it."""

HEADER_SIZE = 5
"""Type and length of a frame, bytes."""
LENGTH_SIZE = 4
"""Length field of a frame, bytes; it counts itself."""
# The shortest start-up packet, bytes: its length and the request code.
_MIN_STARTUP_LENGTH = 8
_LENGTH = struct.Struct("!I")


class BoundedStartupFraming(StartupFraming):
    """Framing of start-up packets that rejects invalid lengths at once."""

    def try_parse(
        self,
        buf: memoryview,
        pos: int,
        phase: ConnectionPhase,
        direction: MessageDirection,
    ) -> tuple[PGMessage, int] | None:
        """Return one packet and its size, or None until it is complete.

        Raises
        ------
        FramingError
            If the length is out of bounds or the packet is malformed.
        """
        _check_length(buf, pos, _MIN_STARTUP_LENGTH, self._max_message_size)
        return super().try_parse(buf, pos, phase, direction)


class BoundedStandardFraming(StandardFraming):
    """Framing of standard messages that rejects invalid lengths at once."""

    def try_parse(
        self,
        buf: memoryview,
        pos: int,
        phase: ConnectionPhase,
        direction: MessageDirection,
    ) -> tuple[PGMessage, int] | None:
        """Return one message and its size, or None until it is complete.

        Raises
        ------
        FramingError
            If the length is out of bounds or the message is malformed.
        """
        _check_length(buf, pos + 1, LENGTH_SIZE, self._max_message_size)
        return super().try_parse(buf, pos, phase, direction)


def _check_length(buf: memoryview, pos: int, minimum: int, limit: int) -> None:
    """Raise FramingError if the length field at `pos` is complete but invalid."""
    if len(buf) - pos < LENGTH_SIZE:
        return
    (length,) = _LENGTH.unpack_from(buf, pos)
    if not minimum <= length <= limit:
        raise FramingError(
            f"message length {length} is not between {minimum} and {limit}"
        )


_STARTUP = BoundedStartupFraming(MAX_STARTUP_SIZE)
_AUTHENTICATION = BoundedStandardFraming(MAX_AUTHENTICATION_SIZE)
_RESPONSE = BoundedStandardFraming(MAX_DECODED_FRAME_SIZE)


class _BoundedParsing:
    """Mixin that makes pygwire's decoders parse with bounded strategies."""

    def _get_framing(self) -> FramingStrategy:
        """Return the bounded strategy of the current phase."""
        raise NotImplementedError

    def _parse(self) -> None:
        """Parse one message, as the overridden method does."""
        # The view is released at once also on errors: while it is exported,
        # the buffer cannot be resized.
        with memoryview(self._buf) as view:
            result = self._get_framing().try_parse(
                view, self._pos, self._phase, self._direction
            )
        if result is None:
            return
        message, consumed = result
        self._pos += consumed
        self._messages.append(message)
        self._compact()

    def take_undecoded(self) -> bytes:
        """Remove and return the bytes that are not decoded yet."""
        rest = bytes(self._buf[self._pos :])
        self.clear()
        return rest


class BoundedFrontendDecoder(_BoundedParsing, FrontendMessageDecoder):
    """Decoder of a caller's messages until it is authenticated."""

    def _get_framing(self) -> FramingStrategy:
        if self._phase is ConnectionPhase.STARTUP:
            return _STARTUP
        return _AUTHENTICATION


class BoundedBackendDecoder(_BoundedParsing, BackendMessageDecoder):
    """Decoder of a target's messages until the connection is ready."""

    def _get_framing(self) -> FramingStrategy:
        default = lookup_framing(self._phase, self._direction)
        return default if isinstance(default, NegotiationFraming) else _RESPONSE
