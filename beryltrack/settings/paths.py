"""Parsing and checks of settings paths: ``settings/TEAM/KIND/NAME``."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.settings.options import NAME_PATTERN, TABLES_BY_KIND

PREFIX = "settings/"
PART_COUNT = 4
_NAME = re.compile(NAME_PATTERN)


class SettingsPath(NamedTuple):
    """A parsed path.

    Parameters
    ----------
    team : str
        The team whose subtree holds the object.
    kind : str
        ``groups``, ``rules`` or ``users``.
    name : str
        Name of the object.
    """

    team: str
    kind: str
    name: str


def parse_path(text: str) -> tuple[SettingsPath | None, tuple[Finding, ...]]:
    """Parse a path.

    Parameters
    ----------
    text : str
        The path.

    Returns
    -------
    tuple
        The parsed path, None if it is invalid, and the findings.
    """
    parts = text.split("/")
    if len(parts) != PART_COUNT or parts[0] + "/" != PREFIX:
        finding = Finding(
            text, "", "the path must have the form settings/TEAM/KIND/NAME"
        )
        return None, (finding,)
    _, team, kind, name = parts
    findings = tuple(
        Finding(text, "", f"{part!r} is not a valid {label} name")
        for label, part in (("team", team), ("object", name))
        if not _NAME.match(part)
    )
    if kind not in TABLES_BY_KIND:
        kinds = ", ".join(TABLES_BY_KIND)
        findings += (Finding(text, "", f"{kind!r} is not one of the kinds {kinds}"),)
    return (None if findings else SettingsPath(team, kind, name)), findings


def validate_team(paths: Iterable[str], team: str | None) -> tuple[Finding, ...]:
    """Return a finding for each path outside one team's subtree.

    Parameters
    ----------
    paths : iterable of str
        Paths of settings objects.
    team : str or None
        The team; None allows all paths.

    Returns
    -------
    tuple of Finding
        Empty if all paths are in the team's subtree.
    """
    if team is None:
        return ()
    return tuple(
        Finding(path, "", f"the path is outside the subtree of the team {team}")
        for path in paths
        if not path.startswith(f"{PREFIX}{team}/")
    )
