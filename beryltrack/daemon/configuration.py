"""Parses the operators' configuration incrementally, while callers are served.

A change may add more than a thousand routes. Parsing them at once would block every
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
    """A configuration that was parsed.

    Parameters
    ----------
    item : PlatformObject
        The object that holds it.
    configuration : SiteConfiguration or None
        The parsed configuration, None if it is invalid.
    findings : list of Finding
        The problems found in it.
    """

    item: PlatformObject
    configuration: SiteConfiguration | None
    findings: list[Finding]


Read = Callable[
    [PlatformObject, ReadRows], tuple[SiteConfiguration | None, list[Finding]]
]


class ConfigurationTask:
    """Parses versions in order of arrival, in slices between which the reactor runs.

    No version is skipped in favour of a later one: after a restore of the store from a
    backup the later one may be older.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    read : callable
        Parses an object with a given function for its rows; returns the configuration
        and the findings.
    schemas : mapping of str to tuple of Field
        The fields of the rows of its long lists, by the names of the lists.
    callback : callable
        Called with each parsed version; for a small one before `read` returns.
    """

    def __init__(
        self,
        reactor,
        read: Read,
        schemas: RowSchemas,
        callback: Callable[[ConfigurationRead], object],
    ):
        self._reactor = reactor
        self._read = read
        self._schemas = schemas
        self._callback = callback
        self._cache = RowCache()
        self._waiting: deque[PlatformObject] = deque()
        self._slices: Iterator[None] | None = None
        self._call = None

    def read(self, item: PlatformObject) -> None:
        """Queue a version for parsing."""
        self._waiting.append(item)
        if self._slices is None:
            self._read_next()

    def stop(self) -> None:
        """Drop the queue and stop parsing."""
        self._waiting.clear()
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _read_next(self) -> None:
        """Parse one slice, or all versions that take no more than one."""
        while self._waiting:
            item = self._waiting[0]
            if self._slices is None:
                self._slices = self._cache.prepare(item.value, self._schemas)
            if self._read_slice():
                self._call = self._reactor.callLater(0, self._read_next)
                return
            self._slices = None
            self._waiting.popleft()
            self._finish(item)

    def _read_slice(self) -> bool:
        """Parse one slice ahead; return whether there may be another one.

        After an exception parsing ahead ends: parsing the version as a whole decides
        whether the version is valid.
        """
        try:
            return next(self._slices, _DONE) is not _DONE
        except Exception:
            log.exception(
                "settings: Parsing a configuration in slices failed; it is parsed as a "
                "whole."
            )
            return False

    def _finish(self, item: PlatformObject) -> None:
        """Parse a version as a whole and report it.

        An exception must not hold up the next version.
        """
        try:
            found = self._read(item, self._cache.read_rows)
            self._callback(ConfigurationRead(item, *found))
        except Exception:
            log.exception(
                "settings: Applying a configuration failed; later versions still apply."
            )
