"""Reading the answers of a target, passing on as bytes what needs no look.

This is the hot path of every row. Frames that the proxy does not look into are
passed on in runs as long as possible, also while they are incomplete, so that
neither a wide row nor a long result is ever held whole. Only the few frames
that decide something are decoded, by pygwire.
"""

import struct
from collections.abc import Callable

from pygwire.exceptions import FramingError, ProtocolError
from pygwire.messages import ErrorResponse, ParameterStatus

from beryltrack.errors import ERROR, SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.wire.framing import DECODED_ANSWER_LIMIT, HEADER_SIZE, LENGTH_SIZE
from beryltrack.wire.messages import Edit, ResponseEnd, TransactionStatus

# The largest frame that is passed on; PostgreSQL makes none above 1 GiB.
PASSED_LIMIT = 1 << 30

POSITION_PARAMETER = "beryltrack.position"
_POSITION_NAME = POSITION_PARAMETER.encode() + b"\x00"
_OWN_PREFIX = "beryltrack."

_HEADER = struct.Struct("!BI")

_COMMAND_COMPLETE = ord("C")
_READY_FOR_QUERY = ord("Z")
_ERROR_RESPONSE = ord("E")
_PARAMETER_STATUS = ord("S")
_NOTICE_RESPONSE = ord("N")
_NOTIFICATION_RESPONSE = ord("A")
_COMPLETIONS = frozenset(b"13")
# Row description, row, bind complete, no data, parameter description, empty
# query and portal suspended: no decision hangs on what is in them.
_PASSED = frozenset(b"TD2ntIs")
_COPY = frozenset(b"GHWdc")

_STATUSES = {ord(status.value): status for status in TransactionStatus}

_PARSE_COMPLETE_FRAME = b"1\x00\x00\x00\x04"


class CopyStarted(ProtocolError):
    """Raised when a target begins a copy, which the proxy does not offer."""


def parse_position(text: str) -> LogPosition:
    """Return the position that a target reports as ``TERM/OFFSET``.

    Raises
    ------
    ProtocolError
        If the text has another form.
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
    """Reads the answer to one request at a time; sans-I/O.

    Call `start` for each request and `feed` with what the target sends, until
    it returns the `ResponseEnd`.
    """

    __slots__ = (
        "_rest",
        "_passing",
        "_held",
        "_edits",
        "_error",
        "_error_frame",
        "_position",
        "_row_bytes",
        "_completed",
        "running",
    )

    def __init__(self):
        self._rest = b""
        self._passing = 0
        self.running = False
        self.start(())
        self.running = False

    @property
    def has_buffered_bytes(self) -> bool:
        """True if bytes wait for what completes them."""
        return bool(self._rest)

    def start(self, edits: tuple[Edit, ...]) -> None:
        """Expect the answer to a new request.

        Parameters
        ----------
        edits : tuple of Edit
            What to do with each ParseComplete and CloseComplete, in order.
            Those beyond its end are passed on.
        """
        self._held = b""
        self._edits = edits
        self._error = None
        self._error_frame = b""
        self._position = None
        self._row_bytes = 0
        self._completed = 0
        self.running = True

    def feed(self, data: bytes, write: Callable[[bytes], None]) -> ResponseEnd | None:
        """Take bytes of the target; pass on, hold back or decode each frame.

        Parameters
        ----------
        data : bytes
            What the target sent.
        write : callable
            Takes the bytes that go to the caller.

        Returns
        -------
        ResponseEnd or None
            The end of the answer if it has come.

        Raises
        ------
        ProtocolError
            If the bytes are no answer to the request. The connection is of no
            use then.
        """
        if self._passing and self._passing >= len(data):
            self._passing -= len(data)
            self._pass_on(data, write)
            return None
        if self._rest:
            data = self._rest + data
            self._rest = b""
        return self._feed_frames(data, write)

    def _feed_frames(
        self, data: bytes, write: Callable[[bytes], None]
    ) -> ResponseEnd | None:
        """Go through frames; the rest of a passed frame may come first."""
        size = len(data)
        pos = self._passing
        self._passing = run_start = 0
        running = self.running
        while pos + HEADER_SIZE <= size:
            kind, length = _HEADER.unpack_from(data, pos)
            if kind in _PASSED and running:
                if not LENGTH_SIZE <= length <= PASSED_LIMIT:
                    raise FramingError(f"length {length} of a frame is out of bounds")
                if self._held:
                    self._release_held(write)
                pos += 1 + length
                continue
            if not LENGTH_SIZE <= length <= DECODED_ANSWER_LIMIT:
                raise FramingError(f"length {length} of a frame is out of bounds")
            stop = pos + 1 + length
            if stop > size:
                break
            if kind in _COMPLETIONS and self._count_completion():
                if self._held:
                    self._release_held(write)
                pos = stop
                continue
            if run_start < pos:
                self._pass_on(data[run_start:pos], write)
            if kind == _READY_FOR_QUERY:
                return self._end(data, stop)
            self._take(kind, data[pos:stop], write)
            run_start = pos = stop
        if pos > size:
            self._passing = pos - size
            pos = size
        if run_start < pos:
            self._pass_on(data[run_start:pos], write)
        if pos < size:
            self._rest = data[pos:]
        return None

    def _pass_on(self, data: bytes, write: Callable[[bytes], None]) -> None:
        """Pass on frames unseen."""
        self._row_bytes += len(data)
        write(data)

    def _release_held(self, write: Callable[[bytes], None]) -> None:
        """Pass on a CommandComplete that was not the last frame of its answer."""
        held = self._held
        self._held = b""
        self._pass_on(held, write)

    def _take(self, kind: int, frame: bytes, write: Callable[[bytes], None]) -> None:
        """Handle one frame that is not passed on unseen."""
        if kind == _PARAMETER_STATUS:
            self._take_parameter(frame, write)
        elif kind == _NOTICE_RESPONSE:
            if self.running:
                self._pass_on(frame, write)
        elif kind == _NOTIFICATION_RESPONSE:
            # LISTEN is not offered, so nobody waits for notifications.
            pass
        elif not self.running:
            raise ProtocolError(f"frame {chr(kind)!r} outside of an answer")
        elif kind == _COMMAND_COMPLETE:
            if self._held:
                self._release_held(write)
            self._held = frame
        elif kind == _ERROR_RESPONSE:
            self._take_error(frame, write)
        elif kind in _COMPLETIONS:
            self._edit_completion(write)
        elif kind in _COPY:
            raise CopyStarted("the target began a copy")
        else:
            raise ProtocolError(f"unexpected frame {chr(kind)!r}")

    def _take_parameter(self, frame: bytes, write: Callable[[bytes], None]) -> None:
        """Remember the target's position; pass on the usual parameters."""
        if frame.startswith(_POSITION_NAME, HEADER_SIZE):
            value = frame[HEADER_SIZE + len(_POSITION_NAME) : -1]
            self._position = parse_position(value.decode("ascii", "replace"))
            return
        status = ParameterStatus.decode(memoryview(frame)[HEADER_SIZE:])
        if self.running and not status.name.startswith(_OWN_PREFIX):
            self._pass_on(frame, write)

    def _take_error(self, frame: bytes, write: Callable[[bytes], None]) -> None:
        """Hold back the first error: the proxy may try again elsewhere."""
        if self._held:
            self._release_held(write)
        if self._error is None:
            self._error = decode_error(memoryview(frame)[HEADER_SIZE:])
            self._error_frame = frame

    def _count_completion(self) -> bool:
        """Count the answer to a Parse or Close; return whether it passes unseen."""
        index = self._completed
        if not self.running:
            return False
        if index < len(self._edits) and self._edits[index] is not Edit.PASS:
            return False
        self._completed = index + 1
        return True

    def _edit_completion(self, write: Callable[[bytes], None]) -> None:
        """Edit the answer to one Parse or Close as `start` was told."""
        if self._held:
            self._release_held(write)
        edit = self._edits[self._completed]
        self._completed += 1
        if edit is Edit.AS_PARSE_COMPLETE:
            self._pass_on(_PARSE_COMPLETE_FRAME, write)

    def _end(self, data: bytes, stop: int) -> ResponseEnd:
        """Return the end of the answer at a ReadyForQuery that ends at `stop`."""
        if not self.running:
            raise ProtocolError("ready for query outside of an answer")
        status = _STATUSES.get(data[stop - 1])
        if status is None:
            raise ProtocolError("unknown transaction status")
        self.running = False
        self._rest = data[stop:]
        return ResponseEnd(
            status,
            self._held,
            self._error,
            self._error_frame,
            self._position,
            self._row_bytes,
            self._completed,
        )
