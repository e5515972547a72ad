"""Splitting the input of a logged-on caller into units (sans-I/O).

Frames are split off by their length field. Only names and statement texts are decoded;
the parameters of a Bind stay bytes.
"""

import struct
from collections.abc import Callable
from functools import lru_cache

from pygwire.exceptions import DecodingError, FramingError
from pygwire.messages import Close, Describe, Parse, Sync

from beryltrack.callers.messages import (
    BindFrame,
    CloseFrame,
    DescribeFrame,
    ExecuteFrame,
    ExtendedRequest,
    Frame,
    ParseFrame,
    RefusedRequest,
    SimpleRequest,
    SyncFrame,
    TerminateRequest,
    Unit,
)
from beryltrack.wire.framing import HEADER_SIZE, LENGTH_SIZE

# Maximum bytes of one unit; a larger one closes the connection.
UNIT_LIMIT = 16 << 20

# Maximum number of frames in one batch.
BATCH_LIMIT = 10_000

# Decoded frames that are cached of each kind, and the maximum length of a cached frame
# in bytes.
_CACHED_FRAMES = 1024
_MAX_CACHED_LENGTH = 1024

_HEADER = struct.Struct("!BI")
_SYNC_FRAME = SyncFrame(Sync().to_wire())

_QUERY = ord("Q")
_SYNC = ord("S")
_FLUSH = ord("H")
_TERMINATE = ord("X")
_FUNCTION_CALL = ord("F")
_COPY_FRAMES = frozenset(b"dcf")

FUNCTION_CALL_UNSUPPORTED = "the function call protocol is not supported; use SELECT"


class RequestReader:
    """Splits a caller's input into units.

    Parameters
    ----------
    unit_limit : int
        Maximum bytes of one unit.
    """

    __slots__ = (
        "_buffer",
        "_frames",
        "_batch_size",
        "_skipping",
        "_flush_pending",
        "_unit_limit",
    )

    def __init__(self, unit_limit: int = UNIT_LIMIT):
        self._buffer = bytearray()
        self._frames: list[Frame] = []
        self._batch_size = 0
        self._skipping = False
        self._flush_pending = False
        self._unit_limit = unit_limit

    @property
    def buffered(self) -> int:
        """Number of received bytes that are not yet part of a unit."""
        return len(self._buffer) + self._batch_size

    @property
    def is_flush_pending(self) -> bool:
        """True if the caller may be waiting for responses to an unfinished batch."""
        return self._flush_pending

    @property
    def has_portals(self) -> bool:
        """True if the unfinished batch creates or runs portals."""
        return any(isinstance(x, BindFrame | ExecuteFrame) for x in self._frames)

    def end_batch(self, is_flushed: bool) -> ExtendedRequest:
        """Return the collected batch as a unit, at a Sync or a Flush."""
        request = ExtendedRequest((*self._frames, _SYNC_FRAME), is_flushed)
        self._clear_batch()
        return request

    def drop_batch(self) -> None:
        """Drop the unfinished batch and all input up to its Sync."""
        self._clear_batch()
        self.skip_to_sync()

    def skip_to_sync(self) -> None:
        """Drop input up to the next Sync, as PostgreSQL does after an error."""
        self._skipping = True

    def feed(self, data: bytes) -> None:
        """Buffer bytes received from the caller."""
        self._buffer += data

    def read_unit(self) -> Unit | None:
        """Return the next unit, or None until it is complete.

        Raises
        ------
        ProtocolError
            If the input is malformed or too large. The connection must then be
            closed.
        """
        buffer = self._buffer
        size = len(buffer)
        pos = 0
        unit = None
        while unit is None and size - pos >= HEADER_SIZE:
            kind, length = _HEADER.unpack_from(buffer, pos)
            if not LENGTH_SIZE <= length <= self._unit_limit - self._batch_size:
                raise FramingError(f"length {length} of a message is out of bounds")
            stop = pos + 1 + length
            if size < stop:
                break
            wire = bytes(buffer[pos:stop])
            pos = stop
            decoders = _CACHED_DECODERS if length <= _MAX_CACHED_LENGTH else _DECODERS
            if kind in decoders and not self._skipping:
                if len(self._frames) >= BATCH_LIMIT:
                    raise FramingError(f"more than {BATCH_LIMIT} messages in a batch")
                self._frames.append(decoders[kind](wire))
                self._flush_pending = False
                self._batch_size += 1 + length
            else:
                unit = self._handle_frame(kind, wire)
        if pos:
            del buffer[:pos]
        return unit

    def _handle_frame(self, kind: int, wire: bytes) -> Unit | None:
        """Handle a frame that is not part of a batch; return the unit it ends."""
        if self._skipping:
            return self._skip_frame(kind)
        if kind == _QUERY:
            self._check_no_batch()
            return SimpleRequest(_decode_text(wire, HEADER_SIZE), wire)
        if kind == _SYNC:
            return self.end_batch(False)
        return self._handle_other_frame(kind)

    def _handle_other_frame(self, kind: int) -> Unit | None:
        """Handle a frame that is neither a query nor part of a batch."""
        if kind == _TERMINATE:
            return TerminateRequest()
        if kind == _FLUSH:
            self._flush_pending = bool(self._frames)
            return None
        if kind == _FUNCTION_CALL:
            self._check_no_batch()
            return RefusedRequest(FUNCTION_CALL_UNSUPPORTED)
        if kind in _COPY_FRAMES:
            # Like PostgreSQL, ignore the remaining data of a failed COPY.
            return None
        raise FramingError(f"unknown message {chr(kind)!r}")

    def _skip_frame(self, kind: int) -> Unit | None:
        """Drop a frame; the Sync that ends skipping becomes an empty unit."""
        if kind == _TERMINATE:
            return TerminateRequest()
        if kind != _SYNC:
            return None
        self._skipping = False
        return ExtendedRequest((_SYNC_FRAME,))

    def _clear_batch(self) -> None:
        """Start a new batch."""
        self._frames = []
        self._batch_size = 0
        self._flush_pending = False

    def _check_no_batch(self) -> None:
        """Raise if an unfinished batch precedes a simple query or function call."""
        if self._frames:
            raise FramingError("a batch must end with Sync before a simple query")


def _get_payload(wire: bytes) -> memoryview:
    """Return the payload of a frame."""
    return memoryview(wire)[HEADER_SIZE:]


def _decode_parse(wire: bytes) -> ParseFrame:
    """Decode a Parse."""
    try:
        message = Parse.decode(_get_payload(wire))
    except struct.error as error:
        raise DecodingError("Parse is truncated") from error
    types = tuple(message.param_types)
    return ParseFrame(message.statement, message.query, types, wire)


def _decode_bind(wire: bytes) -> BindFrame:
    """Decode the names of a Bind."""
    portal_end = wire.find(b"\x00", HEADER_SIZE)
    portal = _decode_text(wire, HEADER_SIZE) if portal_end != HEADER_SIZE else ""
    statement = _decode_text(wire, portal_end + 1)
    values_offset = wire.find(b"\x00", portal_end + 1) + 1
    return BindFrame(portal, statement, values_offset, wire)


def _decode_describe(wire: bytes) -> DescribeFrame:
    """Decode a Describe."""
    _check_kind(wire)
    message = Describe.decode(_get_payload(wire))
    return DescribeFrame(message.kind, message.name, wire)


def _decode_execute(wire: bytes) -> ExecuteFrame:
    """Decode the name in an Execute."""
    return ExecuteFrame(_decode_text(wire, HEADER_SIZE), wire)


def _decode_close(wire: bytes) -> CloseFrame:
    """Decode a Close."""
    _check_kind(wire)
    message = Close.decode(_get_payload(wire))
    return CloseFrame(message.kind, message.name, wire)


def _check_kind(wire: bytes) -> None:
    """Raise if a Describe or Close names neither a statement nor a portal."""
    if wire[HEADER_SIZE : HEADER_SIZE + 1] not in (b"S", b"P"):
        raise DecodingError("Describe or Close names neither a statement nor a portal")


def _decode_text(wire: bytes, start: int) -> str:
    """Decode the zero-terminated string that begins at `start`."""
    end = wire.find(b"\x00", start)
    if end < 0:
        raise DecodingError("unterminated string")
    try:
        return wire[start:end].decode()
    except UnicodeDecodeError as error:
        raise DecodingError("string is not UTF-8") from error


_DECODERS: dict[int, Callable[[bytes], Frame]] = {
    ord("P"): _decode_parse,
    ord("B"): _decode_bind,
    ord("D"): _decode_describe,
    ord("E"): _decode_execute,
    ord("C"): _decode_close,
}
# Drivers often repeat the same short frames, but seldom with the same parameters.
_CACHED_DECODERS = {
    kind: decode if decode is _decode_bind else lru_cache(_CACHED_FRAMES)(decode)
    for kind, decode in _DECODERS.items()
}
