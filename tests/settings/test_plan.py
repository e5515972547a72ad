"""Planned changes and their findings, before anything is written."""

from beryltrack.objects.messages import ObjectList
from beryltrack.settings.plan import plan_changes as plan_changes_at
from tests.settings.examples import GROUP_PATH, RULE_PATH, make_group, make_object

WHEN = "2026-02-01T12:00:00+00:00"
TREE = ObjectList(
    9,
    (
        make_object(GROUP_PATH, 4, make_group(), created="2026"),
        make_object(RULE_PATH, 5, {"max_age": 1}),
        make_object("settings/old/rules/r", 6, {"group": "gone"}),
    ),
)


def plan_changes(tree, wanted):
    return plan_changes_at(tree, wanted, WHEN)


def test_only_objects_that_differ_are_changed():
    wanted = {GROUP_PATH: make_group(), RULE_PATH: {"max_age": 2}}
    changes, findings = plan_changes(TREE, wanted)
    assert findings == ()
    assert [(item.path, item.version) for item in changes] == [(RULE_PATH, 5)]
    assert changes[0].before == {"max_age": 1}


def test_findings_of_all_objects_are_reported_together():
    wanted = {RULE_PATH: {"max_age": -1}, "settings/shop/nothing/x": None}
    sources = [finding.source for finding in plan_changes(TREE, wanted)[1]]
    assert sources == [RULE_PATH, "settings/shop/nothing/x"]


def test_existing_findings_do_not_block_a_change():
    assert plan_changes(TREE, {RULE_PATH: None})[1] == ()


def test_rule_for_a_group_that_the_change_deletes_is_a_finding():
    wanted = {GROUP_PATH: None, RULE_PATH: {"group": "orders"}}
    assert plan_changes(TREE, {RULE_PATH: wanted[RULE_PATH]})[1] == ()
    (finding,) = plan_changes(TREE, wanted)[1]
    assert (finding.source, finding.place) == (RULE_PATH, "/group")


def test_new_object_cannot_take_a_name_that_is_in_use():
    path = "settings/alpha/groups/orders"
    group = make_group(databases=[make_group()["databases"][0] | {"name": "x"}])
    findings = plan_changes(TREE, {path: group})[1]
    assert path in {finding.source for finding in findings}
