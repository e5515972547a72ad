"""Conflicts between objects that are each valid."""

from beryltrack.settings.parsing import parse_settings
from beryltrack.settings.site import AcceptedObject, build_site
from tests.settings.examples import GROUP_PATH, make_database, make_group

OTHER_PATH = "settings/depot/groups/orders"
TRUST = {"trust": True}


def accept(path: str, value: dict[str, object], created: str = "") -> AcceptedObject:
    settings, findings = parse_settings(path, value)
    assert findings == ()
    return AcceptedObject(path, created, settings)


def test_name_belongs_to_the_group_that_was_created_first():
    other = make_group(databases=[make_database("x", 9)])
    objects = [accept(OTHER_PATH, other, "2026"), accept(GROUP_PATH, make_group(), "1")]
    for order in (objects, objects[::-1]):
        site, findings = build_site(order, 1)
        assert [group.team for group in site.groups] == ["shop"]
        assert [finding.source for finding in findings] == [OTHER_PATH]


def test_users_of_all_teams_share_one_namespace():
    paths = ("settings/shop/users/ana", "settings/depot/users/ana")
    site, findings = build_site([accept(path, TRUST) for path in paths], 1)
    assert [user.team for user in site.users] == ["depot"]
    assert findings[0].source == paths[0]


def test_rule_for_a_group_or_user_that_the_team_lacks_is_dropped():
    objects = [
        accept(OTHER_PATH, make_group()),
        accept("settings/shop/rules/r1", {"group": "orders", "user": "ana"}),
        accept("settings/depot/rules/r2", {"group": "orders"}),
    ]
    site, findings = build_site(objects, 1)
    assert [rule.name for rule in site.rules] == ["r2"]
    assert [finding.place for finding in findings] == ["/group", "/user"]


def test_databases_of_two_groups_at_one_endpoint_are_reported():
    objects = [
        accept(GROUP_PATH, make_group()),
        accept("settings/depot/groups/stock", make_group()),
    ]
    site, findings = build_site(objects, 1)
    assert len(site.groups) == 2
    assert len(findings) == 6
    assert findings[0].place == "/databases/0/endpoint"


def test_rules_are_in_the_order_of_their_names():
    paths = [f"settings/shop/rules/{name}" for name in ("b", "a", "c")]
    site, _ = build_site([accept(path, {}) for path in paths], 1)
    assert [rule.name for rule in site.rules] == ["a", "b", "c"]
