"""Objects that could not be read: each is logged once, and all are counted."""

import logging
from collections import OrderedDict
from collections.abc import Iterable

from beryltrack.findings import Finding, format_finding

log = logging.getLogger(__name__)

MOST_KEPT = 512
"""Findings that are remembered, so that one that comes again is not logged again. A
store that holds more unreadable objects than that makes some lines more."""

MOST_TEXT = 300
"""Most characters of a logged finding, as its text may quote what it found."""


class RejectLog:
    """What is wrong with the objects of the store.

    One that lies there is found again with each list and each change: it says
    nothing new, and a line for each would fill the log.
    """

    def __init__(self):
        self._seen: OrderedDict[Finding, None] = OrderedDict()
        self._count = 0

    @property
    def count(self) -> int:
        """How many different findings there were."""
        return self._count

    def report(self, findings: Iterable[Finding]) -> None:
        """Log what was not logged lately."""
        for finding in findings:
            if finding in self._seen:
                self._seen.move_to_end(finding)
                continue
            self._seen[finding] = None
            self._count += 1
            text = format_finding(finding)[:MOST_TEXT]
            log.error("objects: Left out: %s", ascii(text)[1:-1])
        while len(self._seen) > MOST_KEPT:
            self._seen.popitem(last=False)
