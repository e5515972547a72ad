"""Translates the platform's configuration and database entries for the product."""

import math

from beryltrack.accounts.keys import digest_keys
from beryltrack.accounts.messages import AccountSettings
from beryltrack.findings import Finding
from beryltrack.groups.messages import PRIMARY, REPLICA
from beryltrack.objects import fields
from beryltrack.objects.fields import Field, parse_name, parse_number
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rows import ReadRows
from beryltrack.sessions.request_options import READS_ANY, READS_PRIMARY
from beryltrack.settings.incarnations import START_SEPARATOR, make_incarnation_name
from beryltrack.settings.messages import RouteSettings
from beryltrack.settings.roster import GroupLimits, RosterEntry, SiteConfiguration

CONFIG_KIND = "config"
CONFIG_PATH = "config/main"
DATABASES_KIND = "servers"

# Field names in the store; a comment explains each name that misleads.
PRIMARY_KIND = "primary"
OWN_WRITES_KIND = "read_own_writes"
ROUTE_KINDS = (PRIMARY_KIND, "bounded_staleness", OWN_WRITES_KIND)
READY, DRAINING = "ready", "draining"
ACCOUNTS, KEYS = "tenants", "api_keys"

_CONFIGURATION_FIELDS = (
    Field("config_version", fields.parse_whole_number),
    Field("routes", fields.parse_list),
    Field("services", fields.parse_list),
)
_LIMIT_FIELDS = (Field("transaction_idle_ms", parse_number, False),)
_ROUTE_FIELDS = (
    # The name that callers give; a route's own "name" is a label.
    Field("database_name", parse_name),
    Field("service", parse_name),  # The group.
    Field("kind", fields.make_choice_parser(ROUTE_KINDS)),
    Field("timeout_ms", parse_number),
    Field("target_latency_ms", parse_number),
    Field("priority", fields.parse_whole_number),
    Field("max_staleness_ms", parse_number, False),
    Field("public", fields.parse_flag, False),  # Serves callers without a key.
)
_ACCOUNT_FIELDS = (
    Field("name", parse_name),
    Field(KEYS, fields.parse_names),  # Digests; see `hide_keys`.
    Field("rate_per_s", parse_number, False),
    Field("burst_size", parse_number, False),
)
ROW_SCHEMAS = {"routes": _ROUTE_FIELDS, ACCOUNTS: _ACCOUNT_FIELDS}
_GROUP_FIELDS = (
    Field("name", parse_name),
    Field("connection_limit", fields.parse_positive),
)
_ENTRY_FIELDS = (
    Field("service", parse_name),  # The group.
    Field("address", fields.parse_address),
    Field("zone", parse_name),
    Field("slots", fields.parse_positive),
    Field("state", fields.make_choice_parser((READY, DRAINING))),
    # Start time, milliseconds since 1970.
    Field("born", fields.parse_positive, False),
    # Unused, but an entry without them was not written by a database.
    Field("config_version", parse_name),  # The version of the database's software.
    Field("cold_remaining_ms", parse_number),
    Field("sequence", fields.parse_whole_number),  # Number of the heartbeat.
    Field("database_role", fields.make_choice_parser((PRIMARY, REPLICA)), False),
)


def read_configuration(
    item: PlatformObject, read_rows: ReadRows = fields.read_rows
) -> tuple[SiteConfiguration | None, list[Finding]]:
    """Return the configuration that operators write at `CONFIG_PATH`.

    Returns
    -------
    tuple
        The configuration, None if it cannot be read, and the findings. A route, a
        group or an account that cannot be read is left out.
    """
    found, findings = fields.read_fields(
        item.path, "", item.value, _CONFIGURATION_FIELDS
    )
    if findings:
        return None, findings
    value = {"limits": {}} | item.value
    limits, wrong_limits = fields.read_nested(item.path, value, "limits", _LIMIT_FIELDS)
    routes, wrong_routes = read_rows(item.path, "routes", found, _ROUTE_FIELDS)
    groups, wrong_groups = read_rows(item.path, "services", found, _GROUP_FIELDS)
    accounts, wrong_accounts = _read_accounts(item, read_rows)
    configuration = SiteConfiguration(
        found["config_version"],
        tuple(map(_make_route, routes)),
        tuple(GroupLimits(row["name"], row["connection_limit"]) for row in groups),
        limits.get("transaction_idle_ms", 0.0) / 1000,
        accounts,
    )
    return configuration, wrong_limits + wrong_routes + wrong_groups + wrong_accounts


def hide_keys(value: object) -> object:
    """Return a configuration with digests in place of the accounts' keys."""
    if not isinstance(value, dict) or not isinstance(value.get(ACCOUNTS), list):
        return value
    return value | {ACCOUNTS: [_hide_row(row) for row in value[ACCOUNTS]]}


def _hide_row(row: object) -> object:
    """Return an account with digests in place of its keys."""
    if not isinstance(row, dict) or KEYS not in row:
        return row
    # A value that is not a list of keys is dropped and gives a finding when read.
    return row | {KEYS: digest_keys(row[KEYS])}


def _read_accounts(
    item: PlatformObject, read_rows: ReadRows
) -> tuple[tuple[AccountSettings, ...] | None, list[Finding]]:
    """Return the accounts, None if the configuration has none, and the findings."""
    if ACCOUNTS not in item.value:
        return None, []
    if not isinstance(item.value[ACCOUNTS], list):
        return (), [Finding(item.path, f"/{ACCOUNTS}", "is no list")]
    rows, findings = read_rows(item.path, ACCOUNTS, item.value, _ACCOUNT_FIELDS)
    accounts = (
        AccountSettings(
            row["name"],
            frozenset(row[KEYS]),
            row.get("rate_per_s", math.inf),
            row.get("burst_size", math.inf),
        )
        for row in rows
    )
    return tuple(accounts), findings


def read_entry(item: PlatformObject) -> tuple[RosterEntry | None, list[Finding]]:
    """Return the entry that a database has written about itself in the store.

    Returns
    -------
    tuple
        The entry, None if it cannot be read, and the findings. An entry that another
        program has written counts as unreadable.
    """
    found, findings = fields.read_fields(item.path, "", item.value, _ENTRY_FIELDS)
    try:
        identifier = parse_name(item.path.partition("/")[2])
        if START_SEPARATOR in identifier:
            raise ValueError(f"has {START_SEPARATOR}")
    except ValueError as error:
        findings.append(Finding(item.path, "", f"the identifier {error}"))
    if findings:
        return None, findings
    entry = RosterEntry(
        make_incarnation_name(identifier, found.get("born")),
        found["service"],
        found["address"],
        found["zone"],
        found["slots"],
        found["state"] == DRAINING,
    )
    return entry, []


def _make_route(row: dict[str, object]) -> RouteSettings:
    """Return the route of a row."""
    kind = row["kind"]
    return RouteSettings(
        row["database_name"],
        row["service"],
        READS_PRIMARY if kind == PRIMARY_KIND else READS_ANY,
        row.get("max_staleness_ms", 0.0) / 1000,
        kind == OWN_WRITES_KIND,
        row["timeout_ms"] / 1000,
        row["target_latency_ms"] / 1000,
        row["priority"],
        row.get("public", False),
    )
