"""Plans the changes that produce a set of wanted objects, before any is written.

The plan is validated against the whole current tree, so that an operator sees
conflicts with other objects at once. Findings that the tree has already are not
caused by the operator and do not block the change.
"""

from collections.abc import Mapping
from itertools import chain
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.messages import ObjectList, PlatformObject
from beryltrack.settings.decider import SettingsDecider
from beryltrack.settings.parsing import parse_settings
from beryltrack.settings.paths import parse_path
from beryltrack.settings.stored import get_settings
from beryltrack.settings.transitions import validate_transition

Settings = dict[str, object] | None

CREATED_LAST = "9999"
"""Creation time of an object that does not exist yet: it sorts after all others."""


class PlannedChange(NamedTuple):
    """One planned change of an object.

    Parameters
    ----------
    path : str
        Path of the object.
    version : int
        Its version in the current tree, 0 if it does not exist.
    before, after : dict or None
        Its current and its wanted settings; None for no settings.
    """

    path: str
    version: int
    before: Settings
    after: Settings


def plan_changes(
    tree: ObjectList, wanted: Mapping[str, Settings], when: str
) -> tuple[tuple[PlannedChange, ...], tuple[Finding, ...]]:
    """Return the changes that bring the tree to the wanted objects.

    Parameters
    ----------
    tree : ObjectList
        All settings objects in the store.
    wanted : mapping of str to dict or None
        Settings by path; None deletes an object.
    when : str
        Time of the change, UTC in ISO 8601.

    Returns
    -------
    tuple
        The changes, in the order of `wanted`, and the findings that they would add.
    """
    present = {item.path: item for item in tree.objects}
    changes = tuple(
        _plan_change(path, present.get(path), after) for path, after in wanted.items()
    )
    changes = tuple(change for change in changes if change.before != change.after)
    findings = tuple(
        finding
        for path, after in wanted.items()
        for finding in _validate_object(path, after)
    )
    if findings:
        return changes, findings
    transitions = (
        validate_transition(present[change.path], change.after, when)
        for change in changes
        if change.path in present
    )
    return changes, tuple(chain(*transitions)) + _find_clashes(tree, changes)


def _plan_change(
    path: str, present: PlatformObject | None, after: Settings
) -> PlannedChange:
    """Return the planned change of one object."""
    if present is None:
        return PlannedChange(path, 0, None, after)
    return PlannedChange(path, present.version, get_settings(present.value), after)


def _validate_object(path: str, after: Settings) -> tuple[Finding, ...]:
    """Return the findings of one object by itself."""
    if after is None:
        return parse_path(path)[1]
    return parse_settings(path, after)[1]


def _find_clashes(
    tree: ObjectList, changes: tuple[PlannedChange, ...]
) -> tuple[Finding, ...]:
    """Return the findings that the changes would add to the whole tree."""
    decider = SettingsDecider()
    decider.observe_list(tree)
    before = set(decider.findings)
    decider.merge(_make_planned_object(change, tree) for change in changes)
    return tuple(item for item in decider.findings if item not in before)


def _make_planned_object(change: PlannedChange, tree: ObjectList) -> PlatformObject:
    """Return the object that the store would hold after a change."""
    values = {item.path: item.value for item in tree.objects}
    present = values.get(change.path)
    created = CREATED_LAST
    if isinstance(present, dict):
        created = present.get("created", "")
    value = {"settings": change.after, "created": created}
    return PlatformObject(change.path, tree.revision + 1, value, False)
