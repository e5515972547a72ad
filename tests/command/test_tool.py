"""End-to-end tests of the tool: changes, findings, conflicts, outages, exit codes."""

import json

import pytest
from cleo.testers.application_tester import ApplicationTester
from twisted.internet import reactor

from beryltrack.command.main import build_application
from beryltrack.command.report import ExitCode
from beryltrack.daemon.health import build_health_site
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.registration import RegistrationTask
from beryltrack.settings.messages import Endpoint
from tests.command.tool import running_tool
from tests.daemon.examples import STATUS
from tests.reactor_thread import run
from tests.settings.examples import GROUP_PATH, RULE_PATH, make_group

SET = f"settings set {RULE_PATH} -"
FIVE, SIX = '{"max_age": 5}', '{"max_age": 6}'


@pytest.fixture
def tool(monkeypatch):
    for module in ("objects.http", "settings.change"):
        monkeypatch.setattr(f"beryltrack.{module}.compute_delay", lambda *_: 0.01)
    with running_tool() as site:
        yield site


def apply(tool, wanted, verb="apply"):
    return tool.call_json(f"settings {verb} -", json.dumps(wanted))


def test_object_is_written_shown_and_has_a_history(tool):
    assert tool.call(f"{SET} --who ana --why first", FIVE).code == ExitCode.OK
    assert tool.call(f"{SET} --who bo", SIX).code == ExitCode.OK
    code, shown = tool.call_json(f"settings get {RULE_PATH}")
    assert (code, shown["settings"], shown["version"]) == (0, {"max_age": 6}, 2)
    records = tool.call_json(f"settings history {RULE_PATH}")[1]["records"]
    assert [(item["who"], item["why"]) for item in records] == [
        ("bo", ""),
        ("ana", "first"),
    ]
    assert records[0]["before"] == {"max_age": 5}


def test_deleted_object_keeps_its_history(tool):
    tool.call(SET, FIVE)
    assert tool.call(f"settings delete {RULE_PATH}").code == ExitCode.OK
    assert tool.call(f"settings get {RULE_PATH}").code == ExitCode.FINDINGS
    assert tool.call_json("settings get settings/shop/")[1]["objects"] == []
    history = tool.call(f"settings history {RULE_PATH}").text
    assert 'replaced: {"max_age": 5}' in history


def test_history_of_a_team_shows_the_newest_change_first(tool):
    apply(tool, {RULE_PATH: {"max_age": 1}, GROUP_PATH: make_group()})
    tool.call(SET, FIVE)
    records = tool.call_json("settings history settings/shop/")[1]["records"]
    assert [item["path"] for item in records][0] == RULE_PATH
    assert len(records) == 3
    assert tool.call("settings history settings/depot/").text == ""


def test_all_findings_are_shown_and_nothing_is_written(tool):
    wanted = {RULE_PATH: {"max_age": -1, "reads": "x"}, GROUP_PATH: make_group()}
    code, report = apply(tool, wanted)
    assert code == ExitCode.FINDINGS
    assert [item["place"] for item in report["findings"]] == ["/max_age", "/reads"]
    assert tool.platform.store.revision == 0


def test_invalid_settings_file_has_findings(tool):
    for text in ("[]", "{", '{"a": 1, "a": 2}'):
        assert tool.call("settings apply -", text).code == ExitCode.FINDINGS
    assert tool.call("settings apply /nonexistent").code == ExitCode.FINDINGS


def test_check_and_diff_write_nothing(tool):
    tool.call(SET, FIVE)
    wanted = json.dumps({RULE_PATH: {"max_age": 6}})
    assert '+  "max_age": 6' in tool.call("settings diff -", wanted).text
    assert tool.call("settings check -", wanted).text == "no findings\n"
    assert tool.platform.store.revision == 1


def test_check_of_the_store_finds_objects_not_written_by_the_tool(tool):
    assert tool.call("settings check").code == ExitCode.OK
    tool.write(RULE_PATH, {"settings": {"max_age": "x"}})
    code, report = tool.call_json("settings check")
    assert code == ExitCode.FINDINGS
    assert report["findings"][0]["place"] == "/max_age"


def test_second_apply_of_several_objects_changes_nothing(tool):
    wanted = {GROUP_PATH: make_group(), RULE_PATH: {"group": "orders", "max_age": 1}}
    code, report = apply(tool, wanted)
    assert (code, report["outcome"]) == (ExitCode.OK, "ok")
    assert [item["outcome"] for item in report["changes"]] == ["done", "done"]
    report = apply(tool, wanted)[1]
    assert [item["outcome"] for item in report["changes"]] == ["unchanged"] * 2
    assert tool.platform.store.revision == 2


def test_team_option_refuses_paths_of_other_teams(tool):
    assert tool.call(f"{SET} --team depot", FIVE).code == ExitCode.FINDINGS
    assert tool.call(f"{SET} --team shop", FIVE).code == ExitCode.OK


def test_write_with_an_outdated_version_gets_a_conflict(tool):
    tool.call(SET, FIVE)
    assert tool.call(f"{SET} --if-version 1", SIX).code == ExitCode.OK
    code, report = tool.call_json(f"{SET} --if-version 1", '{"max_age": 7}')
    assert code == ExitCode.CONFLICT
    assert report["changes"][0]["version"] == 2
    assert "not 1" in report["changes"][0]["text"]


def test_apply_stops_at_the_first_conflict_and_reports_outcomes(tool):
    paths = [f"settings/shop/rules/r{number}" for number in range(3)]
    put = tool.platform.store.put

    def put_after_a_rival(path, value, if_version):
        if path == paths[1]:
            put(path, {"settings": {"max_age": 9}}, None)
        return put(path, value, if_version)

    tool.platform.store.put = put_after_a_rival
    code, report = apply(tool, dict.fromkeys(paths, {"max_age": 1}))
    assert code == ExitCode.CONFLICT
    outcomes = [item["outcome"] for item in report["changes"]]
    assert outcomes == ["done", "conflict", "not tried"]


def test_lost_answer_is_resolved_and_the_change_made_once(tool):
    tool.fault("lose_answers", 1)
    code, report = tool.call_json(SET, FIVE)
    assert (code, report["changes"][0]["outcome"]) == (ExitCode.OK, "done")
    assert tool.platform.store.revision == 1


def test_outage_after_a_lost_answer_leaves_the_outcome_unknown(tool):
    put = tool.platform.store.put

    def put_and_go_down(*arguments):
        tool.platform.set_fault("down", None)
        tool.platform.set_fault("lose_answers", 1)
        return put(*arguments)

    tool.platform.store.put = put_and_go_down
    assert tool.call(SET, FIVE).code == ExitCode.UNKNOWN
    assert tool.platform.store.revision == 1


def test_store_that_is_down_is_unavailable(tool):
    tool.fault("down")
    for arguments in (SET, f"settings get {RULE_PATH}", "settings check", "status"):
        assert tool.call(arguments, FIVE).code == ExitCode.UNAVAILABLE
    assert tool.platform.store.revision == 0


def test_invalid_command_line_has_its_own_exit_code(tool, monkeypatch):
    for arguments in ("settings get", "nonsense", "settings get a --colour"):
        assert tool.call(arguments).code == ExitCode.USAGE
        code, report = tool.call_json(arguments)
        assert (code, report["outcome"]) == (ExitCode.USAGE, "usage")
    assert tool.call(f"{SET} --if-version x", FIVE).code == ExitCode.USAGE
    assert tool.call("status --at nowhere").code == ExitCode.USAGE
    monkeypatch.delenv("BERYLTRACK_PLATFORM", raising=False)
    tester = ApplicationTester(build_application())
    assert tester.execute("settings check") == ExitCode.USAGE


def test_fault_of_the_tool_is_no_finding():
    def fail(platform_url, action):
        raise RuntimeError("interrupted")

    tester = ApplicationTester(build_application(fail))
    assert tester.execute("settings check --platform http://x") == ExitCode.INTERNAL


def test_status_queries_each_instance_and_shows_missing_answers(tool):
    site = build_health_site(lambda: True, lambda: b"", lambda: STATUS)
    port = run(reactor.listenTCP, 0, site, interface="127.0.0.1")
    client = PlatformClient(reactor, tool.platform.url)
    tasks = [
        RegistrationTask(reactor, client, name, Endpoint("127.0.0.1", number))
        for name, number in (("p1", port.getHost().port), ("p2", 1))
    ]
    for task in tasks:
        run(task.start)
    gone = {"status_endpoint": {"host": "127.0.0.1", "port": 1}, "since": 0}
    tool.write("status/instances/gone", gone)
    entry = {"host": "127.0.0.1", "port": 1, "zone": "a", "state": "live"}
    for name in ("p2", "p3"):
        run(tool.platform._apply_instance_change, name, entry | {"name": name})
    code, fleet = tool.call_json("status")
    calls = tool.platform.calls["total"]
    text = tool.call("status").text
    assert tool.platform.calls["total"] == calls + 2
    at = tool.call(f"status --at 127.0.0.1:{port.getHost().port}").text
    for task in tasks:
        run(task.stop)
    run(client.close)
    run(port.stopListening)
    assert code == ExitCode.OK
    states = [item["state"] for item in fleet["instances"]]
    assert states == ["live", "no answer", "no address in the store"]
    assert "orders: term 2, primary db0, seen so by 1 of 1 instances" in text
    assert "75.0% of reads by replicas" in at
    left = tool.platform.store.list("status/instances/")
    assert [item.path for item in left] == ["status/instances/gone"]
