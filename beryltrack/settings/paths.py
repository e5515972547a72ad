"""Paths of settings objects: ``settings/TEAM/KIND/NAME``."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.settings.options import NAME_PATTERN, TABLES_BY_KIND

PREFIX = "settings/"
PART_COUNT = 4
_NAME = re.compile(NAME_PATTERN)


class SettingsPath(NamedTuple):
    """The parts of a path.

    Parameters
    ----------
    team : str
        The team whose subtree it is in.
    kind : str
        ``groups``, ``rules`` or ``users``.
    name : str
        Name of the object.
    """

    team: str
    kind: str
    name: str


def parse_path(text: str) -> tuple[SettingsPath | None, tuple[Finding, ...]]:
    """Read a path.

    Parameters
    ----------
    text : str
        The path as written.

    Returns
    -------
    tuple
        The parts, or None with the findings.
    """
    parts = text.split("/")
    if len(parts) != PART_COUNT or parts[0] + "/" != PREFIX:
        finding = Finding(text, "", "a path has the form settings/TEAM/KIND/NAME")
        return None, (finding,)
    _, team, kind, name = parts
    findings = tuple(
        Finding(text, "", f"{part!r} is no name of a {label}")
        for label, part in (("team", team), ("object", name))
        if not _NAME.match(part)
    )
    if kind not in TABLES_BY_KIND:
        kinds = ", ".join(TABLES_BY_KIND)
        findings += (Finding(text, "", f"{kind!r} is none of the kinds {kinds}"),)
    return (None if findings else SettingsPath(team, kind, name)), findings


def validate_team(paths: Iterable[str], team: str | None) -> tuple[Finding, ...]:
    """Return a finding for each path outside one team's subtree.

    Parameters
    ----------
    paths : iterable of str
        Paths of settings objects.
    team : str or None
        The team; None lets all paths pass.

    Returns
    -------
    tuple of Finding
        Empty if all paths are the team's.
    """
    if team is None:
        return ()
    return tuple(
        Finding(path, "", f"the path is not in the subtree of the team {team}")
        for path in paths
        if not path.startswith(f"{PREFIX}{team}/")
    )
