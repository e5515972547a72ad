"""Background samples that renew the proofs of freshness."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.routing.refresh import AgeRefresher


class _Source:
    """Records samples and lets a test resolve them."""

    def __init__(self):
        self.samples = []

    def sample_primary(self):
        self.samples.append(Deferred())
        return self.samples[-1]


def test_one_sample_is_in_progress_at_a_time():
    source = _Source()
    refresher = AgeRefresher(Clock(), source, 1.0)
    refresher.refresh()
    refresher.refresh()
    assert len(source.samples) == 1
    source.samples[0].callback(None)
    refresher.refresh()
    assert len(source.samples) == 2


def test_sample_without_an_answer_is_cancelled():
    clock, source = Clock(), _Source()
    refresher = AgeRefresher(clock, source, 1.0)
    refresher.refresh()
    clock.advance(1.0)
    refresher.refresh()
    assert len(source.samples) == 2
