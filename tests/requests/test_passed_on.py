"""A unit refused by an owner as over a limit runs at one with quota share left."""

from types import SimpleNamespace

from returns.result import Success

from beryltrack.errors import CONFIGURATION_LIMIT_EXCEEDED
from beryltrack.requests import flow
from beryltrack.requests.targets import FoundTarget
from beryltrack.routing.messages import StatementKind
from tests.requests.scripted import (
    FakePool,
    ScriptedConnection,
    make_context,
    make_end,
    run_to_end,
)


def make_connection(via, *script):
    connection = ScriptedConnection(*script)
    connection.via = via
    return connection


def refuse(via):
    text = f"refused by {via}".encode()
    end = make_end(sqlstate=CONFIGURATION_LIMIT_EXCEEDED, tail=text)
    return make_connection(via, end)


class Site:
    """Runs one unit at several owners, in order."""

    def __init__(self, monkeypatch, *connections, left=0):
        self.found, self.asked, self.pool = list(connections), [], FakePool()
        self.left = left

        async def find_target(search, request):
            return Success(FoundTarget("main-1", False, self.pool, self.found.pop(0)))

        async def wait_to_retry(each):
            raise AssertionError("it is rerouted without a wait")

        monkeypatch.setattr(flow, "find_target", find_target)
        monkeypatch.setattr(flow.RequestFlow, "_make_request", lambda self: None)
        monkeypatch.setattr(flow.RequestFlow, "_wait_to_retry", wait_to_retry)

    def observe_quota_refusal(self, account, via):
        self.asked.append(via)
        self.left -= 1
        return self.left >= 0

    def run(self, kind=StatementKind.WRITE):
        context, transport = make_context("text", kind)
        account_owners = SimpleNamespace(
            observe_quota_refusal=self.observe_quota_refusal
        )
        services = context.services._replace(account_owners=account_owners)
        context = context._replace(services=services)
        run_to_end(context, flow.RequestFlow(context).run())
        return transport.sent


def test_a_unit_runs_at_another_zones_owner(monkeypatch):
    end = make_end(position=5, tail=b"done")
    site = Site(monkeypatch, refuse("one"), make_connection("two", end), left=1)
    assert b"done" in site.run()
    assert site.asked == ["one"] and site.pool.released == [True, True]


def test_the_last_refusal_is_the_answer(monkeypatch):
    site = Site(monkeypatch, refuse("one"), refuse("two"), left=1)
    sent = site.run()
    assert b"refused by two" in sent and b"refused by one" not in sent
    assert site.asked == ["one", "two"]


def test_rerouting_ends_after_the_maximum_attempts(monkeypatch):
    many = [refuse(f"owner-{number}") for number in range(10)]
    site = Site(monkeypatch, *many, left=99)
    site.run()
    assert len(site.asked) == flow.MAX_ATTEMPTS - 1


def test_a_refusal_by_the_database_itself_is_not_rerouted(monkeypatch):
    site = Site(monkeypatch, refuse(""), left=1)
    site.run()
    assert site.asked == [] and site.found == []
