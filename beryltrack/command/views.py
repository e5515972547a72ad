"""Commands that show settings objects and their history."""

import json
from typing import NamedTuple

from returns.result import Failure, Success

from beryltrack.command.report import (
    ErrorReport,
    ExitCode,
    Report,
    report_findings,
    report_platform,
)
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.messages import PlatformObject
from beryltrack.settings.decider import SettingsDecider
from beryltrack.settings.paths import PREFIX, parse_path
from beryltrack.settings.stored import AuditRecord, get_records, get_settings


class ShownObject(NamedTuple):
    """One settings object.

    Parameters
    ----------
    path : str
        Its path.
    version : int
        Its version.
    settings : dict or None
        Its settings; None after a deletion.
    """

    path: str
    version: int
    settings: dict[str, object] | None


class ShownObjects(NamedTuple):
    """All settings objects under a prefix."""

    objects: tuple[ShownObject, ...]


class ShownHistory(NamedTuple):
    """The audit records of an object, newest first."""

    path: str
    version: int
    records: tuple[AuditRecord, ...]


class PathRecord(NamedTuple):
    """One audit record and the path of its object."""

    path: str
    record: AuditRecord


class ShownPrefixHistory(NamedTuple):
    """The audit records of all objects under a prefix, newest first."""

    records: tuple[PathRecord, ...]


async def show_settings(client: PlatformClient, path: str) -> Report:
    """Show the object at a path, or all objects under a prefix that ends in /."""
    if path.endswith("/"):
        return await _show_prefix(client, path)
    _, findings = parse_path(path)
    if findings:
        return report_findings(findings)
    match await client.get(path):
        case Failure(error):
            return report_platform(error)
        case Success(present) if present and get_settings(present.value) is not None:
            shown = _build_shown_object(present)
            text = json.dumps(shown.settings, indent=2)
            return Report(ExitCode.OK, shown, (text,))
    return _report_missing(path)


async def _show_prefix(client: PlatformClient, prefix: str) -> Report:
    """Show all objects under a prefix."""
    if not prefix.startswith(PREFIX):
        return _report_missing(prefix)
    match await client.list(prefix):
        case Failure(error):
            return report_platform(error)
        case Success(tree):
            shown = tuple(_build_shown_object(item) for item in tree.objects)
    existing = tuple(item for item in shown if item.settings is not None)
    lines = tuple(f"{item.path} (version {item.version})" for item in existing)
    return Report(ExitCode.OK, ShownObjects(existing), lines)


def _build_shown_object(item: PlatformObject) -> ShownObject:
    """Return the settings object in a stored object."""
    return ShownObject(item.path, item.version, get_settings(item.value))


def _report_missing(path: str) -> Report:
    """Return the report of an object that does not exist."""
    text = f"there is no settings object at {path}"
    return Report(ExitCode.FINDINGS, ErrorReport(text), (text,))


async def show_history(client: PlatformClient, path: str) -> Report:
    """Show the audit records of an object, newest first, deletions included.

    A path that ends in / shows the records of all objects under it.
    """
    if path.endswith("/"):
        return await _show_prefix_history(client, path)
    match await client.get(path):
        case Failure(error):
            return report_platform(error)
        case Success(present) if present is None:
            return _report_missing(path)
        case Success(present):
            records = get_records(present.value)
    lines = tuple(line for record in records for line in _format_record(record))
    shown = ShownHistory(path, present.version, records)
    return Report(ExitCode.OK, shown, lines)


async def _show_prefix_history(client: PlatformClient, prefix: str) -> Report:
    """Show the audit records of objects under a prefix, newest first."""
    if not prefix.startswith(PREFIX):
        return _report_missing(prefix)
    match await client.list(prefix):
        case Failure(error):
            return report_platform(error)
        case Success(tree):
            records = (
                PathRecord(item.path, record)
                for item in tree.objects
                for record in get_records(item.value)
            )
    sorted_records = sorted(
        records, key=lambda item: str(item.record.get("when", "")), reverse=True
    )
    lines = tuple(
        line
        for item in sorted_records
        for line in (item.path, *_format_record(item.record))
    )
    return Report(ExitCode.OK, ShownPrefixHistory(tuple(sorted_records)), lines)


def _format_record(record: AuditRecord) -> tuple[str, ...]:
    """Return the lines of one audit record, which may lack any field."""
    when, who, why, change_id, version = (
        record.get(name, "not recorded")
        for name in ("when", "who", "why", "change_id", "from_version")
    )
    before = json.dumps(record.get("before"), sort_keys=True)
    return (
        f"{when} {who}: {why or 'no reason given'}",
        f"  change {change_id}, after version {version}",
        f"  replaced: {before}",
    )


async def check_stored_settings(client: PlatformClient) -> Report:
    """Show all findings of the settings in the store."""
    match await client.list(PREFIX):
        case Failure(error):
            return report_platform(error)
        case Success(tree):
            decider = SettingsDecider()
            decider.observe_list(tree)
    if decider.findings:
        return report_findings(decider.findings)
    text = f"{len(tree.objects)} objects, no findings"
    return Report(ExitCode.OK, ShownObjects(()), (text,))
