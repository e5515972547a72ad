"""Samples of a primary's position, from which the ages of replicas are proven.

A sample says: every write acknowledged before `sent_at` lies at or before
`position`. That is known only once a majority of the group's databases said,
in answer to requests sent at or after `sent_at`, that they were still in the
sample's term; until then a cut-off primary could have given it.
"""

from typing import NamedTuple

from beryltrack.groups.messages import LogPosition, TermStart
from beryltrack.groups.positions import covers
from beryltrack.groups.view import NEVER

# Samples kept before the old ones are thinned out.
MAX_SAMPLES = 512
# Two kept samples are this part of their age apart, so that ages of replicas
# that are far behind stay known to within it with a bounded number of samples.
THIN_RATIO = 0.03


class Sample(NamedTuple):
    """A position of the primary, and when it was asked for.

    Parameters
    ----------
    position : LogPosition
        The last entry in the primary's log.
    sent_at : float
        Send time of the request, by the node's clock.
    """

    position: LogPosition
    sent_at: float


class SampleLog:
    """The samples of one group, those that are proven apart from the others."""

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
        """Add a sample; one that is older than the last one is left out."""
        if self._pending and sample.sent_at <= self._pending[-1].sent_at:
            return
        self._pending.append(sample)
        del self._pending[:-MAX_SAMPLES]

    def confirm(self, term: int, confirmed_until: float) -> bool:
        """Take over the samples that a majority has proven.

        Of several confirmed samples of one position only the newest is kept,
        for it proves the most.

        Parameters
        ----------
        term : int
            The term that a majority was seen in.
        confirmed_until : float
            A majority answered in this term to requests sent then or later.

        Returns
        -------
        bool
            True if there were any.
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
            self._keep(sample)
        return True

    def get_oldest(self, since: float) -> LogPosition | None:
        """Return the position of the oldest confirmed sample sent at `since` or later.

        A log that shows this position shows all that was acknowledged before
        `since`, and no later sample asks for less.
        """
        found = None
        for sample in reversed(self._confirmed):
            if sample.sent_at < since:
                break
            found = sample.position
        return found

    def get_fresh_at(self, history: tuple[TermStart, ...], end: LogPosition) -> float:
        """Return until when a log is proven to hold all acknowledged writes.

        Parameters
        ----------
        history : tuple of TermStart
            Where each term in the log begins, oldest first.
        end : LogPosition
            How far the log is applied.

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

    def _keep(self, sample: Sample) -> None:
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
    """Return fewer samples: the older they are, the wider apart.

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
    # Close to `now` the ratio keeps each sample; half of the room is for them.
    return list(reversed(kept[: MAX_SAMPLES // 2]))
