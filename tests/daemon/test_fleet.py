"""Proxies of a fleet share settings, group views and membership."""

import time

from tests.local_proxies import connect, run_proxies
from tests.reactor_thread import run

TIMEOUT = 10.0


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT
    while not run(condition):
        assert time.monotonic() < deadline
        time.sleep(0.02)


def knows_owners(proxy):
    is_known = proxy.groups.get("main") is not None
    return is_known and proxy.fleet.budget.task.get_owners("main")


def test_a_new_instance_starts_from_its_peers_while_the_store_is_down():
    with run_proxies(count=2) as local:
        run(local.site.control.set_fault, "platform", "down")
        proxy = run(local.start_proxy, 2)
        wait_until(lambda: knows_owners(proxy))
        # It holds no seat, so an owner of the group runs the statement.
        with connect(proxy) as caller:
            caller.execute("CREATE TABLE item (id integer)")
        # It does not watch a group that it does not own.
        assert not run(lambda: proxy.groups.get("main").is_started)
        nodes = ("proxy-1", "proxy-2", "proxy-3")
        wait_until(lambda: all(p.fleet.live_instances == nodes for p in local.proxies))


def test_an_instance_that_leaves_is_removed_at_once():
    with run_proxies(count=2) as local:
        wait_until(lambda: len(local.proxies[0].fleet.live_instances) == 2)
        run(local.proxies[1].fleet.leave)
        wait_until(lambda: local.proxies[0].fleet.live_instances == ("proxy-1",))
