"""What is known of a database's load by what owners told, and for how long."""

import random

import pytest
from twisted.internet.task import Clock

from beryltrack.load.messages import DatabaseReport
from beryltrack.load.owner_loads import REPORT_EXPIRY, ReportedOwnerLoads
from beryltrack.load.reports import TimedReport

START = 100.0
"""What this instance's clock shows when the owner's process starts."""


class Site:
    """An instance and the clock of one owner, which started some time ago."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(START + 50.0)
        self.own = {}
        self.owner_loads = ReportedOwnerLoads(self.clock.seconds, self.own.get)

    def tell(self, reported_at, *waits, incarnation=7, took=0.0, service_time=0.01):
        """Tell what was told at a time by this instance's clock, as it arrives now."""
        report = DatabaseReport(4, 4, waits, service_time, incarnation)
        told = TimedReport(report, reported_at - START)
        self.owner_loads.observe("owner", "db", told, self.clock.seconds() - took)

    def get_wait(self, priority=0, owner="owner"):
        return self.owner_loads.get_wait(owner, "db", priority)


@pytest.fixture
def site():
    return Site()


def test_nothing_is_known_before_an_owner_tells(site):
    assert site.get_wait() == 0.0 and site.owner_loads.get_service_time("db") == 0.0


def test_a_wait_is_told_by_priority(site):
    site.tell(150.0, 0.1, 0.4)
    assert [site.get_wait(each) for each in (0, 1, 3)] == [0.1, 0.4, 0.4]
    assert site.get_wait(owner="other") == 0.0


def test_what_was_told_drains_with_the_time(site):
    site.tell(150.0, 0.5, 3.0)
    site.clock.advance(0.25)
    assert [site.get_wait(each) for each in (0, 1)] == [0.25, 2.75]
    site.clock.advance(0.5)
    assert [site.get_wait(each) for each in (0, 1)] == [0.0, 2.25]


def test_what_was_told_a_second_ago_is_void(site):
    site.tell(150.0, 3.0)
    site.clock.advance(REPORT_EXPIRY)
    assert site.get_wait() == 0.0 and site.owner_loads.get_service_time("db") == 0.0


def test_a_report_that_comes_twice_does_not_count_from_the_second_time(site):
    site.tell(150.0, 3.0)
    site.clock.advance(0.75)
    site.tell(150.0, 3.0)
    assert site.get_wait() == 2.25
    site.clock.advance(0.25)
    assert site.get_wait() == 0.0


def test_a_report_that_was_overtaken_is_void(site):
    site.tell(150.0, 1.0)
    site.clock.advance(0.5)
    site.tell(150.5, 0.0)
    site.tell(150.25, 3.0)
    assert site.get_wait() == 0.0


def test_reports_that_were_held_up_on_the_way_are_as_old_as_they_are(site):
    site.tell(149.0, 0.0)
    site.clock.advance(0.5)
    site.tell(149.5, 0.0)
    site.clock.advance(3.0)
    # Told 2.75 s ago: the owner's queue has been another one since.
    site.tell(149.75, 3.0, took=3.0)
    assert site.get_wait() == 0.0


def test_the_first_report_counts_from_when_its_statement_was_sent(site):
    """How long the first message took is not known."""
    site.tell(150.0, 3.0, took=0.5)
    assert site.get_wait() == 2.5


def test_a_report_is_no_older_than_its_statement(site):
    site.tell(150.0, 3.0)
    site.clock.advance(8.0)
    site.tell(156.0, 3.0, took=0.25)
    assert site.get_wait() == 2.75


def test_after_a_long_silence_a_report_is_as_old_as_its_statement(site):
    """The clocks may have run apart: its delay cannot be told from their drift."""
    site.tell(150.0, 0.0)
    site.clock.advance(3600.0)
    site.tell(3749.0, 3.0, took=0.75)
    assert site.get_wait() == 2.25


def test_lost_reports_leave_what_was_told_before_until_it_is_void(site):
    told = [0.9, 0.8, 0.7]
    for at, wait in enumerate(told):
        if at != 1:
            site.tell(150.0 + at * 0.25, wait)
        site.clock.advance(0.25)
    assert site.get_wait() == pytest.approx(0.45)


def test_what_an_earlier_process_told_is_void_with_the_first_word_of_a_later_one(site):
    site.tell(150.0, 3.0)
    site.owner_loads.observe_owner("owner", 8)
    assert site.get_wait() == 0.0


def test_a_report_of_an_earlier_process_that_comes_late_is_void(site):
    site.tell(150.0, 0.1, incarnation=8)
    site.tell(150.5, 3.0, incarnation=7)
    assert site.get_wait() == 0.1


def test_an_owner_whose_clock_was_set_back_is_believed_again_after_a_while(site):
    site.tell(150.0, 0.1, incarnation=8)
    site.clock.advance(REPORT_EXPIRY)
    site.tell(151.0, 3.0, incarnation=7)
    assert site.get_wait() == 3.0


def test_an_owner_killed_with_a_full_queue_is_asked_as_soon_as_it_is_back(site):
    site.tell(150.0, 5.0)
    site.clock.advance(0.25)
    # The new process counts from its own start, and has nothing to tell yet.
    site.owner_loads.observe_owner("owner", 9)
    assert site.get_wait() == 0.0
    site.tell(100.125, 0.25, incarnation=9)
    assert site.get_wait() == 0.25


def test_own_connections_are_known_by_this_instance_itself(site):
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


def test_the_work_of_a_database_is_found_whatever_others_tell(site):
    """Each read asks for it, in a fleet of a thousand databases."""
    report = DatabaseReport(4, 4, (0.0,), 0.02, 7)
    for number in range(1000):
        told = TimedReport(report, 50.0)
        site.owner_loads.observe("owner", CountedName(f"db{number}"), told, 150.0)
    CountedName.compared = 0
    assert site.owner_loads.get_service_time(CountedName("db7")) == 0.02
    assert CountedName.compared < 10


def test_a_report_counts_for_no_longer_than_a_second_whatever_its_way(site):
    """Delays up to 2 s, doubled and reordered messages: what is used is never older."""
    rng = random.Random(4)
    site.tell(150.0, 0.0)
    arrivals = sorted(
        (at + delay, at)
        for at in (150.0 + step / 16 for step in range(1, 400))
        for delay in (rng.choice((0.0, 0.25, 2.0)) for _ in range(2))
    )
    newest = 150.0
    for arrives_at, reported_at in arrivals:
        site.clock.advance(arrives_at - site.clock.seconds())
        site.tell(reported_at, 100.0, took=2.5)
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


def test_the_work_at_a_database_is_found_without_a_look_at_all_others(site):
    """It is asked for each database of each request, and there are a thousand."""
    report = DatabaseReport(4, 4, (0.0,), 0.01, 7)
    for number in range(1000):
        told = TimedReport(report, site.clock.seconds() - START)
        site.owner_loads.observe(
            "owner", Name(f"db{number}"), told, site.clock.seconds()
        )
    Name.compared = 0
    assert site.owner_loads.get_service_time(Name("db7")) == 0.01
    assert Name.compared < 10


def test_what_an_earlier_process_told_of_any_database_is_forgotten(site):
    for name in ("db", "other"):
        told = TimedReport(DatabaseReport(4, 4, (3.0,), 0.01, 7), 50.0)
        site.owner_loads.observe("owner", name, told, site.clock.seconds())
    site.owner_loads.observe_owner("owner", 8)
    for name in ("db", "other"):
        assert site.owner_loads.get_wait("owner", name, 0) == 0.0
        assert site.owner_loads.get_service_time(name) == 0.0
