"""Eras of the store: how often it has been restored from a backup.

A store that is restored from a backup has lost what was written since, and gives the
revisions of that time out again. So a revision orders nothing by itself, and one that
matches may belong to another value. What is called a version in the product stands for
both: the era above, the revision in it below. Versions of a later era are higher than
all of an earlier one, whoever tells them, so that every rule of the kind "the highest
version counts" holds on: in the copies of instances, in what peers tell, in seats. The
store itself is told revisions only, and only those of its present era.

Answers say which era they are of. One that does not is of a store that has no eras, or
says nothing new: it counts as of the era that is known.
"""

import logging
import math
from collections.abc import Callable, Iterable

log = logging.getLogger(__name__)

ERA_HEADER = "Store-Era"
"""Names the header of an answer that tells the era, a whole number."""

RESTORE_SPREAD = 5.0
"""Seconds over which the instances of a fleet write again what a store has lost: 520
instances then make a quarter of the writes that the smallest store takes."""

REVISIONS_PER_ERA = 1 << 40
"""Above all revisions: a store that made a thousand changes a second for 30 years."""

EraObserver = Callable[[int], object]


def make_version(era: int, revision: int) -> int:
    """Return the version that stands for a revision in an era."""
    return era * REVISIONS_PER_ERA + revision


def get_era(version: int) -> int:
    """Return the era of a version."""
    return version // REVISIONS_PER_ERA


def get_revision(version: int) -> int:
    """Return the revision of a version, as the store knows it in the version's era."""
    return version % REVISIONS_PER_ERA


def get_latest_era(versions: Iterable[int]) -> int:
    """Return the latest era of some versions, 0 if there are none."""
    return max(map(get_era, versions), default=0)


def format_version(version: int) -> str:
    """Return a version as operators read it: ERA.REVISION, or the revision alone."""
    era, revision = divmod(version, REVISIONS_PER_ERA)
    return f"{era}.{revision}" if era else str(revision)


def parse_era(text: str | None) -> int | None:
    """Return the era that a header tells, None if it tells none."""
    if text is None or not text.isdecimal():
        return None
    return int(text)


class EraTracker:
    """The era that the store is in, as its answers tell.

    Parameters
    ----------
    seconds : callable, optional
        The process's time.
    """

    def __init__(self, seconds: Callable[[], float] = lambda: 0.0):
        self._seconds = seconds
        self._era: int | None = None
        self._since = -math.inf
        self._restored_at = -math.inf
        self._observers: list[EraObserver] = []

    @property
    def era(self) -> int:
        """The latest era that was heard of; 0 before any."""
        return self._era or 0

    @property
    def age(self) -> float:
        """Seconds since this process first heard of the era; infinite without eras."""
        return self._seconds() - self._since

    @property
    def time_since_restore(self) -> float:
        """Seconds since the store was seen to be restored, or infinite."""
        return self._seconds() - self._restored_at

    def subscribe(self, observer: EraObserver) -> None:
        """Call back with the new era when the store has been restored from a backup."""
        self._observers.append(observer)

    def observe(self, told: int | None) -> int:
        """Take in what an answer tells; return the era that it is of."""
        if told is None:
            return self.era
        if self._era is None or told > self._era:
            before, self._era, self._since = self._era, told, self._seconds()
            if before is not None:
                self._restored_at = self._since
                self._tell(before)
        return told

    def is_past(self, era: int) -> bool:
        """Return whether the store is known to be in a later era."""
        return era < self.era

    def _tell(self, before: int) -> None:
        """Tell that the store has been restored from a backup."""
        log.warning(
            "objects: The store was restored from a backup: era %d after %d; "
            "versions of before count no more.",
            self.era,
            before,
        )
        for observer in tuple(self._observers):
            try:
                observer(self.era)
            except Exception:
                log.exception("objects: A change of the era met a defect.")
