"""Stale reads are avoided while they may return data of an earlier era."""

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.objects.eras import EraTracker
from beryltrack.objects.lagging import MAX_LAG, LaggingFeed


class Feed:
    """Answers with its name and the call."""

    def __init__(self, name):
        self.name = name

    async def list(self, kind):
        return f"{self.name} list"

    async def watch(self, kind, after, timeout):
        return f"{self.name} watch"


def test_reads_are_exact_for_a_while_after_a_restore():
    clock = Clock()
    eras = EraTracker(clock.seconds)
    feed = LaggingFeed(Feed("exact"), Feed("lagging"), eras)

    def ask():
        calls = (feed.list("members"), feed.watch("members", 1, 1.0))
        return [Deferred.fromCoroutine(call).result.split()[0] for call in calls]

    assert ask() == ["lagging"] * 2
    eras.observe(1)
    assert ask() == ["lagging"] * 2
    eras.observe(2)
    assert ask() == ["exact"] * 2
    clock.advance(MAX_LAG)
    assert ask() == ["lagging"] * 2
