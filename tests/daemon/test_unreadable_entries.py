"""Invalid entries that another program wrote do not stop an instance."""

import pytest

from tests.daemon.test_silent_store import make_site  # noqa: F401
from tests.platform.test_settings import ENTRY
from tests.platform.test_unreadable_objects import BAD_FIELDS

MEMBER = {"host": "10.1.0.9", "port": 7440, "relay": 7441, "zone": "z"}


def get_databases(site):
    """Return the names of the databases in use."""
    return {each.name for each in site.node._groups.get("huvo").settings.databases}


def test_invalid_entries_do_not_hide_the_other_databases(make_site):  # noqa: F811
    site = make_site()
    site.advance(2.0)
    for number, (field, value) in enumerate(BAD_FIELDS):
        site.store.put(f"servers/bad-{number}", ENTRY | {field: value})
    site.advance(2.0)
    assert get_databases(site) == {"i-0", "i-1", "i-2"}
    site.set_state(1, "draining")
    site.advance(2.0)
    assert site.is_draining("i-1")
    text = site.node.metrics.render().decode()
    assert f"beryltrack_unreadable_objects_total {len(BAD_FIELDS)}" in text


def test_a_number_too_large_does_not_stop_the_sharing_of_connections(
    make_site,  # noqa: F811
    caplog,
):
    """Guards against an owner that no longer applies any change of the databases."""
    site = make_site()
    for number in range(18):
        site.store.put(f"members/n-9-{number}", MEMBER | {"host": f"10.1.1.{number}"})
    site.advance(4.0)
    assert site.node._connections.owns("huvo")
    site.store.put("servers/i-3", ENTRY | {"state": "ready", "slots": 10**400})
    site.advance(2.0)
    assert get_databases(site) == {"i-0", "i-1", "i-2"}
    assert "The callback for a change of servers failed" not in caplog.text


@pytest.mark.parametrize("value", [None, 7, [], {"host": 7}, MEMBER | {"port": "x"}])
def test_an_invalid_object_is_no_instance(make_site, value):  # noqa: F811
    site = make_site()
    site.store.put("members/another", value)
    site.store.put("members/front-2", MEMBER)
    site.advance(10.0)
    names = [
        peer.name
        for peer in site.node._members._make_peers(site.node._members.feed.objects)
    ]
    assert names == ["front-1", "front-2"]
    assert site.node._members._check_loop.running


def test_a_database_that_restarts_empty_is_another_member(make_site):  # noqa: F811
    site = make_site()
    site.store.put("servers/i-1", ENTRY | {"state": "ready", "born": 1000})
    site.advance(2.0)
    site.store.put("servers/i-1", ENTRY | {"state": "ready", "born": 2000})
    site.advance(2.0)
    assert get_databases(site) == {"i-0", "i-1@2000", "i-2"}
