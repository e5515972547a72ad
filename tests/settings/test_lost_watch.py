"""A watch that is never answered must not delay settings for too long.

A store that is silent for a moment may accept a watch and never answer it, while the
connection stays open. With a watch timeout of 30 s and 5 s more for the answer, an
instance that must have a change in force within 15 s receives it after 35 s, and its
log shows a line such as

    objects: No answer for config for 17.1 s (unknown): no answer within 17 s; retrying.
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


def test_a_lost_watch_delays_settings_for_less_than_fifteen_seconds():
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
