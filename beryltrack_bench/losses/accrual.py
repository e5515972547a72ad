"""An accrual failure detector, compared with the fixed timeout in `detection`.

It records the silences between heartbeats of each database and counts the primary
as lost after a silence that exceeds their mean by a number of standard
deviations. The product uses the fixed timeout; docs/notes/failover.md says why.
"""

import math
from collections import deque
from statistics import fmean, pstdev

from beryltrack.groups.view import DatabaseView

WINDOW = 100
"""Silences that are kept for each database."""

MIN_SAMPLES = 20
"""Silences from which a timeout is computed."""

# Bounds of a computed timeout, seconds.
MIN_TIMEOUT = 0.06
MAX_TIMEOUT = 1.0
# A silence has ended if the next status reports one that is shorter by this many
# seconds than the silence would be by then.
MIN_DROP = 0.002


class AccrualDetector:
    """Computes each database's timeout from its observed silences.

    Parameters
    ----------
    deviations : float
        Standard deviations above the mean at which the primary counts as lost.
    first_limit : float
        Timeout until `MIN_SAMPLES` silences are known, seconds.
    """

    def __init__(self, deviations: float, first_limit: float):
        self._deviations = deviations
        self._first_limit = first_limit
        self._silences: dict[str, deque[float]] = {}
        self._last: dict[str, DatabaseView] = {}
        self._timeouts: dict[str, float] = {}

    def observe(self, database: DatabaseView) -> None:
        """Record a new status; a silence counts when it has ended."""
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
        """Return the silence after which a database counts as lost, seconds."""
        return self._timeouts.get(database, self._first_limit)
