"""Reads that may lag, at a tenth of the price, but for the time after a restore.

What a lagging read tells is seconds old. If the store has been restored from a backup
within these seconds it may be of the era before, under the name of the present one.
"""

from returns.result import Result

from beryltrack.objects.eras import EraTracker
from beryltrack.objects.feed import ObjectFeed
from beryltrack.objects.messages import ObjectList, PlatformError

MOST_LAG = 6.0
"""Seconds by which a lagging read is behind at the most, twice the usual three."""


class LaggingFeed:
    """An `ObjectFeed` that lags, but not across a change of the store's era.

    Parameters
    ----------
    exact : ObjectFeed
        Tells what the store holds.
    lagging : ObjectFeed
        Tells what it held seconds ago.
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
        """Return what may be asked now."""
        was_restored = self._eras.time_since_restore < MOST_LAG
        return self._exact if was_restored else self._lagging
