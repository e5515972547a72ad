"""Cleanup of addresses that crashed instances leave behind."""

from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.registration import STALE_AFTER, find_stale_addresses

NOW = 1e9


def make_address(name, since):
    endpoint = {"host": "127.0.0.1", "port": 1}
    value = {"status_endpoint": endpoint, "since": since}
    return PlatformObject(f"status/instances/{name}", 1, value, False)


def test_only_old_and_unlisted_addresses_are_stale():
    old, new = NOW - STALE_AFTER - 1, NOW - STALE_AFTER + 1
    objects = (
        make_address("listed", old),
        make_address("starting", new),
        make_address("crashed", old),
        make_address("strange", 0)._replace(value="x"),
    )
    stale = find_stale_addresses(objects, {"listed"}, NOW)
    assert [item.path.rpartition("/")[2] for item in stale] == ["crashed", "strange"]
