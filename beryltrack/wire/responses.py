"""Incremental parser of a target's responses (PostgreSQL protocol, version 3).

This is the hot path of every row. Frames whose content the proxy does not use are
passed on as bytes, in runs as long as possible and also while they are incomplete,
so that neither a wide row nor a long result is buffered whole. Only the few frames
that affect a decision are decoded, by pygwire.
"""

import struct
from collections.abc import Callable

from pygwire.exceptions import FramingError, ProtocolError
from pygwire.messages import ErrorResponse, ParameterStatus

from beryltrack.errors import ERROR, SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.wire.framing import HEADER_SIZE, LENGTH_SIZE, MAX_DECODED_FRAME_SIZE
from beryltrack.wire.messages import Edit, ResponseEnd, TransactionStatus

MAX_PASSED_FRAME_SIZE = 1 << 30
"""Largest frame that is passed on, bytes; PostgreSQL sends none above 1 GiB."""

POSITION_PARAMETER = "beryltrack.position"
"""Parameter by which a target reports its applied position as ``TERM/OFFSET``."""
_POSITION_NAME = POSITION_PARAMETER.encode() + b"\x00"
_PROXY_PREFIX = "beryltrack."

_HEADER = struct.Struct("!BI")

_COMMAND_COMPLETE = ord("C")
_READY_FOR_QUERY = ord("Z")
_ERROR_RESPONSE = ord("E")
_PARAMETER_STATUS = ord("S")
_NOTICE_RESPONSE = ord("N")
_NOTIFICATION_RESPONSE = ord("A")
_COMPLETION_KINDS = frozenset(b"13")
# Row description, row, bind complete, no data, parameter description, empty
# query and portal suspended: no decision depends on their content.
_PASSED_KINDS = frozenset(b"TD2ntIs")
_COPY_KINDS = frozenset(b"GHWdc")

_STATUSES = {ord(status.value): status for status in TransactionStatus}

_PARSE_COMPLETE_FRAME = b"1\x00\x00\x00\x04"


class CopyStarted(ProtocolError):
    """Raised when a target begins a COPY, which the proxy does not support."""


def parse_position(text: str) -> LogPosition:
    """Return the position that a target reports as ``TERM/OFFSET``.

    Raises
    ------
    ProtocolError
        If the text is not of this form.
    """
    term, separator, offset = text.partition("/")
    if not (separator and term.isdecimal() and offset.isdecimal()):
        raise ProtocolError(f"position {text[:40]!r} is not TERM/OFFSET")
    return LogPosition(int(term), int(offset))


def decode_error(payload: memoryview) -> SqlError:
    """Return the error that an ErrorResponse carries."""
    fields = ErrorResponse.decode(payload).fields
    return SqlError(
        fields.get("C", "XX000"),
        fields.get("M", ""),
        fields.get("D", ""),
        fields.get("H", ""),
        fields.get("V") or fields.get("S", ERROR),
    )


class ResponseReader:
    """Parses the response to one request at a time; does no I/O itself.

    Call `start` for each request, then `feed` with the bytes that the target sends
    until it returns the `ResponseEnd`.
    """

    __slots__ = (
        "_buffer",
        "_passing_size",
        "_held_command",
        "_edits",
        "_error",
        "_error_frame",
        "_position",
        "_row_bytes",
        "_completed_count",
        "running",
    )

    def __init__(self):
        self._buffer = b""
        self._passing_size = 0
        self.running = False
        self.start(())
        self.running = False

    @property
    def has_buffered_bytes(self) -> bool:
        """True if bytes are buffered that are not processed yet."""
        return bool(self._buffer)

    def start(self, edits: tuple[Edit, ...]) -> None:
        """Expect the response to a new request.

        Parameters
        ----------
        edits : tuple of Edit
            What to do with each ParseComplete and CloseComplete, in order.
            Further ones are passed on.
        """
        self._held_command = b""
        self._edits = edits
        self._error = None
        self._error_frame = b""
        self._position = None
        self._row_bytes = 0
        self._completed_count = 0
        self.running = True

    def feed(self, data: bytes, write: Callable[[bytes], None]) -> ResponseEnd | None:
        """Pass on, hold back or decode each frame in the target's bytes.

        Parameters
        ----------
        data : bytes
            Bytes that the target sent.
        write : callable
            Called with the bytes that go to the caller.

        Returns
        -------
        ResponseEnd or None
            The end of the response; None if it is not complete yet.

        Raises
        ------
        ProtocolError
            If the bytes are not a valid response to the request. The connection
            must then be closed.
        """
        if self._passing_size and self._passing_size >= len(data):
            self._passing_size -= len(data)
            self._pass_on(data, write)
            return None
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        return self._feed_frames(data, write)

    def _feed_frames(
        self, data: bytes, write: Callable[[bytes], None]
    ) -> ResponseEnd | None:
        """Process frames; the remainder of a frame passed on in part may come first."""
        size = len(data)
        pos = self._passing_size
        self._passing_size = run_start = 0
        running = self.running
        while pos + HEADER_SIZE <= size:
            kind, length = _HEADER.unpack_from(data, pos)
            if kind in _PASSED_KINDS and running:
                if not LENGTH_SIZE <= length <= MAX_PASSED_FRAME_SIZE:
                    raise FramingError(f"frame length {length} is out of bounds")
                if self._held_command:
                    self._release_held_command(write)
                pos += 1 + length
                continue
            if not LENGTH_SIZE <= length <= MAX_DECODED_FRAME_SIZE:
                raise FramingError(f"frame length {length} is out of bounds")
            stop = pos + 1 + length
            if stop > size:
                break
            if kind in _COMPLETION_KINDS and self._count_completion():
                if self._held_command:
                    self._release_held_command(write)
                pos = stop
                continue
            if run_start < pos:
                self._pass_on(data[run_start:pos], write)
            if kind == _READY_FOR_QUERY:
                return self._finish(data, stop)
            self._handle_frame(kind, data[pos:stop], write)
            run_start = pos = stop
        if pos > size:
            self._passing_size = pos - size
            pos = size
        if run_start < pos:
            self._pass_on(data[run_start:pos], write)
        if pos < size:
            self._buffer = data[pos:]
        return None

    def _pass_on(self, data: bytes, write: Callable[[bytes], None]) -> None:
        """Pass on frames without decoding them."""
        self._row_bytes += len(data)
        write(data)

    def _release_held_command(self, write: Callable[[bytes], None]) -> None:
        """Pass on a CommandComplete that was not the last frame of its response."""
        command = self._held_command
        self._held_command = b""
        self._pass_on(command, write)

    def _handle_frame(
        self, kind: int, frame: bytes, write: Callable[[bytes], None]
    ) -> None:
        """Handle one frame that is not passed on undecoded."""
        if kind == _PARAMETER_STATUS:
            self._handle_parameter(frame, write)
        elif kind == _NOTICE_RESPONSE:
            if self.running:
                self._pass_on(frame, write)
        elif kind == _NOTIFICATION_RESPONSE:
            # LISTEN is not supported, so no caller expects notifications.
            pass
        elif not self.running:
            raise ProtocolError(f"frame {chr(kind)!r} outside of a response")
        elif kind == _COMMAND_COMPLETE:
            if self._held_command:
                self._release_held_command(write)
            self._held_command = frame
        elif kind == _ERROR_RESPONSE:
            self._handle_error(frame, write)
        elif kind in _COMPLETION_KINDS:
            self._edit_completion(write)
        elif kind in _COPY_KINDS:
            raise CopyStarted("the target began a COPY, which is not supported")
        else:
            raise ProtocolError(f"unexpected frame {chr(kind)!r} in a response")

    def _handle_parameter(self, frame: bytes, write: Callable[[bytes], None]) -> None:
        """Record the target's position; pass on PostgreSQL's own parameters."""
        if frame.startswith(_POSITION_NAME, HEADER_SIZE):
            value = frame[HEADER_SIZE + len(_POSITION_NAME) : -1]
            self._position = parse_position(value.decode("ascii", "replace"))
            return
        status = ParameterStatus.decode(memoryview(frame)[HEADER_SIZE:])
        if self.running and not status.name.startswith(_PROXY_PREFIX):
            self._pass_on(frame, write)

    def _handle_error(self, frame: bytes, write: Callable[[bytes], None]) -> None:
        """Hold back the first error, as the proxy may retry on another database."""
        if self._held_command:
            self._release_held_command(write)
        if self._error is None:
            self._error = decode_error(memoryview(frame)[HEADER_SIZE:])
            self._error_frame = frame

    def _count_completion(self) -> bool:
        """Count a completion that passes unchanged; return False for any other."""
        index = self._completed_count
        if not self.running:
            return False
        if index < len(self._edits) and self._edits[index] is not Edit.PASS:
            return False
        self._completed_count = index + 1
        return True

    def _edit_completion(self, write: Callable[[bytes], None]) -> None:
        """Apply to one ParseComplete or CloseComplete the edit given to `start`."""
        if self._held_command:
            self._release_held_command(write)
        edit = self._edits[self._completed_count]
        self._completed_count += 1
        if edit is Edit.AS_PARSE_COMPLETE:
            self._pass_on(_PARSE_COMPLETE_FRAME, write)

    def _finish(self, data: bytes, stop: int) -> ResponseEnd:
        """Return the end of the response at a ReadyForQuery that ends at `stop`."""
        if not self.running:
            raise ProtocolError("ReadyForQuery outside of a response")
        status = _STATUSES.get(data[stop - 1])
        if status is None:
            raise ProtocolError("ReadyForQuery with an unknown transaction status")
        self.running = False
        self._buffer = data[stop:]
        return ResponseEnd(
            status,
            self._held_command,
            self._error,
            self._error_frame,
            self._position,
            self._row_bytes,
            self._completed_count,
        )
