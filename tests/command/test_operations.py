"""Operations on running proxies: draining a primary, reading the status."""

import json
import time

import pytest

from beryltrack.command.report import ExitCode
from beryltrack.daemon.local_site import GROUP, TEAM
from tests.command.tool import ToolSite
from tests.local_proxies import connect, get_primary, run_proxies
from tests.reactor_thread import run

PATH = f"settings/{TEAM}/groups/{GROUP}"
PERIOD = 0.02
TRIES = 500


@pytest.fixture(scope="module")
def local():
    """Run proxies that all tests of the module share."""
    with run_proxies() as site:
        yield site


def wait_until(holds):
    """Poll until a condition holds; fail after `TRIES` polls."""
    for _ in range(TRIES):
        if holds():
            return
        time.sleep(PERIOD)
    raise AssertionError("the condition did not hold in time")


def get_fleet(tool):
    code, fleet = tool.call_json("status")
    assert code == ExitCode.OK
    return fleet


def get_primary_names(local):
    """Return the names of the primaries; none for a moment of a hand-over."""
    databases = [server.database for server in local.site.servers.values()]
    return {item.name for item in databases if item.status.role == "primary"}


def get_draining(tool):
    databases = get_fleet(tool)["groups"][0]["databases"]
    return [item["name"] for item in databases if item["draining"]]


def test_draining_the_primary_moves_it_and_loses_no_write(local):
    tool = ToolSite(local.site.platform)
    old = get_primary(local).database.name
    with connect(local.proxies[0]) as caller:
        caller.execute("CREATE TABLE t (n int)")
        caller.execute("INSERT INTO t VALUES (1)")
        group = tool.call_json(f"settings get {PATH}")[1]["settings"]
        for database in group["databases"]:
            database["draining"] = database["name"] == old
        change = tool.call(f"settings set {PATH} - --wait 15", json.dumps(group))
        assert change.code == ExitCode.OK
        assert "in force on all instances" in change.text
        wait_until(lambda: get_primary_names(local) - {old})
        caller.execute("INSERT INTO t VALUES (2)")
        rows = caller.execute("SELECT n FROM t ORDER BY n").fetchall()
    assert rows == [(1,), (2,)]
    assert get_fleet(tool)["groups"][0]["primary"] != old
    assert get_draining(tool) == [old]


def test_failovers_are_counted_and_each_gap_is_recorded(local):
    tool = ToolSite(local.site.platform)
    run(get_primary(local).stop)
    with connect(local.proxies[1]) as caller:
        caller.execute("CREATE TABLE u (n int)")
    wait_until(lambda: get_fleet(tool)["counters"]["failovers"])
    assert [item["state"] for item in get_fleet(tool)["instances"]] == ["live"] * 2
    name = f'beryltrack_failover_gap_seconds_count{{group="{GROUP}"}}'
    for proxy in local.proxies:
        lines = proxy.metrics.render().decode().splitlines()
        gaps = [float(line.split()[-1]) for line in lines if line.startswith(name)]
        assert sum(gaps) == proxy.metrics.counters.failovers
