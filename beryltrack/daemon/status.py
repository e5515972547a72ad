"""The status that an instance reports about itself, and its JSON form.

The daemon fills these tuples, the operators' tool parses them.
"""

from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.json_form import from_json, to_json
from beryltrack.metrics.messages import Counters


class ObjectVersion(NamedTuple):
    """Path and version of a settings object that an instance knows.

    Parameters
    ----------
    path : str
        Path of the object.
    version : int
        Its version.
    """

    path: str
    version: int


class DatabaseReport(NamedTuple):
    """One database as an instance sees it.

    Parameters
    ----------
    name : str
        Name of the database.
    role : str
        ``primary``, ``replica``, or empty if it is not known.
    received, applied : str
        Log positions, ``TERM/OFFSET``; empty if they are not known.
    age : float or None
        Upper bound of the staleness of its data, seconds; None if unknown.
    reachable : bool
        True if it answered recently.
    draining : bool
        True if it gets no new work.
    """

    name: str
    role: str
    received: str
    applied: str
    age: float | None
    reachable: bool
    draining: bool


class GroupReport(NamedTuple):
    """One group as an instance sees it.

    Parameters
    ----------
    name : str
        Name of the group.
    term : int
        Highest term known.
    primary : str
        Name of its primary; empty if none is known.
    databases : tuple of DatabaseReport
        Its members.
    """

    name: str
    term: int
    primary: str
    databases: tuple[DatabaseReport, ...]


class InstanceStatus(NamedTuple):
    """The complete status of an instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    zone : str
        Its availability zone.
    state : str
        ``starting``, ``live`` or ``leaving``.
    settings_revision : int
        Highest version among the settings objects that it knows.
    settings : tuple of ObjectVersion
        The settings objects that it knows.
    findings : tuple of Finding
        The problems found in them.
    groups : tuple of GroupReport
        The groups that it serves.
    counters : Counters
        Its counts since it started.
    """

    name: str
    zone: str
    state: str
    settings_revision: int
    settings: tuple[ObjectVersion, ...]
    findings: tuple[Finding, ...]
    groups: tuple[GroupReport, ...]
    counters: Counters


def encode_status(status: InstanceStatus) -> dict[str, object]:
    """Return a status as a JSON object."""
    return to_json(status)


def parse_status(value: object) -> InstanceStatus:
    """Return a status from its JSON form.

    Raises
    ------
    ValueError
        If a field is missing or of another type.
    """
    return from_json(value, InstanceStatus)
