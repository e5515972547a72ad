"""Structured logs: one JSON object a line on standard error.

Messages begin with the part that wrote them, as in ``routing: no replica``. The
formatter puts that prefix into a field of its own, so that a search by part
needs no pattern.
"""

import logging
import re
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import STDLibLogObserver, globalLogBeginner

PREFIX = re.compile(r"^([a-z][a-z_-]*): ")
FIELDS = ("levelname", "name", "message")
RENAMED = {"levelname": "level", "name": "logger"}


class PartFormatter(JsonFormatter):
    """Writes a record as JSON with the field ``part``.

    Parameters
    ----------
    instance : str
        Name of the instance, written into each line.
    """

    def __init__(self, instance: str):
        super().__init__(
            FIELDS,
            rename_fields=RENAMED,
            static_fields={"instance": instance},
            timestamp=True,
        )

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Add the part that wrote the record, if its message names one."""
        match = PREFIX.match(str(log_data.get("message", "")))
        if match:
            log_data["part"] = match.group(1)
        return super().process_log_record(log_data)


def configure_logs(
    instance: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Send all logs of this process, Twisted's too, to one stream.

    Parameters
    ----------
    instance : str
        Name of the instance, written into each line.
    level : str
        Least level that is written, a name of the `logging` module.
    stream : TextIO, optional
        Where the lines go; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(PartFormatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Twisted logs each connection at its level "info"; that is noise here.
    logging.getLogger("twisted").setLevel(logging.WARNING)
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
