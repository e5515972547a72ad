"""Samples of a primary's position, from which bounds of replicas' ages are proven.

A sample states that every write acknowledged before `sent_at` lies at or before
`position`. It is confirmed once enough of the group's databases (see
`LeadershipProof`) have reported, in answer to requests sent at or after `sent_at`, that
they were still in the sample's term; until then it may be that of a partitioned former
primary.
"""

from typing import NamedTuple

from beryltrack.groups.messages import LogPosition, TermStart
from beryltrack.groups.positions import covers
from beryltrack.groups.view import NEVER

MAX_SAMPLES = 512
"""Number of samples above which old ones are thinned out."""
THIN_RATIO = 0.03
"""Minimum distance of two samples that remain, as a fraction of their age. The age of a
replica that is far behind is known to within it with a bounded number of samples."""


class Sample(NamedTuple):
    """A position of the primary, and when it was requested.

    Parameters
    ----------
    position : LogPosition
        The last entry in the primary's log.
    sent_at : float
        Send time of the request, by the instance's clock.
    """

    position: LogPosition
    sent_at: float


class SampleLog:
    """The pending and the confirmed samples of one group."""

    def __init__(self) -> None:
        self._pending: list[Sample] = []
        self._confirmed: list[Sample] = []

    @property
    def newest(self) -> Sample | None:
        """The newest confirmed sample."""
        return self._confirmed[-1] if self._confirmed else None

    def __len__(self) -> int:
        return len(self._pending) + len(self._confirmed)

    def add(self, sample: Sample) -> None:
        """Add a pending sample, unless it is older than the last one."""
        if self._pending and sample.sent_at <= self._pending[-1].sent_at:
            return
        self._pending.append(sample)
        del self._pending[:-MAX_SAMPLES]

    def confirm(self, term: int, confirmed_until: float) -> bool:
        """Confirm the pending samples that are now proven.

        Of several confirmed samples of one position only the newest is retained,
        since it proves the most.

        Parameters
        ----------
        term : int
            The term that is proven.
        confirmed_until : float
            Enough databases answered in this term to requests sent then or later.

        Returns
        -------
        bool
            True if a sample was confirmed.
        """
        proven = [
            sample
            for sample in self._pending
            if sample.position.term == term and sample.sent_at <= confirmed_until
        ]
        if not proven:
            return False
        self._pending = [item for item in self._pending if item not in proven]
        for sample in proven:
            self._append_confirmed(sample)
        return True

    def get_position_since(self, since: float) -> LogPosition | None:
        """Return the position of the oldest confirmed sample sent at `since` or later.

        A log that has applied this position has applied all that was acknowledged
        before `since`; no later sample has an earlier position.
        """
        found = None
        for sample in reversed(self._confirmed):
            if sample.sent_at < since:
                break
            found = sample.position
        return found

    def get_fresh_at(self, history: tuple[TermStart, ...], end: LogPosition) -> float:
        """Return the time up to which a log is proven to hold all acknowledged writes.

        Parameters
        ----------
        history : tuple of TermStart
            Start of each term in the log, oldest first.
        end : LogPosition
            The last entry that is applied.

        Returns
        -------
        float
            Send time of the newest confirmed sample that the log has reached;
            `NEVER` if it has reached none.
        """
        return next(
            (
                sample.sent_at
                for sample in reversed(self._confirmed)
                if covers(history, end, sample.position)
            ),
            NEVER,
        )

    def _append_confirmed(self, sample: Sample) -> None:
        """Append a confirmed sample in the order of send times."""
        kept = self._confirmed
        if kept and sample.sent_at <= kept[-1].sent_at:
            return
        if kept and kept[-1].position == sample.position:
            kept.pop()
        kept.append(sample)
        if len(kept) > MAX_SAMPLES:
            self._confirmed = thin_samples(kept)


def thin_samples(samples: list[Sample]) -> list[Sample]:
    """Return fewer samples, with gaps that grow with their age.

    Parameters
    ----------
    samples : list of Sample
        Samples by send time, oldest first.

    Returns
    -------
    list of Sample
        At most half of `MAX_SAMPLES`, oldest first, the newest among them.
    """
    now = samples[-1].sent_at
    kept = [samples[-1]]
    for sample in reversed(samples[:-1]):
        if kept[-1].sent_at - sample.sent_at >= THIN_RATIO * (now - sample.sent_at):
            kept.append(sample)
    # The ratio retains each sample close to `now`, so that the count needs a limit too.
    return list(reversed(kept[: MAX_SAMPLES // 2]))
