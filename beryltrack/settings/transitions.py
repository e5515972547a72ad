"""Validates membership changes of a group, as Raft's single-server changes do.

A write is acknowledged by a majority of the group's databases, and a new primary
needs a majority too. That is safe only while any two majorities intersect, also
between a proxy with the old members in force and one with the new members. Adding
or removing one database preserves that; replacing one in a single change does not:
``b, c`` is a majority of ``a, b, c`` and ``a, d`` one of ``a, b, d``. Consecutive
changes must not overlap either, so the first has to be in force everywhere.
"""

from datetime import datetime
from itertools import pairwise

from beryltrack.findings import Finding
from beryltrack.objects.messages import PlatformObject
from beryltrack.settings.stored import get_records, get_settings

SETTLE_TIME = 60.0
"""Seconds between two membership changes; settings are in force everywhere well within
this time."""

DATABASES_PLACE = "/databases"
"""JSON pointer to the members of a group."""

Members = frozenset[tuple[str, str, int]]


def get_members(settings: dict[str, object] | None) -> Members | None:
    """Return names and endpoints of a group's databases, None for no group.

    A database at another endpoint counts as another member, since the settings do
    not show whether it holds the same data.
    """
    try:
        return frozenset(
            (row["name"], row["endpoint"]["host"], row["endpoint"]["port"])
            for row in settings["databases"]
        )
    except (KeyError, TypeError):
        return None


def validate_transition(
    present: PlatformObject, after: dict[str, object], when: str
) -> tuple[Finding, ...]:
    """Return the reasons why a membership change of a group is unsafe.

    Parameters
    ----------
    present : PlatformObject
        The group's object as it is in the store.
    after : dict
        The wanted settings.
    when : str
        Time of the change, UTC in ISO 8601.

    Returns
    -------
    tuple of Finding
        Empty if any two majorities of the old and the new members intersect.
    """
    old, new = get_members(get_settings(present.value)), get_members(after)
    if old is None or new is None or old == new:
        return ()
    findings = ()
    if len(old ^ new) > 1:
        text = (
            "only one database can be added or removed in one change (a new "
            "endpoint counts as a removal and an addition)"
        )
        findings += (Finding(present.path, DATABASES_PLACE, text),)
    elapsed = _compute_time_since_change(present, when)
    if elapsed is not None and elapsed < SETTLE_TIME:
        text = (
            f"the databases changed {elapsed:.0f} s ago; wait until status shows that "
            f"change in force everywhere, and at least {SETTLE_TIME:.0f} s"
        )
        findings += (Finding(present.path, DATABASES_PLACE, text),)
    return findings


def _compute_time_since_change(present: PlatformObject, when: str) -> float | None:
    """Return the seconds since the last membership change; None if not recorded."""
    records = get_records(present.value)
    states = [get_settings(present.value), *(item.get("before") for item in records)]
    changes = (
        record
        for record, (later, earlier) in zip(records, pairwise(states), strict=True)
        if earlier is not None and get_members(later) != get_members(earlier)
    )
    last = next(changes, None)
    if last is None:
        return None
    try:
        changed_at = datetime.fromisoformat(last["when"])
        return (datetime.fromisoformat(when) - changed_at).total_seconds()
    except (KeyError, TypeError, ValueError):
        return None
