"""Stale reads of the store, at a tenth of the price, except after a restore.

The answer of a stale read is seconds old. If the store was restored from a backup
within these seconds, it may hold data of the previous era labelled with the new one.
"""

from returns.result import Result

from beryltrack.objects.eras import EraTracker
from beryltrack.objects.feed import ObjectFeed
from beryltrack.objects.messages import ObjectList, PlatformError

MAX_LAG = 6.0
"""Bound on the staleness of a lagging read, seconds: twice the usual three."""


class LaggingFeed:
    """An `ObjectFeed` of stale reads that never mixes eras of the store.

    Parameters
    ----------
    exact : ObjectFeed
        Reads the present state of the store.
    lagging : ObjectFeed
        Reads a state that is up to `MAX_LAG` old.
    eras : EraTracker
        The era of the store.
    """

    def __init__(self, exact: ObjectFeed, lagging: ObjectFeed, eras: EraTracker):
        self._exact = exact
        self._lagging = lagging
        self._eras = eras

    async def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of a kind."""
        return await self._choose().list(kind)

    async def watch(
        self, kind: str, after: int, timeout: float
    ) -> Result[ObjectList, PlatformError]:
        """Wait for changes after a version."""
        return await self._choose().watch(kind, after, timeout)

    def _choose(self) -> ObjectFeed:
        """Return the feed to read from: the exact one shortly after a restore."""
        was_restored = self._eras.time_since_restore < MAX_LAG
        return self._exact if was_restored else self._lagging
