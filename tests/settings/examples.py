"""Small settings objects shared by the tests of the settings."""

from beryltrack.objects.messages import PlatformObject

GROUP_PATH = "settings/shop/groups/orders"
RULE_PATH = "settings/shop/rules/stale"
USER_PATH = "settings/shop/users/ana"


def make_database(name: str, port: int, **changes: object) -> dict[str, object]:
    """Return the JSON of one database of a group."""
    endpoint = {"host": "127.0.0.1", "port": port}
    database = {"name": name, "endpoint": endpoint, "zone": "a", "max_connections": 20}
    return database | changes


def make_group(**changes: object) -> dict[str, object]:
    """Return the JSON of a group of three databases."""
    databases = [make_database(f"db{row}", 5001 + row) for row in range(3)]
    return {"databases": databases, "user": "proxy"} | changes


def make_object(
    path: str, version: int, settings: object, **extra: object
) -> PlatformObject:
    """Return a stored settings object without an audit record."""
    value = {"settings": settings, "created": ""} | extra
    return PlatformObject(path, version, value, False)


def make_deletion(path: str, version: int) -> PlatformObject:
    """Return the platform's record of a deleted object."""
    return PlatformObject(path, version, None, True)
