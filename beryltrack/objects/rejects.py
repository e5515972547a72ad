"""Log of invalid objects of the store: logs each finding once and counts them."""

import logging
from collections import OrderedDict
from collections.abc import Iterable

from beryltrack.findings import Finding, format_finding

log = logging.getLogger(__name__)

MAX_REMEMBERED = 512
"""Findings that are remembered, so that a repeated one is not logged again. A store
with more findings than that has some logged repeatedly."""

MAX_TEXT_LENGTH = 300
"""Characters of a finding that are logged and remembered, bounded as its text may quote
the invalid value."""


class RejectLog:
    """Logs findings about the store's objects, each distinct one once.

    An invalid object that stays in the store is found again with each list and each
    change; a line for each time would fill the log.
    """

    def __init__(self):
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._count = 0

    @property
    def count(self) -> int:
        """Number of distinct findings."""
        return self._count

    def report(self, findings: Iterable[Finding]) -> None:
        """Log and count the findings that are not remembered."""
        for finding in findings:
            text = format_finding(finding)[:MAX_TEXT_LENGTH]
            if text in self._seen:
                self._seen.move_to_end(text)
                continue
            self._seen[text] = None
            self._count += 1
            log.error(
                "objects: Ignored invalid data of the store: %s", ascii(text)[1:-1]
            )
        while len(self._seen) > MAX_REMEMBERED:
            self._seen.popitem(last=False)
