"""The records of a run of the steady workload, as seen by callers and databases."""

from bisect import bisect_left, bisect_right
from typing import NamedTuple

from beryltrack_standins.database.replica_log import ReplicaLog


class ReadRecord(NamedTuple):
    """One read that was answered.

    Parameters
    ----------
    session : str
        The session.
    started_at : float
        When the caller sent it, seconds.
    arrived_at : float
        When it reached its proxy, seconds.
    ended_at : float
        When the caller had the answer, seconds.
    max_age : float
        Staleness that it accepts, seconds; zero if its session is unknown.
    offset : int
        Log offset that was applied where it ran.
    is_replica : bool
        True if a replica served it.
    """

    session: str
    started_at: float
    arrived_at: float
    ended_at: float
    max_age: float
    offset: int
    is_replica: bool


class WriteRecord(NamedTuple):
    """One write that was acknowledged.

    Parameters
    ----------
    session : str
        The session.
    offset : int
        Its offset in the log.
    acknowledged_at : float
        When the proxy acknowledged it, seconds.
    ended_at : float
        When the caller had the answer, seconds.
    """

    session: str
    offset: int
    acknowledged_at: float
    ended_at: float


class Trace:
    """A log offset over time; it never decreases."""

    def __init__(self):
        self._times: list[float] = []
        self._offsets: list[int] = []

    def add(self, at: float, offset: int) -> None:
        """Add the offset reached at a time, which is not before the last one."""
        if not self._offsets or offset > self._offsets[-1]:
            self._times.append(at)
            self._offsets.append(offset)

    def get_offset(self, at: float) -> int:
        """Return the offset that had been reached at a time."""
        index = bisect_right(self._times, at)
        return self._offsets[index - 1] if index else 0

    def get_time(self, offset: int) -> float:
        """Return the time at which an offset was reached; infinite if never."""
        index = bisect_left(self._offsets, offset)
        return self._times[index] if index < len(self._times) else float("inf")


class TracedLog(ReplicaLog):
    """A log that records when each entry becomes visible to readers.

    Parameters
    ----------
    name : str
        Name of the database.
    get_time : callable
        Returns the time, seconds.
    """

    def __init__(self, name: str, get_time):
        self.trace = Trace()
        self._get_time = get_time
        self._applied_offset = 0
        super().__init__(name)

    @property
    def applied_offset(self) -> int:
        """The offset of the last entry that is visible to readers."""
        return self._applied_offset

    @applied_offset.setter
    def applied_offset(self, offset: int) -> None:
        self._applied_offset = offset
        self.trace.add(self._get_time(), offset)


class RunRecord(NamedTuple):
    """The complete record of a run.

    Parameters
    ----------
    reads : list of ReadRecord
        The reads that were answered.
    writes : list of WriteRecord
        The writes that were acknowledged.
    refused : list of str
        Texts of the refusals.
    replicas : dict of str to Trace
        Applied log offset of each replica.
    lags : list of float
        Replication lag of each write at each replica, seconds.
    """

    reads: list[ReadRecord]
    writes: list[WriteRecord]
    refused: list[str]
    replicas: dict[str, Trace]
    lags: list[float]
