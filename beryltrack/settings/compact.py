"""The part of a stored object that proxies keep and tell each other.

Audit records are for operators, who read them in the store. A proxy needs the
settings, the time that decides clashes, and, for settings that fail the checks,
the newest good ones in the object's history. What is kept depends on the stored
object alone, so that all proxies keep the same and a repeated cut changes nothing.
"""

from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.objects.messages import PlatformObject
from beryltrack.settings.parsing import SettingsObject, parse_settings
from beryltrack.settings.stored import (
    StoredValue,
    get_changes,
    get_records,
    is_deletion,
    is_stored_value,
)


class JudgedObject(NamedTuple):
    """One object with what it means for a proxy.

    Parameters
    ----------
    item : PlatformObject
        The same version with a smaller value; None as value if it has not the
        stored form, which is a finding for all who see it.
    settings : SettingsObject or None
        Its settings, or the last good ones in its history; None if it is deleted
        or there are none.
    findings : tuple of Finding
        What is wrong with its own settings.
    is_settled : bool
        True if `settings` is all there is to know. False if the object is faulty
        and its history does not tell what held before it.
    """

    item: PlatformObject
    settings: SettingsObject | None
    findings: tuple[Finding, ...]
    is_settled: bool

    @property
    def created(self) -> str:
        """Time of the object's first change; empty if it is not recorded."""
        value = self.item.value
        return value["created"] if is_stored_value(value) else ""


def judge_object(item: PlatformObject) -> JudgedObject:
    """Check an object and cut it down to what proxies need.

    Parameters
    ----------
    item : PlatformObject
        The object as the platform keeps it, or cut down already.

    Returns
    -------
    JudgedObject
        The object cut down, and what it means.
    """
    settings, findings = parse_stored(item)
    if not is_stored_value(item.value):
        compact = item._replace(value=None)
        return JudgedObject(compact, settings, findings, not findings)
    value = item.value
    kept = StoredValue(settings=value["settings"])
    kept["created"] = str(value.get("created", ""))
    changes = get_changes(value)
    if changes:
        kept["changes"] = list(changes)
    is_settled = True
    if findings:
        is_settled, good = find_last_good(item)
        if is_settled:
            kept["audit"] = {"before": good}
        settings = parse_settings(item.path, good)[0] if good else None
    return JudgedObject(item._replace(value=kept), settings, findings, is_settled)


def parse_stored(
    item: PlatformObject,
) -> tuple[SettingsObject | None, tuple[Finding, ...]]:
    """Check one stored object and return its typed settings.

    Parameters
    ----------
    item : PlatformObject
        The object, compact or as the platform keeps it.

    Returns
    -------
    tuple
        The settings, or None, and all findings. A deletion has neither.
    """
    if item.deleted or is_deletion(item.value):
        return None, ()
    if not is_stored_value(item.value):
        text = "a settings object has the keys settings and audit"
        return None, (Finding(item.path, "", text),)
    return parse_settings(item.path, item.value["settings"])


def find_last_good(item: PlatformObject) -> tuple[bool, dict[str, object] | None]:
    """Return the settings that held before a faulty object.

    Parameters
    ----------
    item : PlatformObject
        An object whose own settings have findings.

    Returns
    -------
    tuple
        Whether the history tells, and the newest settings in it that pass the
        checks. They are None, and the history tells it, if the object was made
        or deleted since: what was deleted must not come back.
    """
    earlier = (record.get("before") for record in get_records(item.value))
    for value in earlier:
        if value is None or not parse_settings(item.path, value)[1]:
            return True, value
    return False, None
