"""The compact form of stored objects, which proxies keep and send to each other.

Operators read audit records in the store. A proxy needs only the settings, the
creation time, which resolves conflicts, the identifiers of the last changes and, for
invalid settings, the newest valid ones in the object's history. The compact form
depends on the stored object alone, so all proxies keep the same; it is idempotent.
"""

from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.messages import PlatformObject
from beryltrack.settings.parsing import SettingsObject, parse_settings
from beryltrack.settings.stored import (
    StoredValue,
    get_change_ids,
    get_records,
    is_deletion,
    is_stored_value,
)


class EvaluatedObject(NamedTuple):
    """One validated object.

    Parameters
    ----------
    item : PlatformObject
        The same version in compact form. Its value is None if the object does not
        have the stored form, so that each proxy that receives it has the finding.
    settings : SettingsObject or None
        Its settings, or the last valid ones in its history; None if it is deleted
        or there are none.
    findings : tuple of Finding
        Errors of its own settings.
    is_conclusive : bool
        False if the object is invalid and its history does not contain the settings
        that were in force before it.
    """

    item: PlatformObject
    settings: SettingsObject | None
    findings: tuple[Finding, ...]
    is_conclusive: bool

    @property
    def created(self) -> str:
        """Time of the object's creation; empty if it is not recorded."""
        value = self.item.value
        return value["created"] if is_stored_value(value) else ""


def evaluate_object(item: PlatformObject) -> EvaluatedObject:
    """Validate an object and reduce it to its compact form.

    Parameters
    ----------
    item : PlatformObject
        The object as the platform stores it, or in its compact form.

    Returns
    -------
    EvaluatedObject
        The compact object with its settings and findings.
    """
    settings, findings = parse_stored(item)
    if not is_stored_value(item.value):
        without_value = item._replace(value=None)
        return EvaluatedObject(without_value, settings, findings, not findings)
    value = item.value
    compact = StoredValue(settings=value["settings"])
    compact["created"] = str(value.get("created", ""))
    changes = get_change_ids(value)
    if changes:
        compact["changes"] = list(changes)
    is_conclusive = True
    if findings:
        is_conclusive, valid = find_last_valid(item)
        if is_conclusive:
            compact["audit"] = {"before": valid}
        settings = parse_settings(item.path, valid)[0] if valid else None
    return EvaluatedObject(
        item._replace(value=compact), settings, findings, is_conclusive
    )


def parse_stored(
    item: PlatformObject,
) -> tuple[SettingsObject | None, tuple[Finding, ...]]:
    """Validate one stored object and return its typed settings.

    Parameters
    ----------
    item : PlatformObject
        The object as the platform stores it, or in its compact form.

    Returns
    -------
    tuple
        The settings, None if invalid, and all findings. A deletion has neither.
    """
    if item.deleted or is_deletion(item.value):
        return None, ()
    if not is_stored_value(item.value):
        text = "a settings object must have the keys settings and audit"
        return None, (Finding(item.path, "", text),)
    return parse_settings(item.path, item.value["settings"])


def find_last_valid(item: PlatformObject) -> tuple[bool, dict[str, object] | None]:
    """Return the settings that were in force before an invalid object.

    Parameters
    ----------
    item : PlatformObject
        An object whose own settings are invalid.

    Returns
    -------
    tuple
        Whether the history contains them, and the newest valid settings in it. They
        are None, which the history also shows, if the object did not exist before
        its invalid settings: deleted settings must not come back.
    """
    earlier = (record.get("before") for record in get_records(item.value))
    for value in earlier:
        if value is None or not parse_settings(item.path, value)[1]:
            return True, value
    return False, None
