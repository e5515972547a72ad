"""Structured logs: one JSON object per line on standard error.

Messages begin with the component that logs them, as in ``routing: no replica``. The
formatter copies that prefix into the field ``part``, to filter logs by component.
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


class ComponentFormatter(JsonFormatter):
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
        """Add the component that logged the record, if its message names one."""
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
        Minimum level, a name of the `logging` module.
    stream : TextIO, optional
        Output of the lines; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(ComponentFormatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Twisted logs each connection at its level "info".
    logging.getLogger("twisted").setLevel(logging.WARNING)
    globalLogBeginner.beginLoggingTo([STDLibLogObserver()], redirectStandardIO=False)
