"""Size-bounded framing on top of pygwire's strategies and decoders.

pygwire takes any length up to one gigabyte from whoever connects. Here each
phase has a bound of its own, so that a stranger cannot make the proxy collect
bytes, and a length that is too small for its own field is refused.
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

# PostgreSQL accepts start-up packets of up to 10,000 bytes.
STARTUP_LIMIT = 10_000
# No message of an authentication exchange comes near this.
AUTHENTICATION_LIMIT = 10_000
# Decoded answers of a target (errors, parameters) stay far below this.
DECODED_ANSWER_LIMIT = 1 << 20

HEADER_SIZE = 5
LENGTH_SIZE = 4
# The least start-up packet: its length and the request code.
_STARTUP_MINIMUM = 8
_LENGTH = struct.Struct("!I")


class BoundedStartupFraming(StartupFraming):
    """Framing of start-up packets that refuses impossible lengths at once."""

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
        _check_length(buf, pos, _STARTUP_MINIMUM, self._max_message_size)
        return super().try_parse(buf, pos, phase, direction)


class BoundedStandardFraming(StandardFraming):
    """Framing of standard messages that refuses impossible lengths at once."""

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
    """Raise FramingError if the length field at `pos` is there but impossible."""
    if len(buf) - pos < LENGTH_SIZE:
        return
    (length,) = _LENGTH.unpack_from(buf, pos)
    if not minimum <= length <= limit:
        raise FramingError(f"length {length} is not between {minimum} and {limit}")


_STARTUP = BoundedStartupFraming(STARTUP_LIMIT)
_AUTHENTICATION = BoundedStandardFraming(AUTHENTICATION_LIMIT)
_ANSWER = BoundedStandardFraming(DECODED_ANSWER_LIMIT)


class _BoundedParsing:
    """The parsing step of pygwire's decoders with bounded strategies."""

    def _get_framing(self) -> FramingStrategy:
        """Return the bounded strategy of the present phase."""
        raise NotImplementedError

    def _parse(self) -> None:
        """Parse one message, as the overridden method does."""
        # The view is released at once also on errors: while it is exported,
        # the buffer could not take more bytes.
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
        """Return the bytes not yet decoded, and forget them."""
        rest = bytes(self._buf[self._pos :])
        self.clear()
        return rest


class BoundedFrontendDecoder(_BoundedParsing, FrontendMessageDecoder):
    """Decoder of what a caller sends until it is logged on."""

    def _get_framing(self) -> FramingStrategy:
        if self._phase is ConnectionPhase.STARTUP:
            return _STARTUP
        return _AUTHENTICATION


class BoundedBackendDecoder(_BoundedParsing, BackendMessageDecoder):
    """Decoder of what a target sends until the connection is ready."""

    def _get_framing(self) -> FramingStrategy:
        default = lookup_framing(self._phase, self._direction)
        return default if isinstance(default, NegotiationFraming) else _ANSWER
