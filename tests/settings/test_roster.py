"""Membership of registered databases whose entries go missing or are replaced."""

from beryltrack.settings.messages import Endpoint
from beryltrack.settings.roster import (
    MEMBER_EXPIRY,
    MISSING_GRACE,
    GroupLimits,
    Roster,
    RosterEntry,
    SiteConfiguration,
    make_site,
)


def make_entry(name, group="main", draining=False):
    return RosterEntry(name, group, Endpoint("10.0.0.1", 1), "z", 3, draining)


A, B, C, D = map(make_entry, "abcd")


def get_names(roster, now):
    return [entry.name for entry in roster.get_members("main", now)]


def test_an_entry_that_returns_within_the_grace_stays_a_member():
    roster = Roster()
    roster.observe((A, B, C), 0.0)
    roster.observe((A,), 1.0)
    assert roster.get_members("main", 1.0 + MISSING_GRACE - 0.1) == (A, B, C)
    roster.observe((A, B, C), 3.0)
    assert roster.get_members("main", 9.0) == (A, B, C)


def test_a_missing_database_gets_no_new_work_after_the_grace():
    roster = Roster()
    roster.observe((A, B, C), 0.0)
    roster.observe((A, B), 1.0)
    due = roster.get_next_check(1.0)
    assert due == 1.0 + MISSING_GRACE
    *_, last = roster.get_members("main", due)
    assert last == C._replace(draining=True)


def test_a_missing_database_is_dropped_after_the_grace_in_a_large_enough_group():
    roster = Roster()
    roster.observe((A, B, C), 0.0)
    roster.observe((A, B, D), 1.0)
    assert get_names(roster, 1.5) == ["a", "b", "c", "d"]
    assert get_names(roster, 1.0 + MISSING_GRACE) == ["a", "b", "d"]


def test_groups_are_separate_and_empty_ones_are_omitted():
    roster = Roster()
    roster.observe((A, make_entry("x", "other")), 0.0)
    groups = (GroupLimits("main", 20), GroupLimits("none", 20))
    site = make_site(SiteConfiguration(4, (), groups, 3.0), roster, 0.5, 0.0)
    assert [group.name for group in site.groups] == ["main"]
    assert site.groups[0].databases[0].max_connections == 20
    assert (site.revision, site.transaction_idle) == (4, 3.0)


def test_a_missing_database_is_a_member_until_the_others_have_caught_up():
    roster = Roster()
    roster.observe((A, B, C), 0.0)
    roster.observe((A, B), 1.0)
    assert get_names(roster, 1.0 + MEMBER_EXPIRY - 0.1) == ["a", "b", "c"]
    assert get_names(roster, 1.0 + MEMBER_EXPIRY) == ["a", "b"]


def test_a_group_is_never_left_with_one_database():
    roster = Roster()
    roster.observe((A, B), 0.0)
    roster.observe((A,), 1.0)
    assert get_names(roster, 99.0) == ["a", "b"]


def test_a_restarted_database_replaces_its_earlier_incarnation_at_once():
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((before, B, C), 0.0)
    roster.observe((after, B, C), 1.0)
    assert get_names(roster, 1.0) == ["a@2000", "b", "c"]
    assert roster.get_next_check(1.0) is None


def test_an_entry_without_a_start_time_is_not_a_restart():
    roster = Roster()
    roster.observe((make_entry("a@1000"), B, C), 0.0)
    roster.observe((make_entry("a", draining=True), B, C), 1.0)
    first, *_ = roster.get_members("main", 1.0)
    assert (first.name, first.draining) == ("a@1000", True)


def test_a_restart_while_the_entry_is_missing_makes_another_member():
    roster = Roster()
    roster.observe((make_entry("a@1000"), B, C), 0.0)
    roster.observe((B, C), 1.0)
    roster.observe((make_entry("a@2000"), B, C), 2.0)
    assert get_names(roster, 2.0) == ["a@2000", "b", "c"]


def test_an_earlier_start_is_not_accepted_at_once_in_a_new_era():
    """A store restored from a backup holds entries from before the backup."""
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((after, B, C), 0.0, era=1)
    roster.observe((before, B, C), 1.0, era=2)
    assert roster.get_members("main", 1.0 + MISSING_GRACE - 0.1) == (after, B, C)
    roster.observe((after, B, C), 3.0, era=2)
    assert roster.get_members("main", 20.0) == (after, B, C)


def test_an_earlier_start_that_stays_is_accepted_after_the_grace():
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((after, B, C), 0.0, era=1)
    roster.observe((before, B, C), 1.0, era=2)
    roster.observe((before, B, C), 1.0 + MISSING_GRACE, era=2)
    assert roster.get_members("main", 1.0 + MISSING_GRACE) == (before, B, C)


def test_an_earlier_start_is_not_accepted_while_the_store_is_silent():
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((after, B, C), 0.0, era=1)
    roster.observe((before, B, C), 1.0, era=2)
    assert roster.get_members("main", 60.0) == (after, B, C)


def test_the_grace_starts_again_with_each_restore():
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((after, B, C), 0.0, era=1)
    roster.observe((before, B), 1.0, era=2)
    roster.observe((before, B), 3.0, era=3)
    later = 3.0 + MISSING_GRACE - 0.1
    roster.observe((before, B), later, era=3)
    assert roster.get_members("main", later) == (after, B, C)


def test_within_an_era_the_last_entry_is_accepted():
    roster = Roster()
    before, after = make_entry("a@1000"), make_entry("a@2000")
    roster.observe((after, B, C), 0.0, era=1)
    roster.observe((before, B, C), 1.0, era=1)
    assert roster.get_members("main", 1.0) == (before, B, C)


def test_a_draining_database_gets_no_work_after_the_store_is_restored():
    roster = Roster()
    leaving = make_entry("a", draining=True)
    roster.observe((leaving, B, C), 0.0, era=1)
    roster.observe((A, B, C), 1.0, era=2)
    roster.observe((A, B, C), 1.0 + MISSING_GRACE - 0.1, era=2)
    assert roster.get_members("main", 1.0 + MISSING_GRACE - 0.1) == (leaving, B, C)
    roster.observe((A, B, C), 1.0 + MISSING_GRACE, era=2)
    assert roster.get_members("main", 1.0 + MISSING_GRACE) == (A, B, C)


def get_leaving_times(roster, now):
    members = roster.get_members("main", now)
    return [roster.get_leaving_since(entry) for entry in members]


def test_a_database_leaves_since_its_first_report_also_after_a_crash():
    """Guards against a leaving database that crashes, returns and counts anew."""
    roster = Roster()
    leaving = make_entry("a", draining=True)._replace(changed_after=7.0)
    roster.observe((leaving, B, C), 10.0)
    roster.observe((B, C), 12.0, removed_after=11.0)
    assert get_leaving_times(roster, 12.0) == [7.0, None, None]
    roster.observe((leaving._replace(changed_after=13.0), B, C), 14.0)
    assert get_leaving_times(roster, 14.0) == [7.0, None, None]
    roster.observe((A, B, C), 15.0)
    assert get_leaving_times(roster, 15.0) == [None, None, None]


def test_a_missing_database_leaves_since_its_entry_was_last_there():
    """Guards against a grace that adds to the time of a database that is gone."""
    roster = Roster()
    roster.observe((A, B), 0.0)
    roster.observe((B,), 5.0, removed_after=2.0)
    assert get_leaving_times(roster, 5.0 + MISSING_GRACE) == [2.0, None]
