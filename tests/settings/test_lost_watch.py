"""A watch that is never answered must not hold settings up for too long.

A store that is silent for a moment takes a watch and never answers it, while the
connection stays open. The watch waited for 30 s and its answer for 5 s more, so that an
instance that was to have a change in force within 15 s heard of it after 35 s. On the
users' platform the same cause showed as

    objects: No answer for config for 17.1 s (unknown): no answer within 17 s.
"""

import random

from treq.testing import RequestTraversalAgent
from twisted.internet.task import Clock

from beryltrack.objects.client import PlatformClient
from beryltrack.settings.task import SettingsTask
from tests.objects.test_client import NO_ANSWER, ScriptedSite
from tests.settings.examples import GROUP_PATH, make_group

STEP = 0.1
LIMIT = 15.0


def make_answer(revision, **changes):
    value = {"settings": make_group(**changes), "created": ""}
    item = {"path": GROUP_PATH, "version": revision, "value": value}
    return (200, {"revision": revision, "objects": [item]})


def test_a_lost_watch_holds_settings_up_for_less_than_fifteen_seconds():
    clock = Clock()
    quiet = (200, {"revision": 5, "objects": []})
    site = ScriptedSite(
        make_answer(3), NO_ANSWER, make_answer(5, max_age=1), *[quiet] * 100
    )
    agent = RequestTraversalAgent(site)
    client = PlatformClient(clock, "http://127.0.0.1", random.Random(1), agent=agent)
    task, seen = SettingsTask(clock, client, random.Random(1)), []
    task.subscribe(lambda settings: seen.append(settings.groups[0].max_age))
    task.start()
    for _ in range(round(LIMIT / STEP)):
        clock.advance(STEP)
        agent.flush()
    assert seen == [0, 1]
