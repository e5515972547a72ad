"""Puts all settings objects together and checks them against each other.

Teams write their subtrees without asking each other, so two objects that are
each sound may still clash. Every proxy must then decide alike, whatever order
the objects reached it in: the outcome depends on the objects alone.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.settings.messages import (
    GroupSettings,
    RuleSettings,
    SiteSettings,
    UserSettings,
)
from beryltrack.settings.parsing import SettingsObject

EMPTY_SITE = SiteSettings(0, (), (), ())


class AcceptedObject(NamedTuple):
    """One object that passed the checks of its own.

    Parameters
    ----------
    path : str
        Path of the object.
    created : str
        Time of its first change, UTC in ISO 8601.
    settings : SettingsObject
        Its typed settings.
    """

    path: str
    created: str
    settings: SettingsObject


def build_site(
    objects: Iterable[AcceptedObject], revision: int
) -> tuple[SiteSettings, tuple[Finding, ...]]:
    """Return the settings in force, and what clashes between objects.

    Parameters
    ----------
    objects : iterable of AcceptedObject
        All objects that passed their own checks.
    revision : int
        Highest version among all objects known.

    Returns
    -------
    tuple
        The settings without the objects that lost a clash, and the findings.
    """
    by_type = defaultdict(list)
    for item in sorted(objects, key=lambda item: item.path):
        by_type[type(item.settings)].append(item)
    groups, group_findings = _drop_repeated(by_type[GroupSettings])
    users, user_findings = _drop_repeated(by_type[UserSettings])
    rules, rule_findings = _drop_unmatched(by_type[RuleSettings], groups, users)
    site = SiteSettings(revision, _get_all(groups), _get_all(rules), _get_all(users))
    findings = chain(
        group_findings, _find_shared_endpoints(groups), user_findings, rule_findings
    )
    return site, tuple(findings)


def _get_all(objects: list[AcceptedObject]) -> tuple[SettingsObject, ...]:
    """Return the settings of objects, in their order."""
    return tuple(item.settings for item in objects)


def _drop_repeated(
    objects: list[AcceptedObject],
) -> tuple[list[AcceptedObject], list[Finding]]:
    """Let only the object that was created first have a name."""
    owners = {}
    for item in sorted(objects, key=lambda item: (item.created, item.path)):
        owners.setdefault(item.settings.name, item)
    kept = [item for item in objects if owners[item.settings.name] is item]
    findings = [
        Finding(
            item.path,
            "",
            f"not in force: {owners[item.settings.name].path} has the name already",
        )
        for item in objects
        if owners[item.settings.name] is not item
    ]
    return kept, findings


def _find_shared_endpoints(groups: list[AcceptedObject]) -> list[Finding]:
    """Report databases of different groups that listen at one endpoint.

    Their limits of connections would add up to more than either team allows.
    """
    places = defaultdict(list)
    for item in groups:
        for row, database in enumerate(item.settings.databases):
            places[database.endpoint].append((item.path, row))
    return [
        Finding(path, f"/databases/{row}/endpoint", f"{other} has the same endpoint")
        for shared in places.values()
        for path, row in shared
        for other, _ in shared
        if other != path
    ]


def _drop_unmatched(
    rules: list[AcceptedObject],
    groups: list[AcceptedObject],
    users: list[AcceptedObject],
) -> tuple[list[AcceptedObject], list[Finding]]:
    """Leave out the rules that name a group or user that the team has not."""
    names = {
        (label, item.settings.team, item.settings.name)
        for label, items in (("group", groups), ("user", users))
        for item in items
    }
    findings = [
        Finding(item.path, f"/{label}", f"not in force: the team has no {label} {name}")
        for item in rules
        for label, name in (
            ("group", item.settings.group),
            ("user", item.settings.user),
        )
        if name and (label, item.settings.team, name) not in names
    ]
    dropped = {finding.source for finding in findings}
    return [item for item in rules if item.path not in dropped], findings
