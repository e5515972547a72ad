"""Changes and settings in force over real sockets, with races and outages."""

import random

import pytest
from returns.result import Success
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults

from beryltrack.objects.client import PlatformClient
from beryltrack.settings.change import ChangeDone, FailureKind, SettingsChange
from beryltrack.settings.stored import ChangeRequest, get_records
from beryltrack.settings.task import SettingsTask
from tests.command.tool import running_tool
from tests.reactor_thread import run
from tests.settings.examples import RULE_PATH

RIVALS = 8


@pytest.fixture
def platform():
    with running_tool() as site:
        yield site.platform


class Proxy:
    """The settings task of one proxy."""

    def __init__(self, platform, seed=1):
        rng = random.Random(seed)
        self.client = PlatformClient(reactor, platform.url, rng, timeout=1.0)
        self.task = SettingsTask(reactor, self.client, rng)

    async def wait_for(self, max_age):
        """Wait until a rule with this staleness is in force."""
        done = Deferred()

        def check(site):
            if [rule.max_age for rule in site.rules] == [max_age] and not done.called:
                done.callback(site.revision)

        self.task.subscribe(check)
        check(self.task.current)
        return await done

    async def stop(self):
        self.task.stop()
        await self.client.close()


def write(platform, max_age):
    run(platform.store.put, RULE_PATH, {"settings": {"max_age": max_age}}, None)
    run(platform._wake_watches)


def start_proxy(platform, seed=1):
    proxy = run(Proxy, platform, seed)
    run(proxy.task.start)
    return proxy


def test_change_comes_into_force_on_each_proxy_also_after_an_outage(platform):
    write(platform, 1)
    proxies = [start_proxy(platform, seed) for seed in (1, 2)]
    for proxy in proxies:
        run(proxy.wait_for, 1)
    write(platform, 2)
    for proxy in proxies:
        run(proxy.wait_for, 2)
    run(platform.set_fault, "down", None)
    write(platform, 3)
    run(platform.set_fault, "up", None)
    for proxy in proxies:
        assert run(proxy.wait_for, 3) == 3
        run(proxy.stop)


def test_proxy_that_starts_while_the_store_is_down_gets_settings_from_a_peer(platform):
    write(platform, 1)
    old = start_proxy(platform)
    run(old.wait_for, 1)
    run(platform.set_fault, "down", None)
    new = start_proxy(platform, seed=2)
    run(new.task.merge, old.task.get_objects())
    run(new.task.wait_ready)
    assert new.task.current == old.task.current
    for proxy in (old, new):
        run(proxy.stop)


@pytest.mark.parametrize("lost_answers", [0, 3])
def test_reports_to_concurrent_operators_match_the_history(platform, lost_answers):
    run(platform.set_fault, "lose_answers", lost_answers)
    client = run(PlatformClient, reactor, platform.url, random.Random(1), 1.0)

    async def race():
        changes = [
            SettingsChange(reactor, client, request, random.Random(row))
            for row, request in enumerate(map(make_request, range(RIVALS)))
        ]
        return await gatherResults(
            [Deferred.fromCoroutine(change.run()) for change in changes]
        )

    results = run(race)
    run(client.close)
    stored = platform.store.get(RULE_PATH)
    made = {record["change_id"] for record in get_records(stored.value)}
    done = {str(row) for row, result in enumerate(results) if is_done(result)}
    assert made == done
    assert len(made) == stored.version >= 1
    failures = [result.failure() for result in results if not is_done(result)]
    assert {failure.kind for failure in failures} <= {FailureKind.CONFLICT}


def make_request(row):
    settings = {"max_age": row}
    return ChangeRequest(RULE_PATH, settings, "ana", "", "2026-01-01", str(row))


def is_done(result):
    return isinstance(result, Success) and isinstance(result.unwrap(), ChangeDone)
