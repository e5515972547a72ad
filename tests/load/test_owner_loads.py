"""Estimates of the owners' load from their reports, and when those expire."""

import random

import pytest
from twisted.internet.task import Clock

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.owner_loads import REPORT_EXPIRY, ReportedOwnerLoads
from beryltrack.load.reports import TimedReport

START = 100.0
"""Time by this instance's clock when the owner's process starts, seconds."""


class Site:
    """An instance, and one owner whose process started 50 s ago."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(START + 50.0)
        self.own = {}
        self.owner_loads = ReportedOwnerLoads(self.clock.seconds, self.own.get)

    def report(self, reported_at, *waits, incarnation=7, took=0.0, service_time=0.01):
        """Receive a report now that was made at a time by this instance's clock."""
        report = DatabaseReport(4, 4, waits, service_time, incarnation)
        timed = TimedReport(report, reported_at - START)
        self.owner_loads.observe("owner", "db", timed, self.clock.seconds() - took)

    def get_wait(self, priority=0, owner="owner"):
        return self.owner_loads.get_wait(owner, "db", priority)


@pytest.fixture
def site():
    return Site()


def test_without_a_report_nothing_is_assumed(site):
    assert site.get_wait() == 0.0 and site.owner_loads.get_service_time("db") == 0.0


def test_the_wait_is_that_of_the_priority(site):
    site.report(150.0, 0.1, 0.4)
    assert [site.get_wait(each) for each in (0, 1, 3)] == [0.1, 0.4, 0.4]
    assert site.get_wait(owner="other") == 0.0


def test_a_reported_wait_falls_as_time_passes(site):
    site.report(150.0, 0.5, 3.0)
    site.clock.advance(0.25)
    assert [site.get_wait(each) for each in (0, 1)] == [0.25, 2.75]
    site.clock.advance(0.5)
    assert [site.get_wait(each) for each in (0, 1)] == [0.0, 2.25]


def test_a_report_expires_after_a_second(site):
    site.report(150.0, 3.0)
    site.clock.advance(REPORT_EXPIRY)
    assert site.get_wait() == 0.0 and site.owner_loads.get_service_time("db") == 0.0


def test_a_duplicate_report_is_no_younger_than_the_first(site):
    site.report(150.0, 3.0)
    site.clock.advance(0.75)
    site.report(150.0, 3.0)
    assert site.get_wait() == 2.25
    site.clock.advance(0.25)
    assert site.get_wait() == 0.0


def test_a_report_that_was_overtaken_is_ignored(site):
    site.report(150.0, 1.0)
    site.clock.advance(0.5)
    site.report(150.5, 0.0)
    site.report(150.25, 3.0)
    assert site.get_wait() == 0.0


def test_a_delayed_report_counts_from_when_it_was_made(site):
    site.report(149.0, 0.0)
    site.clock.advance(0.5)
    site.report(149.5, 0.0)
    site.clock.advance(3.0)
    # Made 2.75 s ago: the owner's queue has changed since.
    site.report(149.75, 3.0, took=3.0)
    assert site.get_wait() == 0.0


def test_the_first_report_counts_from_when_its_statement_was_sent(site):
    """The delay of the first message is unknown."""
    site.report(150.0, 3.0, took=0.5)
    assert site.get_wait() == 2.5


def test_a_report_is_no_older_than_its_statement(site):
    site.report(150.0, 3.0)
    site.clock.advance(8.0)
    site.report(156.0, 3.0, took=0.25)
    assert site.get_wait() == 2.75


def test_after_a_long_silence_a_report_is_as_old_as_its_statement(site):
    """The clocks may have drifted: the delay cannot be told from the drift."""
    site.report(150.0, 0.0)
    site.clock.advance(3600.0)
    site.report(3749.0, 3.0, took=0.75)
    assert site.get_wait() == 2.25


def test_after_lost_reports_the_last_one_counts_until_it_expires(site):
    waits = [0.9, 0.8, 0.7]
    for at, wait in enumerate(waits):
        if at != 1:
            site.report(150.0 + at * 0.25, wait)
        site.clock.advance(0.25)
    assert site.get_wait() == pytest.approx(0.45)


def test_the_first_answer_of_a_new_process_drops_reports_of_the_old_one(site):
    site.report(150.0, 3.0)
    site.owner_loads.observe_owner("owner", 8)
    assert site.get_wait() == 0.0


def test_a_late_report_of_an_earlier_process_is_ignored(site):
    site.report(150.0, 0.1, incarnation=8)
    site.report(150.5, 3.0, incarnation=7)
    assert site.get_wait() == 0.1


def test_reports_of_an_owner_whose_clock_was_set_back_count_after_a_second(site):
    site.report(150.0, 0.1, incarnation=8)
    site.clock.advance(REPORT_EXPIRY)
    site.report(151.0, 3.0, incarnation=7)
    assert site.get_wait() == 3.0


def test_an_owner_killed_with_a_full_queue_has_no_wait_once_it_is_back(site):
    site.report(150.0, 5.0)
    site.clock.advance(0.25)
    # The new process counts from its own start, and has nothing to report yet.
    site.owner_loads.observe_owner("owner", 9)
    assert site.get_wait() == 0.0
    site.report(100.125, 0.25, incarnation=9)
    assert site.get_wait() == 0.25


def test_own_connections_have_this_instances_own_report(site):
    site.own["db"] = DatabaseReport(4, 4, (0.2,), 0.03, 7)
    assert (
        site.get_wait(owner="") == 0.2
        and site.owner_loads.get_service_time("db") == 0.03
    )


class CountedName(str):
    """A database's name that counts how often it is compared."""

    compared = 0

    def __eq__(self, other):
        CountedName.compared += 1
        return str.__eq__(self, other)

    __hash__ = str.__hash__


def test_the_service_time_is_found_whatever_other_databases_report(site):
    """Each read looks it up; a scan of a thousand databases would be too slow."""
    report = DatabaseReport(4, 4, (0.0,), 0.02, 7)
    for number in range(1000):
        timed = TimedReport(report, 50.0)
        site.owner_loads.observe("owner", CountedName(f"db{number}"), timed, 150.0)
    CountedName.compared = 0
    assert site.owner_loads.get_service_time(CountedName("db7")) == 0.02
    assert CountedName.compared < 10


def test_no_report_counts_for_longer_than_a_second(site):
    """Delays up to 2 s, duplicates and reordering: none older than that is used."""
    rng = random.Random(4)
    site.report(150.0, 0.0)
    arrivals = sorted(
        (at + delay, at)
        for at in (150.0 + step / 16 for step in range(1, 400))
        for delay in (rng.choice((0.0, 0.25, 2.0)) for _ in range(2))
    )
    newest = 150.0
    for arrives_at, reported_at in arrivals:
        site.clock.advance(arrives_at - site.clock.seconds())
        site.report(reported_at, 100.0, took=2.5)
        newest = max(newest, reported_at)
        if site.get_wait():
            assert site.clock.seconds() - newest <= REPORT_EXPIRY


class Name(str):
    """A name that counts how often it is compared."""

    compared = 0
    __hash__ = str.__hash__

    def __eq__(self, other):
        Name.compared += 1
        return str.__eq__(self, other)


def test_the_service_time_is_found_without_a_scan_of_all_databases(site):
    """It is looked up for each database of each request, and there are a thousand."""
    report = DatabaseReport(4, 4, (0.0,), 0.01, 7)
    for number in range(1000):
        timed = TimedReport(report, site.clock.seconds() - START)
        site.owner_loads.observe(
            "owner", Name(f"db{number}"), timed, site.clock.seconds()
        )
    Name.compared = 0
    assert site.owner_loads.get_service_time(Name("db7")) == 0.01
    assert Name.compared < 10


def test_a_new_process_drops_the_reports_on_all_databases(site):
    for name in ("db", "other"):
        timed = TimedReport(DatabaseReport(4, 4, (3.0,), 0.01, 7), 50.0)
        site.owner_loads.observe("owner", name, timed, site.clock.seconds())
    site.owner_loads.observe_owner("owner", 8)
    for name in ("db", "other"):
        assert site.owner_loads.get_wait("owner", name, 0) == 0.0
        assert site.owner_loads.get_service_time(name) == 0.0
