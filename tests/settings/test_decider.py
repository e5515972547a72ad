"""Merging of object versions: the result does not depend on the order of arrival."""

from itertools import permutations

from beryltrack.objects.messages import ObjectList
from beryltrack.settings.decider import SettingsDecider
from tests.settings.examples import (
    GROUP_PATH,
    RULE_PATH,
    make_deletion,
    make_group,
    make_object,
)

BAD = {"databases": 3}


def test_object_missing_from_a_list_is_deleted_and_stays_deleted():
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 3, make_group()),))
    update = decider.observe_list(ObjectList(5, ()))
    assert update.objects == (make_deletion(GROUP_PATH, 5),)
    assert decider.current.groups == ()
    decider.merge((make_object(GROUP_PATH, 4, make_group()),))
    assert decider.current.groups == ()


def test_every_order_of_arrival_converges():
    objects = (
        make_object(GROUP_PATH, 3, make_group(max_age=1)),
        make_object(GROUP_PATH, 7, make_group(max_age=2)),
        make_object(RULE_PATH, 4, {"max_age": 5}),
        make_deletion(RULE_PATH, 6),
    )
    for order in permutations(objects):
        decider = SettingsDecider()
        for item in order:
            decider.merge((item,))
        assert decider.current.revision == 7
        assert decider.current.groups[0].max_age == 2
        assert decider.current.rules == ()


def test_list_older_than_an_object_does_not_delete_it():
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 9, make_group()),))
    decider.observe_list(ObjectList(5, ()))
    assert len(decider.current.groups) == 1


def test_object_deleted_before_the_list_is_not_merged_from_a_peer():
    decider = SettingsDecider()
    decider.observe_list(ObjectList(5, ()))
    assert decider.merge((make_object(GROUP_PATH, 4, make_group()),)).objects == ()
    assert decider.merge((make_object(GROUP_PATH, 6, make_group()),)).changed


def test_object_deleted_twice_is_not_restored_by_an_older_list():
    # A stale list brings back an object that was written again and deleted since.
    decider = SettingsDecider()
    decider.observe_changes(ObjectList(2, (make_deletion(RULE_PATH, 2),)))
    decider.observe_list(ObjectList(4, ()))
    stale = make_object(RULE_PATH, 3, {"max_age": 1})
    decider.observe_list(ObjectList(3, (stale,)))
    assert decider.current.rules == ()


def test_invalid_object_is_reported_and_the_last_valid_one_stays_in_force():
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 3, make_group(max_age=4)),))
    update = decider.merge((make_object(GROUP_PATH, 5, BAD),))
    assert not update.changed
    assert update.findings[0].source == GROUP_PATH
    assert decider.current.groups[0].max_age == 4
    assert decider.objects[0].version == 5


def test_proxy_that_never_saw_the_valid_settings_takes_them_from_the_history():
    records = [{"before": BAD}, {"before": make_group(max_age=4)}, {"before": None}]
    item = make_object(GROUP_PATH, 5, BAD, audit=records[0], history=records[1:])
    decider = SettingsDecider()
    decider.merge((item,))
    assert decider.current.groups[0].max_age == 4
    assert decider.findings


def test_compact_objects_give_peers_the_same_settings_and_findings():
    records = [{"before": BAD}, {"before": make_group(max_age=4)}] * 5
    bad = make_object(GROUP_PATH, 5, BAD, audit=records[0], history=records[1:])
    good = make_object(RULE_PATH, 6, {"max_age": 5}, audit=records[0], history=records)
    first, second = SettingsDecider(), SettingsDecider()
    compact = first.merge((bad, good)).objects
    assert second.merge(compact).objects == compact
    assert second.current == first.current
    assert second.findings == first.findings
    assert compact[0].value["audit"] == {"before": make_group(max_age=4)}
    assert compact[1].value == {"settings": {"max_age": 5}, "created": ""}


def test_deleted_settings_do_not_come_back_with_an_invalid_object():
    records = [{"before": None}, {"before": make_group()}]
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 3, make_group()),))
    bad = make_object(GROUP_PATH, 5, BAD, audit=records[0], history=records[1:])
    assert decider.merge((bad,)).changed
    assert decider.current.groups == ()


def test_finding_is_removed_when_the_object_is_corrected():
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 3, BAD),))
    decider.merge((make_object(GROUP_PATH, 4, make_group()),))
    assert decider.findings == ()


def test_value_without_the_stored_form_is_a_finding():
    for value in (None, 3, {}, {"settings": {}, "history": 3}, {"audit": {}}):
        decider = SettingsDecider()
        item = make_object(GROUP_PATH, 3, None)._replace(value=value)
        assert decider.merge((item,)).findings


def test_recorded_deletion_removes_the_object_from_the_settings_in_force():
    decider = SettingsDecider()
    decider.merge((make_object(GROUP_PATH, 3, make_group()),))
    decider.merge((make_object(GROUP_PATH, 4, None, audit={"before": make_group()}),))
    assert decider.current.groups == ()


def test_number_of_tombstones_is_bounded(monkeypatch):
    monkeypatch.setattr("beryltrack.settings.decider.MAX_TOMBSTONES", 2)
    decider = SettingsDecider()
    paths = [f"settings/shop/rules/r{number}" for number in range(5)]
    decider.merge(make_deletion(path, 1 + row) for row, path in enumerate(paths))
    assert [item.version for item in decider.objects] == [4, 5]
