"""The stored form of a settings object: the settings with their audit record.

The audit record is part of the same value as the change that it describes, so
both are written or lost together. Older records stay in the value as its
history, newest first, up to a maximum number and size.
"""

import json
from typing import NamedTuple, NotRequired, TypedDict

MAX_HISTORY = 20
"""Maximum number of audit records in a value, including the newest."""

MAX_CHANGE_IDS = 8
"""Number of an object's newest changes whose identifiers proxies keep: more than are
made in the seconds that a restored store may have lost."""

MAX_VALUE_BYTES = 512 * 1024
"""Size above which the oldest history is dropped. The platform stores values of up to a
megabyte; half of that is left for growth."""


class AuditRecord(TypedDict):
    """Author, time, reason and previous settings of a change.

    Keys are ``change_id`` (text, unique to the change), ``who``, ``when`` (UTC,
    ISO 8601), ``why``, ``from_version`` (the version that the change replaced, 0
    if there was no object) and ``before`` (the settings that it replaced, None if
    there were none).
    """

    change_id: str
    who: str
    when: str
    why: str
    from_version: int
    before: dict[str, object] | None


class StoredValue(TypedDict):
    """A settings object as the platform stores it, or in the proxies' compact form.

    ``settings`` is None after a deletion; the object itself stays, so that the
    audit record of the deletion stays too. ``created`` is the time of the first
    change (UTC, ISO 8601); it decides between two teams that claim one name.
    ``changes`` is part of the compact form only: identifiers of the last changes,
    newest first.
    """

    settings: dict[str, object] | None
    audit: NotRequired[AuditRecord]
    history: NotRequired[list[AuditRecord]]
    created: NotRequired[str]
    changes: NotRequired[list[str]]


class ChangeRequest(NamedTuple):
    """One change requested by an operator.

    Parameters
    ----------
    path : str
        Path of the object.
    settings : dict or None
        The new settings; None deletes the object.
    who, why : str
        Author and reason, for the audit record.
    when : str
        Time of the change, UTC in ISO 8601.
    change_id : str
        Unique identifier of the change.
    if_version : int or None
        Version that the change must replace; None for the current one.
    """

    path: str
    settings: dict[str, object] | None
    who: str
    why: str
    when: str
    change_id: str
    if_version: int | None = None


def is_stored_value(value: object) -> bool:
    """Return whether a JSON value has the stored form."""
    if not isinstance(value, dict) or "settings" not in value:
        return False
    history = value.get("history", [])
    records = [value.get("audit", {}), *(history if isinstance(history, list) else [0])]
    return all(isinstance(record, dict) for record in records)


def is_deletion(value: object) -> bool:
    """Return whether a JSON value is the record of a deletion."""
    return is_stored_value(value) and value["settings"] is None


def get_settings(value: StoredValue | None) -> dict[str, object] | None:
    """Return the settings of a stored value, None if there are none."""
    return value["settings"] if is_stored_value(value) else None


def get_records(value: StoredValue | None) -> tuple[AuditRecord, ...]:
    """Return the audit records of a stored value, newest first."""
    if not is_stored_value(value):
        return ()
    newest = (value["audit"],) if value.get("audit") else ()
    return (*newest, *value.get("history", ()))


def get_change_ids(value: object) -> tuple[str, ...]:
    """Return the identifiers of the last changes of a stored value, newest first."""
    if not is_stored_value(value):
        return ()
    change_ids = value.get("changes")
    if not isinstance(change_ids, list):
        change_ids = [record.get("change_id") for record in get_records(value)]
    return tuple(item for item in change_ids if isinstance(item, str))[:MAX_CHANGE_IDS]


def is_superseded(value: object, later: object) -> bool:
    """Return whether the last change of `value` precedes that of `later`."""
    own, others = get_change_ids(value)[:1], get_change_ids(later)[1:]
    return bool(own) and own[0] in others


def build_value(
    request: ChangeRequest, version: int, present: StoredValue | None
) -> StoredValue:
    """Return the stored value after a change.

    Parameters
    ----------
    request : ChangeRequest
        The change.
    version : int
        Current version of the object, 0 if there is none.
    present : StoredValue or None
        Current value of the object.

    Returns
    -------
    StoredValue
        The new settings with their audit record and the bounded history.
    """
    record = AuditRecord(
        change_id=request.change_id,
        who=request.who,
        when=request.when,
        why=request.why,
        from_version=version,
        before=get_settings(present),
    )
    created = request.when
    if is_stored_value(present) and isinstance(present.get("created"), str):
        created = present["created"]
    history = list(get_records(present)[: MAX_HISTORY - 1])
    value = StoredValue(
        settings=request.settings, audit=record, history=history, created=created
    )
    while value["history"] and len(json.dumps(value)) > MAX_VALUE_BYTES:
        value["history"].pop()
    return value
