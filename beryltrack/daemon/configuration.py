"""Reads the configuration as operators write it, while callers are served.

A change may add more than a thousand routes. Reading them at once would hold up every
caller of the instance, and those of the whole fleet at the same moment.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rows import ReadRows, RowCache, RowSchemas
from beryltrack.settings.roster import SiteConfiguration

log = logging.getLogger(__name__)

_DONE = object()


class ConfigurationRead(NamedTuple):
    """A configuration that was read.

    Parameters
    ----------
    item : PlatformObject
        The object that it stands in.
    configuration : SiteConfiguration or None
        What it says, None if it cannot be read.
    findings : list of Finding
        What is wrong with it.
    """

    item: PlatformObject
    configuration: SiteConfiguration | None
    findings: list[Finding]


Read = Callable[
    [PlatformObject, ReadRows], tuple[SiteConfiguration | None, list[Finding]]
]


class ConfigurationTask:
    """Reads one version after the other, in slices between which others run.

    None is left out for a later one: after a restore of the store from a backup the
    later one may be older.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    read : callable
        Returns what an object says, by a given way to read its rows, and the findings.
    tables : mapping of str to tuple of Field
        The fields of the rows of its long lists, by their names.
    take : callable
        Takes each version that was read; a small one before `read` returns.
    """

    def __init__(
        self,
        reactor,
        read: Read,
        tables: RowSchemas,
        take: Callable[[ConfigurationRead], object],
    ):
        self._reactor = reactor
        self._read = read
        self._tables = tables
        self._take = take
        self._cache = RowCache()
        self._waiting: deque[PlatformObject] = deque()
        self._steps: Iterator[None] | None = None
        self._call = None

    def read(self, item: PlatformObject) -> None:
        """Read a version, after those that wait."""
        self._waiting.append(item)
        if self._steps is None:
            self._go_on()

    def stop(self) -> None:
        """Read no more."""
        self._waiting.clear()
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _go_on(self) -> None:
        """Read one slice, or all that takes no longer than one."""
        while self._waiting:
            item = self._waiting[0]
            if self._steps is None:
                self._steps = self._cache.prepare(item.value, self._tables)
            if self._read_slice():
                self._call = self._reactor.callLater(0, self._go_on)
                return
            self._steps = None
            self._waiting.popleft()
            self._finish(item)

    def _read_slice(self) -> bool:
        """Read one slice ahead; return whether there may be another one.

        After a defect nothing more is read ahead: whatever reads the version as a whole
        meets it or does not.
        """
        try:
            return next(self._steps, _DONE) is not _DONE
        except Exception:
            log.exception("settings: Reading ahead met a defect.")
            return False

    def _finish(self, item: PlatformObject) -> None:
        """Give a version that was read; a defect must not hold up the next one."""
        try:
            found = self._read(item, self._cache.read_rows)
            self._take(ConfigurationRead(item, *found))
        except Exception:
            log.exception("settings: A change met a defect.")
