"""An instance that the store refuses follows others, in real processes.

At the first start of a fleet the members are first listed after 1.5 s. An instance that
the store refuses before that knows no other instance to follow. Guards against one that
therefore learns of no change for as long as the store refuses it, also across a restore
from a backup.
"""

import random
import time

import pytest
from twisted.internet import reactor

from beryltrack.settings.messages import RouteSettings
from beryltrack_bench.soak.site import GROUP, SoakOptions, SoakSite
from beryltrack_standins.lines.store import REFUSING
from tests.reactor_thread import run

TIMEOUT = 20.0
ADDED = RouteSettings("db9", GROUP, "any", 1.5, False, 2.0, 0.5, 2)


@pytest.fixture
def site(tmp_path):
    options = SoakOptions(nodes=5, has_store_restores=True)
    made = run(SoakSite, reactor, 1871, 5, 22, random.Random(1), tmp_path, options)
    run(made.start)
    yield made
    run(made.stop)


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def test_an_instance_refused_before_it_knows_others_learns_of_a_restore(site, tmp_path):
    away = site.nodes[1], site.nodes[3]

    def has(node, version):
        path = tmp_path / f"{node.name}.log"
        return path.exists() and f"Version {version} is in force" in path.read_text()

    wait_until(lambda: all(has(node, 1) for node in site.nodes))
    for node in away:
        node.store.fault = REFUSING
    copy = run(site.store.make_backup)
    run(site.write_configuration)
    wait_until(lambda: all(has(node, 2) for node in site.nodes if node not in away))
    run(site.restore, copy)
    run(site.write_configuration, ADDED)
    wait_until(lambda: all(has(node, 3) for node in site.nodes))
