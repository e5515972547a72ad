"""`TargetOpener`: direct and indirect paths to a database."""

from types import SimpleNamespace

from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock

from beryltrack.connections.messages import ConnectRefused, TargetUnreachable
from beryltrack.load.messages import DatabaseReport
from beryltrack.load.owner_loads import ReportedOwnerLoads
from beryltrack.load.reports import TimedReport
from beryltrack.relay.directory import DIRECT_RETRY_INTERVAL, RelayDirectory
from beryltrack.relay.opener import OpenPolicy, TargetOpener
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import DatabaseSettings, Endpoint

DATABASE = DatabaseSettings("db-1", Endpoint("10.0.0.9", 1), "z", 40, 3, False)
OTHERS = ("n1", "n2", "n3")


def make_peer(name):
    return Peer(name, "z", Endpoint(name, 7000))


class Site:
    """An instance among three others; `answers` holds the error of each host."""

    def __init__(self):
        self.clock = Clock()
        self.directory = RelayDirectory(make_peer("me"), self.clock.seconds, 8)
        self.directory.set_peers([make_peer(name) for name in OTHERS])
        self.changes = []
        self.directory.set_reachability_observer(lambda: self.changes.append(1))
        self.answers, self.incarnation = {}, 7
        self.owner_loads = ReportedOwnerLoads(self.clock.seconds)
        self.tried = []
        self.opener = TargetOpener(
            self.clock,
            self.directory,
            self.open_at,
            lambda group, database: True,
            OpenPolicy(0.3, 0.4),
            self.owner_loads,
        )

    def open_at(self, endpoint, group, database, timeout, account):
        self.tried.append(endpoint.host)
        error = self.answers.get(endpoint.host)
        if error is not None:
            return fail(error)
        return succeed(
            SimpleNamespace(
                via="", end_session=lambda: None, incarnation=self.incarnation
            )
        )

    def open(self):
        self.tried.clear()
        outcomes = []
        self.opener.open("g", DATABASE, 1.0).addBoth(outcomes.append)
        return outcomes[0]


def cut_off():
    site = Site()
    site.answers["10.0.0.9"] = TargetUnreachable("nothing came back")
    return site


def test_a_database_that_is_reached_is_opened_directly():
    site = Site()
    assert site.open().via == "" and site.tried == ["10.0.0.9"]


def test_an_unreachable_database_is_opened_through_another_instance_at_once():
    site = cut_off()
    connection = site.open()
    assert connection.via in OTHERS
    assert site.tried == ["10.0.0.9", connection.via]
    # The next connection does not try the direct path first.
    assert site.open().via == connection.via and len(site.tried) == 1


def test_instances_that_do_not_reach_it_either_are_skipped():
    site = cut_off()
    first = site.open().via
    site.answers[first] = ConnectRefused("57P03")
    second = site.open().via
    assert second not in ("", first) and site.tried == [first, second]
    assert site.open().via == second


def test_an_instance_that_stops_reaching_it_is_skipped():
    site = cut_off()
    first = site.open()
    first.on_target_unreachable(False)
    assert site.open().via not in ("", first.via)


def test_a_database_that_no_instance_reaches_fails_after_one_round():
    site = cut_off()
    site.answers |= {name: ConnectRefused("57P03") for name in OTHERS}
    assert site.open().check(ConnectRefused)
    assert sorted(site.tried) == ["10.0.0.9", *OTHERS]


def test_a_full_or_slow_database_is_opened_directly_only():
    for error in (ConnectRefused("53300"), ConnectionError("not ready in time")):
        site = Site()
        site.answers["10.0.0.9"] = error
        assert site.open().check(type(error)) and site.tried == ["10.0.0.9"]
        assert not site.directory.is_unreachable("db-1")


def test_the_direct_path_is_probed_and_then_used():
    site = cut_off()
    site.open()
    site.clock.advance(DIRECT_RETRY_INTERVAL)
    assert site.tried[-1] == "10.0.0.9" and site.directory.is_unreachable("db-1")
    site.answers.clear()
    site.clock.advance(DIRECT_RETRY_INTERVAL)
    assert not site.directory.is_unreachable("db-1") and len(site.changes) == 2
    assert site.open().via == ""


def test_an_instance_that_does_not_answer_is_avoided():
    site = cut_off()
    first = site.open().via
    site.answers[first] = TargetUnreachable("nothing came back")
    assert site.open().via not in ("", first)


REPORT = DatabaseReport(4, 4, (0.5,), 0.01, 7)


def test_load_reports_of_an_owner_are_stored():
    site = cut_off()
    connection = site.open()
    connection.on_report(TimedReport(REPORT, 3.0), site.clock.seconds())
    assert site.owner_loads.get_wait(connection.via, "db-1", 0) == 0.5


def test_a_session_to_a_later_process_voids_earlier_reports():
    site = cut_off()
    connection = site.open()
    connection.on_report(TimedReport(REPORT, 3.0), site.clock.seconds())
    site.incarnation = 8
    assert site.open().via == connection.via
    assert site.owner_loads.get_wait(connection.via, "db-1", 0) == 0.0


def test_an_owner_that_does_not_reach_one_database_is_not_avoided():
    site = Site()
    site.answers = {name: ConnectRefused("57P03", True) for name in OTHERS}
    outcomes = []
    site.opener.open_session("g", DATABASE, OTHERS[0]).addErrback(outcomes.append)
    assert outcomes[0].check(ConnectRefused)
    site.clock.advance(30.0)
    assert site.directory.get_due_probes() == ()
