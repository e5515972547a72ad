"""One that the store turns away goes by the settings of others, in real processes.

Two of five instances were turned away by the store before the second of them had
heard which instances there are: the members are first listed 1.5 s after the first
start of a fleet. It knew nobody whom it could follow, so that it followed nobody for
as long as the store turned it away, also across a restore from a backup.
"""

import random
import time

import pytest
from twisted.internet import reactor

from beryltrack.settings.messages import RouteSettings
from beryltrack_bench.soak.site import GROUP, SoakOptions, SoakSite
from beryltrack_standins.lines.store import REFUSING
from tests.reactor_thread import run

PATIENCE = 20.0
ADDED = RouteSettings("db9", GROUP, "any", 1.5, False, 2.0, 0.5, 2)


@pytest.fixture
def site(tmp_path):
    options = SoakOptions(nodes=5, has_store_restores=True)
    made = run(SoakSite, reactor, 1871, 5, 22, random.Random(1), tmp_path, options)
    run(made.start)
    yield made
    run(made.stop)


def wait_until(condition):
    give_up_at = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < give_up_at
        time.sleep(0.02)


def test_one_that_is_turned_away_before_it_knows_the_others_hears_of_a_restore(
    site, tmp_path
):
    away = site.nodes[1], site.nodes[3]

    def has(node, version):
        path = tmp_path / f"{node.name}.log"
        return path.exists() and f"Version {version} is in force" in path.read_text()

    wait_until(lambda: all(has(node, 1) for node in site.nodes))
    for node in away:
        node.store.trouble = REFUSING
    copy = run(site.store.make_backup)
    run(site.write_configuration)
    wait_until(lambda: all(has(node, 2) for node in site.nodes if node not in away))
    run(site.restore, copy)
    run(site.write_configuration, ADDED)
    wait_until(lambda: all(has(node, 3) for node in site.nodes))
