"""Combines all settings objects and resolves conflicts between them.

Teams write their subtrees independently, so two objects that are each valid
may still conflict. All proxies must resolve a conflict in the same way: the
result depends on the objects alone, not on the order in which they arrived.
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
    """One object that is valid by itself.

    Parameters
    ----------
    path : str
        Path of the object.
    created : str
        Time of its creation, UTC in ISO 8601.
    settings : SettingsObject
        Its typed settings.
    """

    path: str
    created: str
    settings: SettingsObject


def build_site(
    objects: Iterable[AcceptedObject], revision: int
) -> tuple[SiteSettings, tuple[Finding, ...]]:
    """Return the settings in force, and the conflicts between objects.

    Parameters
    ----------
    objects : iterable of AcceptedObject
        All objects that are valid by themselves.
    revision : int
        Highest version among all known objects.

    Returns
    -------
    tuple
        The settings without the objects that lost a conflict, and the findings.
    """
    by_type = defaultdict(list)
    for item in sorted(objects, key=lambda item: item.path):
        by_type[type(item.settings)].append(item)
    groups, group_findings = _drop_duplicate_names(by_type[GroupSettings])
    users, user_findings = _drop_duplicate_names(by_type[UserSettings])
    rules, rule_findings = _drop_dangling_rules(by_type[RuleSettings], groups, users)
    site = SiteSettings(
        revision, _get_settings(groups), _get_settings(rules), _get_settings(users)
    )
    findings = chain(
        group_findings, _find_shared_endpoints(groups), user_findings, rule_findings
    )
    return site, tuple(findings)


def _get_settings(objects: list[AcceptedObject]) -> tuple[SettingsObject, ...]:
    """Return the settings of the objects, in the same order."""
    return tuple(item.settings for item in objects)


def _drop_duplicate_names(
    objects: list[AcceptedObject],
) -> tuple[list[AcceptedObject], list[Finding]]:
    """Return the objects that were created first under their names, and findings."""
    winners = {}
    for item in sorted(objects, key=lambda item: (item.created, item.path)):
        winners.setdefault(item.settings.name, item)
    retained = [item for item in objects if winners[item.settings.name] is item]
    findings = [
        Finding(
            item.path,
            "",
            f"not in force: {winners[item.settings.name].path} already has the name",
        )
        for item in objects
        if winners[item.settings.name] is not item
    ]
    return retained, findings


def _find_shared_endpoints(groups: list[AcceptedObject]) -> list[Finding]:
    """Return a finding for each endpoint that databases of different groups share.

    Their connection limits would add up to more than either team allows.
    """
    uses = defaultdict(list)
    for item in groups:
        for row, database in enumerate(item.settings.databases):
            uses[database.endpoint].append((item.path, row))
    return [
        Finding(path, f"/databases/{row}/endpoint", f"{other} has the same endpoint")
        for shared in uses.values()
        for path, row in shared
        for other, _ in shared
        if other != path
    ]


def _drop_dangling_rules(
    rules: list[AcceptedObject],
    groups: list[AcceptedObject],
    users: list[AcceptedObject],
) -> tuple[list[AcceptedObject], list[Finding]]:
    """Return the rules whose group and user exist in their team, and findings."""
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
