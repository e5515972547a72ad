"""An accrual detector, weighed against the fixed limit; see `detection`.

It learns for each database how long its silences usually are, and counts the
primary as lost after a silence that is so many standard deviations longer
than the mean. The product uses the fixed limit; docs/notes/failover.md says
why.
"""

import math
from collections import deque
from statistics import fmean, pstdev

from beryltrack.groups.view import DatabaseView

WINDOW = 100
MIN_SAMPLES = 20
# Limits outside these bounds, in seconds, are not believed.
MIN_TIMEOUT = 0.06
MAX_TIMEOUT = 1.0
# A silence has ended if the next answer tells of one that is so much shorter.
MIN_DROP = 0.002


class AccrualDetector:
    """Learns the limit from the silences that were seen.

    Parameters
    ----------
    deviations : float
        Standard deviations over the mean at which the primary counts as lost.
    first_limit : float
        Limit until enough was seen, seconds.
    """

    def __init__(self, deviations: float, first_limit: float):
        self._deviations = deviations
        self._first_limit = first_limit
        self._silences: dict[str, deque[float]] = {}
        self._last: dict[str, DatabaseView] = {}
        self._timeouts: dict[str, float] = {}

    def observe(self, database: DatabaseView) -> None:
        """Take in a new status; a silence counts when it has ended."""
        last = self._last.get(database.name)
        if last is not None and database.seen_at <= last.seen_at:
            return
        self._last[database.name] = database
        if last is not None and last.heard_age < math.inf:
            expected_age = last.heard_age + database.seen_at - last.seen_at
            if database.heard_age < expected_age - MIN_DROP:
                self._add_silence(database.name, last.heard_age)

    def _add_silence(self, name: str, silence: float) -> None:
        silences = self._silences.setdefault(name, deque(maxlen=WINDOW))
        silences.append(silence)
        if len(silences) >= MIN_SAMPLES:
            limit = fmean(silences) + self._deviations * pstdev(silences)
            self._timeouts[name] = min(max(limit, MIN_TIMEOUT), MAX_TIMEOUT)

    def get_timeout(self, database: str) -> float:
        """Return the seconds without a word after which the primary is lost."""
        return self._timeouts.get(database, self._first_limit)
