"""The platform's configuration and its list of databases, in the product's words."""

from beryltrack.findings import Finding
from beryltrack.objects.messages import PlatformObject
from beryltrack.sessions.marks import READS_ANY, READS_PRIMARY
from beryltrack.settings.messages import Endpoint, RouteSettings
from beryltrack.settings.roster import GroupLimits, RosterEntry, SiteConfiguration

CONFIG_KIND = "config"
CONFIG_PATH = "config/main"
DATABASES_KIND = "servers"

# Field names of the wire; those that mislead carry a comment.
PRIMARY_KIND = "primary"
OWN_WRITES_KIND = "read_own_writes"
DRAINING = "draining"


def read_configuration(
    item: PlatformObject,
) -> tuple[SiteConfiguration | None, list[Finding]]:
    """Return the configuration that the operators have written.

    Parameters
    ----------
    item : PlatformObject
        The object at `CONFIG_PATH`.

    Returns
    -------
    tuple
        The configuration, None if it cannot be read, and what is wrong with it.
    """
    try:
        value = item.value
        limits = value.get("limits") or {}
        configuration = SiteConfiguration(
            int(value["config_version"]),
            tuple(map(_read_route, value["routes"])),
            tuple(map(_read_group, value["services"])),
            float(limits.get("transaction_idle_ms", 0)) / 1000,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return None, [Finding(item.path, "", f"cannot be read: {error!r}")]
    return configuration, []


def read_entry(item: PlatformObject) -> tuple[RosterEntry | None, list[Finding]]:
    """Return what a database says of itself in the store.

    Returns
    -------
    tuple
        The entry, None if it cannot be read, and what is wrong with it.
    """
    try:
        value = item.value
        entry = RosterEntry(
            item.path.partition("/")[2],
            value["service"],
            parse_endpoint(value["address"]),
            value["zone"],
            int(value["slots"]),
            value["state"] == DRAINING,
        )
    except (KeyError, TypeError, ValueError) as error:
        return None, [Finding(item.path, "", f"cannot be read: {error!r}")]
    return entry, []


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint of an address as ``HOST:PORT``.

    Raises
    ------
    ValueError
        If there is no port.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"address {text!r} has no port")
    return Endpoint(host, int(port))


def _read_route(value: dict) -> RouteSettings:
    """Return one route."""
    kind = value["kind"]
    return RouteSettings(
        value["database_name"],  # The name that callers ask for.
        value["service"],  # The group; a route's own "name" is a label.
        READS_PRIMARY if kind == PRIMARY_KIND else READS_ANY,
        float(value.get("max_staleness_ms") or 0) / 1000,
        kind == OWN_WRITES_KIND,
        float(value["timeout_ms"]) / 1000,
        float(value["target_latency_ms"]) / 1000,
        int(value["priority"]),
    )


def _read_group(value: dict) -> GroupLimits:
    """Return what the operators say of one group."""
    return GroupLimits(value["name"], int(value["connection_limit"]))
