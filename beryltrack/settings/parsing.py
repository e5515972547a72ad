"""Parses the JSON of one settings object into the tuples of `messages`.

It checks each object by itself; `beryltrack.settings.site` checks objects
against each other.
"""

from collections import Counter

from beryltrack.findings import Finding
from beryltrack.settings.messages import (
    DatabaseSettings,
    Endpoint,
    GroupSettings,
    RuleSettings,
    UserSettings,
)
from beryltrack.settings.options import TABLES_BY_KIND
from beryltrack.settings.paths import SettingsPath, parse_path
from beryltrack.settings.schema import fill_defaults, validate_value

SettingsObject = GroupSettings | RuleSettings | UserSettings


def parse_settings(
    path: str, value: object
) -> tuple[SettingsObject | None, tuple[Finding, ...]]:
    """Validate one settings object and return its typed form.

    Parameters
    ----------
    path : str
        Path of the object.
    value : object
        Its JSON value, without the audit record.

    Returns
    -------
    tuple
        The typed settings, None if they are invalid, and all findings.
    """
    parts, findings = parse_path(path)
    if parts is None:
        return None, findings
    table = TABLES_BY_KIND[parts.kind]
    findings = validate_value(table, value, path)
    if findings:
        return None, findings
    filled = fill_defaults(table.options, value)
    settings = _BUILDERS[parts.kind](parts, filled)
    findings = _CHECKS[parts.kind](path, settings, filled)
    return (None if findings else settings), findings


def build_endpoint(value: dict[str, object]) -> Endpoint:
    """Return an endpoint from its valid JSON form."""
    return Endpoint(value["host"], value["port"])


def _build_database(value: dict[str, object]) -> DatabaseSettings:
    """Return a database from its valid JSON form."""
    return DatabaseSettings(**value | {"endpoint": build_endpoint(value["endpoint"])})


def _build_group(parts: SettingsPath, value: dict[str, object]) -> GroupSettings:
    """Return a group from its valid JSON form."""
    databases = tuple(_build_database(row) for row in value["databases"])
    return GroupSettings(parts.name, parts.team, **value | {"databases": databases})


def _build_rule(parts: SettingsPath, value: dict[str, object]) -> RuleSettings:
    """Return a rule from its valid JSON form."""
    return RuleSettings(parts.name, parts.team, **value)


def _build_user(parts: SettingsPath, value: dict[str, object]) -> UserSettings:
    """Return a user from its valid JSON form."""
    return UserSettings(parts.name, parts.team, value["secret"])


def _find_duplicates(
    path: str, column: str, values: tuple[object, ...]
) -> tuple[Finding, ...]:
    """Return a finding for each database whose value occurs more than once."""
    counts = Counter(values)
    return tuple(
        Finding(path, f"/databases/{row}/{column}", "two databases have the same value")
        for row, value in enumerate(values)
        if counts[value] > 1
    )


def _check_group(
    path: str, group: GroupSettings, value: dict[str, object]
) -> tuple[Finding, ...]:
    """Check the constraints of a group that its schema cannot express."""
    databases = group.databases
    findings = _find_duplicates(path, "name", tuple(item.name for item in databases))
    findings += _find_duplicates(
        path, "endpoint", tuple(item.endpoint for item in databases)
    )
    findings += tuple(
        Finding(path, f"/databases/{row}/slots", "more slots than connections")
        for row, item in enumerate(databases)
        if item.slots > item.max_connections
    )
    if all(item.draining for item in databases):
        text = "at least one database must not be draining"
        findings += (Finding(path, "/databases", text),)
    return findings


def _check_rule(
    path: str, rule: RuleSettings, value: dict[str, object]
) -> tuple[Finding, ...]:
    """Check the constraints of a rule that its schema cannot express."""
    if rule.reads == "primary" and rule.max_age:
        return (
            Finding(path, "/max_age", "reads of the primary cannot have a staleness"),
        )
    return ()


def _check_user(
    path: str, user: UserSettings, value: dict[str, object]
) -> tuple[Finding, ...]:
    """Check that a user has either a secret or trust."""
    if value["trust"] and user.secret:
        return (Finding(path, "/trust", "a user with a secret cannot be trusted"),)
    if not value["trust"] and not user.secret:
        return (Finding(path, "/secret", "a secret or trust is needed"),)
    return ()


_BUILDERS = {"groups": _build_group, "rules": _build_rule, "users": _build_user}
_CHECKS = {"groups": _check_group, "rules": _check_rule, "users": _check_user}
