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
MAX_SAMPLES = 256
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
    confirmed : bool
        True once a majority confirmed the term afterwards.
    """

    position: LogPosition
    sent_at: float
    confirmed: bool = False


def add_sample(
    samples: tuple[Sample, ...], sample: Sample, now: float
) -> tuple[Sample, ...]:
    """Return the samples with one more, thinned if they have become many.

    Parameters
    ----------
    samples : tuple of Sample
        Samples by send time, oldest first.
    sample : Sample
        The newest sample. It is left out if it is older than the last one.
    now : float
        The current time, seconds.

    Returns
    -------
    tuple of Sample
        At most about `MAX_SAMPLES` samples, oldest first.
    """
    if samples and sample.sent_at <= samples[-1].sent_at:
        return samples
    longer = (*samples, sample)
    return longer if len(longer) <= MAX_SAMPLES else thin_samples(longer, now)


def thin_samples(samples: tuple[Sample, ...], now: float) -> tuple[Sample, ...]:
    """Return fewer samples: the older they are, the wider apart."""
    kept = [samples[-1]]
    for sample in reversed(samples[:-1]):
        gap = kept[-1].sent_at - sample.sent_at
        if gap >= THIN_RATIO * (now - sample.sent_at):
            kept.append(sample)
    return tuple(reversed(kept[: MAX_SAMPLES // 2]))


def confirm_samples(
    samples: tuple[Sample, ...], term: int, confirmed_until: float
) -> tuple[Sample, ...]:
    """Return the samples, those proven by a majority marked as confirmed.

    Of several confirmed samples of one position only the newest is kept, for
    it proves the most.

    Parameters
    ----------
    samples : tuple of Sample
        Samples by send time, oldest first.
    term : int
        The term that a majority was seen in.
    confirmed_until : float
        A majority answered in this term to requests sent then or later.

    Returns
    -------
    tuple of Sample
        Samples by send time, oldest first.
    """
    marked = [
        sample._replace(confirmed=True)
        if not sample.confirmed
        and sample.position.term == term
        and sample.sent_at <= confirmed_until
        else sample
        for sample in samples
    ]
    return tuple(
        sample
        for sample, following in zip(marked, [*marked[1:], None], strict=False)
        if following is None
        or not following.confirmed
        or following.position != sample.position
    )


def get_fresh_at(
    samples: tuple[Sample, ...], history: tuple[TermStart, ...], end: LogPosition
) -> float:
    """Return until when a log is proven to hold all acknowledged writes.

    Parameters
    ----------
    samples : tuple of Sample
        Samples by send time, oldest first.
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
            for sample in reversed(samples)
            if sample.confirmed and covers(history, end, sample.position)
        ),
        NEVER,
    )
