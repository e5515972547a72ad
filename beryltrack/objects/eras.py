"""Eras of the store: an era is the number of times it was restored from a backup.

A store that is restored from a backup loses the writes since then and assigns their
revisions again. So a revision alone orders nothing, and an equal one may belong to
another value. A version combines both: the era in the high bits, the revision in the
low ones, like an epoch. Versions of a later era are higher than all of an earlier one,
so that every rule "the highest version wins" stays valid: in the cached copies of
instances, in gossip between peers, in seats. Calls to the store carry revisions only,
and only those of its present era.

Answers state their era in a header. An answer without it comes from a store that has
no eras, or reports nothing new: it counts as of the era that is known.
"""

import logging
import math
from collections.abc import Callable, Iterable

log = logging.getLogger(__name__)

ERA_HEADER = "Store-Era"
"""Header of an answer that states the era, a whole number."""

RESTORE_SPREAD = 5.0
"""Seconds over which the instances of a fleet spread the repeated writes of what a
store has lost: 520 instances then make a quarter of the writes that the smallest store
accepts."""

REVISIONS_PER_ERA = 1 << 40
"""Exceeds all revisions, also after 30 years at a thousand changes a second."""

EraObserver = Callable[[int], object]


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era."""
    return era * REVISIONS_PER_ERA + revision


def get_era(version: int) -> int:
    """Return the era of a version."""
    return version // REVISIONS_PER_ERA


def get_revision(version: int) -> int:
    """Return the store's revision that a version contains."""
    return version % REVISIONS_PER_ERA


def get_latest_era(versions: Iterable[int]) -> int:
    """Return the latest era of the versions, 0 if there are none."""
    return max(map(get_era, versions), default=0)


def format_version(version: int) -> str:
    """Return a version for people: ERA.REVISION, or the revision alone in era 0."""
    era, revision = divmod(version, REVISIONS_PER_ERA)
    return f"{era}.{revision}" if era else str(revision)


def parse_era(text: str | None) -> int | None:
    """Return the era that a header states, None if it states none."""
    if text is None or not text.isdecimal():
        return None
    return int(text)


class EraTracker:
    """Tracks the store's era from its answers.

    Parameters
    ----------
    seconds : callable, optional
        The clock, in seconds.
    """

    def __init__(self, seconds: Callable[[], float] = lambda: 0.0):
        self._seconds = seconds
        self._era: int | None = None
        self._since = -math.inf
        self._restored_at = -math.inf
        self._observers: list[EraObserver] = []

    @property
    def era(self) -> int:
        """The latest era that an answer reported; 0 before any."""
        return self._era or 0

    @property
    def age(self) -> float:
        """Seconds since this process first observed the era; infinite without eras."""
        return self._seconds() - self._since

    @property
    def time_since_restore(self) -> float:
        """Seconds since a restore of the store was observed; infinite without one."""
        return self._seconds() - self._restored_at

    def subscribe(self, observer: EraObserver) -> None:
        """Call `observer` with the new era after each observed restore."""
        self._observers.append(observer)

    def observe(self, reported: int | None) -> int:
        """Record the era that an answer reports; return the era that it belongs to."""
        if reported is None:
            return self.era
        if self._era is None or reported > self._era:
            previous, self._era, self._since = self._era, reported, self._seconds()
            if previous is not None:
                self._restored_at = self._since
                self._notify_restore(previous)
        return reported

    def is_past(self, era: int) -> bool:
        """Return whether the store is known to be in a later era."""
        return era < self.era

    def _notify_restore(self, previous: int) -> None:
        """Log the restore and call the observers."""
        log.warning(
            "objects: The store was restored from a backup: era %d after %d; "
            "versions of earlier eras are ignored.",
            self.era,
            previous,
        )
        for observer in tuple(self._observers):
            try:
                observer(self.era)
            except Exception:
                log.exception("objects: An observer of the store's era failed.")
