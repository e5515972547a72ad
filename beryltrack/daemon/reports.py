"""Builds the status of an instance from its tasks."""

import math
from collections.abc import Iterable

from beryltrack.daemon.status import (
    DatabaseReport,
    GroupReport,
    InstanceStatus,
    ObjectVersion,
)
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.view import DatabaseView
from beryltrack.metrics.messages import Counters
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.settings.messages import InstanceSettings
from beryltrack.settings.task import SettingsTask


def build_status(
    settings: InstanceSettings,
    state: str,
    settings_task: SettingsTask,
    runtimes: Iterable[GroupRuntime],
    counters: Counters,
) -> InstanceStatus:
    """Return the status of an instance.

    Parameters
    ----------
    settings : InstanceSettings
        Its settings file.
    state : str
        ``starting``, ``live`` or ``leaving``.
    settings_task : SettingsTask
        The settings in force.
    runtimes : iterable of GroupRuntime
        The groups that it serves.
    counters : Counters
        Its counts.

    Returns
    -------
    InstanceStatus
        The status.
    """
    versions = (
        ObjectVersion(item.path, item.version) for item in settings_task.get_objects()
    )
    return InstanceStatus(
        settings.name,
        settings.zone,
        state,
        settings_task.current.revision,
        tuple(versions),
        settings_task.findings,
        tuple(build_group_report(runtime) for runtime in runtimes),
        counters,
    )


def build_group_report(runtime: GroupRuntime) -> GroupReport:
    """Return the report of one group."""
    view = runtime.view
    databases = (_build_database_report(runtime, item) for item in view.databases)
    return GroupReport(view.group, view.term, view.primary, tuple(databases))


def _build_database_report(
    runtime: GroupRuntime, database: DatabaseView
) -> DatabaseReport:
    """Return the report of one database."""
    age = runtime.task.get_age(database.name)
    return DatabaseReport(
        database.name,
        database.role,
        _format_position(database.received),
        _format_position(database.applied),
        age if math.isfinite(age) else None,
        database.reachable,
        database.leaving,
    )


def _format_position(position: LogPosition) -> str:
    """Return a position as text."""
    return f"{position.term}/{position.offset}"
