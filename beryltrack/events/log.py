"""Writes decisions about requests as lines of JSON, without blocking on the reader."""

import json
import os
import time
from collections.abc import Callable
from datetime import UTC, datetime

from beryltrack.events.budget import LineBudget
from beryltrack.events.messages import (
    OPTIONAL_FIELDS,
    RequestEvent,
    RequestStep,
    SharedDecision,
)

MAX_BUFFERED_BYTES = 65536
"""Maximum bytes that are buffered for a slow reader: the size of a pipe's own
buffer."""

SUMMARY_PERIOD = 1.0
"""Minimum seconds between two summaries of suppressed lines: the period whose summary
is lost if the process is killed."""

MAX_SHARED_IDS = 1000
"""Maximum identifiers in a summary, of about 17 bytes each: as many requests as an
instance can fail in a second."""

MAX_IDS_PER_LINE = 200
"""Maximum identifiers in one line, so that no line is longer than 4 KB."""

COMPONENT = "requests"
"""Value of the field ``part`` of each line."""


class NonBlockingStream:
    """A text stream that drops lines instead of blocking on its reader.

    Parameters
    ----------
    descriptor : int
        A file descriptor, which is set to non-blocking.

    Attributes
    ----------
    dropped : int
        Number of dropped writes.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write whole lines, or drop them if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor takes."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported.
                self.dropped += 1
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]


class EventLog:
    """Logs decisions within a line budget; see `RequestEvents`.

    Parameters
    ----------
    instance : str
        Name of this instance, written into each line.
    write : callable
        Writes one line, given with its newline.
    seconds : callable
        The instance's monotonic clock, for the budget.
    get_wall_time : callable
        Returns seconds since the epoch, for the timestamps.
    """

    def __init__(
        self,
        instance: str,
        write: Callable[[str], object],
        seconds: Callable[[], float],
        get_wall_time: Callable[[], float] = time.time,
    ):
        self._instance = instance
        self._write = write
        self._seconds = seconds
        self._get_wall_time = get_wall_time
        self._budget = LineBudget()
        self._summary_at = seconds() + SUMMARY_PERIOD
        self._shared: dict[SharedDecision, list[str]] = {}
        self._shared_count = 0

    def reserve_line(self, step: RequestStep) -> bool:
        """Reserve a line of the budget; return whether there was one left.

        Called before an event is built: building it is most of the cost of a served
        request's line, and only one such line per second is written.
        """
        now = self._seconds()
        if now >= self._summary_at:
            self._summary_at = now + SUMMARY_PERIOD
            self._summarize()
        return self._budget.take_token(step, now)

    def record(self, event: RequestEvent) -> None:
        """Log one decision, for which `reserve_line` has returned True."""
        fields = event._asdict()
        fields["step"] = event.step.value
        fields["elapsed_ms"] = round(event.elapsed_ms, 1)
        if event.confirmed_ms is not None:
            fields["confirmed_ms"] = round(event.confirmed_ms, 1)
        _remove_unknown(fields)
        self._write_line("INFO", fields)

    def record_shared(self, request: str, shared: SharedDecision) -> None:
        """Record a request's identifier for a line that it shares with others.

        Served requests are left out. Without shared lines 243 refusals of one instance
        in ten seconds were missing from the log.
        """
        if shared.step is RequestStep.SERVED or self._shared_count >= MAX_SHARED_IDS:
            return
        self._shared_count += 1
        self._shared.setdefault(shared, []).append(request)

    def _summarize(self) -> None:
        """Write the shared lines, and the number of suppressed lines by kind."""
        shared_decisions, self._shared, self._shared_count = self._shared, {}, 0
        for shared, requests in shared_decisions.items():
            fields = shared._asdict() | {"step": shared.step.value}
            _remove_unknown(fields)
            for start in range(0, len(requests), MAX_IDS_PER_LINE):
                chunk = requests[start : start + MAX_IDS_PER_LINE]
                self._write_line("INFO", fields | {"requests": chunk})
        suppressed = self._budget.take_suppressed()
        if suppressed:
            self._write_line("WARNING", {"step": "suppressed", "lines": suppressed})

    def _write_line(self, level: str, fields: dict[str, object]) -> None:
        """Write one line."""
        timestamp = datetime.fromtimestamp(self._get_wall_time(), UTC).isoformat()
        head = {"timestamp": timestamp, "level": level, "instance": self._instance}
        self._write(json.dumps(head | {"part": COMPONENT} | fields) + "\n")


def _remove_unknown(fields: dict[str, object]) -> None:
    """Remove the optional fields without a value; round the others."""
    for name in OPTIONAL_FIELDS:
        value = fields.get(name)
        if value is None or value == "":
            fields.pop(name, None)
        elif isinstance(value, float):
            fields[name] = round(value, 1)
