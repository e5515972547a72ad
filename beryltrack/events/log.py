"""Writes decisions as lines of JSON, without ever waiting for who reads them."""

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

MOST_HELD = 65536
"""Bytes that are held for a reader that is slow: the size of a pipe's own buffer."""

SUMMARY_PERIOD = 1.0
"""Least seconds between two rounds of lines that say what was left out: what is lost if
the process is killed."""

MOST_NOTED = 1000
"""Identifiers that such a round holds, of some 17 bytes each: as many requests as an
instance can fail in a second."""

IDS_A_LINE = 200
"""Identifiers in one line, so that none is longer than 4 KB."""

PART = "requests"


class NonBlockingStream:
    """A text stream that drops lines rather than wait for its reader.

    Parameters
    ----------
    descriptor : int
        A file descriptor, which is set to not block.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._held = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write whole lines, or drop them if too much is held already."""
        data = text.encode()
        if len(self._held) + len(data) > MOST_HELD:
            self.dropped += 1
        else:
            self._held += data
        self.flush()

    def flush(self) -> None:
        """Write what the reader has room for."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody can be told of it.
                self.dropped += 1
                self._held = b""
                return
            self._held = self._held[written:]


class EventLog:
    """Logs decisions within a budget; see `RequestEvents`.

    Parameters
    ----------
    instance : str
        Name of this instance, written into each line.
    write : callable
        Takes a whole line.
    seconds : callable
        The node's time, for the budget.
    get_wall : callable
        Seconds since the epoch, for the reader.
    """

    def __init__(
        self,
        instance: str,
        write: Callable[[str], object],
        seconds: Callable[[], float],
        get_wall: Callable[[], float] = time.time,
    ):
        self._instance = instance
        self._write = write
        self._seconds = seconds
        self._get_wall = get_wall
        self._budget = LineBudget()
        self._summary_at = seconds() + SUMMARY_PERIOD
        self._noted: dict[SharedDecision, list[str]] = {}
        self._noted_count = 0

    def reserve_line(self, step: RequestStep) -> bool:
        """Return whether the budget has room for a line; it is used up by that.

        Asked before an event is made: that costs most of a served request's line,
        of which one a second is written.
        """
        now = self._seconds()
        if now >= self._summary_at:
            self._summary_at = now + SUMMARY_PERIOD
            self._summarize()
        return self._budget.allows(step, now)

    def record(self, event: RequestEvent) -> None:
        """Log one decision, for which `reserve_line` has said so."""
        fields = event._asdict()
        fields["step"] = event.step.value
        fields["elapsed_ms"] = round(event.elapsed_ms, 1)
        if event.confirmed_ms is not None:
            fields["confirmed_ms"] = round(event.confirmed_ms, 1)
        _leave_out_unknown(fields)
        self._write_line("INFO", fields)

    def record_shared(self, request: str, shared: SharedDecision) -> None:
        """Keep the identifier of a request that shares a line with others.

        What was served is left out. Without this nothing was known of 243 refusals
        that one instance gave in ten seconds.
        """
        if shared.step is RequestStep.SERVED or self._noted_count >= MOST_NOTED:
            return
        self._noted_count += 1
        self._noted.setdefault(shared, []).append(request)

    def _summarize(self) -> None:
        """Say which requests had no line of their own, and how many lines that are."""
        noted, self._noted, self._noted_count = self._noted, {}, 0
        for shared, requests in noted.items():
            fields = shared._asdict() | {"step": shared.step.value}
            _leave_out_unknown(fields)
            for start in range(0, len(requests), IDS_A_LINE):
                part = requests[start : start + IDS_A_LINE]
                self._write_line("INFO", fields | {"requests": part})
        suppressed = self._budget.take_suppressed()
        if suppressed:
            self._write_line("WARNING", {"step": "suppressed", "lines": suppressed})

    def _write_line(self, level: str, fields: dict[str, object]) -> None:
        """Write one line."""
        moment = datetime.fromtimestamp(self._get_wall(), UTC).isoformat()
        head = {"timestamp": moment, "level": level, "instance": self._instance}
        self._write(json.dumps(head | {"part": PART} | fields) + "\n")


def _leave_out_unknown(fields: dict[str, object]) -> None:
    """Take out the optional fields of which nothing is known; round the others."""
    for name in OPTIONAL_FIELDS:
        value = fields.get(name)
        if value is None or value == "":
            fields.pop(name, None)
        elif isinstance(value, float):
            fields[name] = round(value, 1)
