"""An oracle that computes the best possible replica share and finds violations.

The oracle knows at each time what was acknowledged and what each replica had
applied. It shares no code with the deciders that it evaluates.
"""

from collections import defaultdict
from collections.abc import Iterator

from beryltrack_bench.checker import check_history, count_violations
from beryltrack_bench.history import ReadAnswered, WriteAcknowledged
from beryltrack_bench.steady.records import ReadRecord, RunRecord, Trace

STALENESS = "staleness"
"""Name of the invariant that no read is staler than it accepts."""


class Oracle:
    """Knows every log position and staleness of a run exactly.

    Parameters
    ----------
    record : RunRecord
        The record of the run.
    """

    def __init__(self, record: RunRecord):
        self._record = record
        self._acknowledged = _trace_writes(record)
        self._own: dict[str, Trace] = defaultdict(Trace)
        for write in record.writes:
            self._own[write.session].add(write.ended_at, write.offset)

    def compute_ceiling(self, wait: float) -> float:
        """Return the share of the reads that replicas could have served.

        Parameters
        ----------
        wait : float
            Longest wait for a replica to catch up, seconds.

        Returns
        -------
        float
            Between 0 and 1.
        """
        reads = self._record.reads
        served = sum(self._can_serve(read, wait) for read in reads)
        return served / len(reads) if reads else 0.0

    def count_violations(self) -> dict[str, int]:
        """Return the number of violations of each invariant."""
        counts = count_violations(check_history(list(self._make_history())))
        stale = sum(
            read.offset < self._get_acknowledged(read) for read in self._record.reads
        )
        return {**counts, STALENESS: stale}

    def _can_serve(self, read: ReadRecord, wait: float) -> bool:
        """Return whether a replica could have served a read in time."""
        own = self._own[read.session].get_offset(read.started_at)
        needed = max(own, self._get_acknowledged(read))
        latest = read.arrived_at + wait
        return any(
            trace.get_time(needed) <= latest for trace in self._record.replicas.values()
        )

    def _get_acknowledged(self, read: ReadRecord) -> int:
        """Return the offset that a read must see of the writes of all sessions."""
        return self._acknowledged.get_offset(read.arrived_at - read.max_age)

    def _make_history(self) -> Iterator[WriteAcknowledged | ReadAnswered]:
        """Yield the history for the checks: which own writes each session saw."""
        own: dict[str, list[int]] = defaultdict(list)
        for write in self._record.writes:
            own[write.session].append(write.offset)
            keys = (str(write.offset),)
            yield WriteAcknowledged(write.session, "group", keys, write.ended_at)
        for read in self._record.reads:
            if read.session not in own:
                continue
            seen = frozenset(
                str(offset) for offset in own[read.session] if offset <= read.offset
            )
            yield ReadAnswered(read.session, "group", seen, read.started_at)


def _trace_writes(record: RunRecord) -> Trace:
    """Return the trace of the acknowledged log offset."""
    trace = Trace()
    for write in sorted(record.writes, key=lambda each: each.acknowledged_at):
        trace.add(write.acknowledged_at, write.offset)
    return trace
