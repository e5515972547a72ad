"""The stored form of a settings object: the settings with their audit record.

The audit record is part of the same value as the change that it describes, so
neither can be kept or lost without the other. Older records stay in the value
as its history, newest first, within bounds.
"""

import json
from typing import NamedTuple, NotRequired, TypedDict

MAX_HISTORY = 20
MAX_KEPT_CHANGES = 8
"""Newest changes of an object whose identifiers proxies keep: more than are made in the
seconds that a store may lose."""
# The platform holds values of up to a megabyte; half of it is left for growth.
MAX_VALUE_BYTES = 512 * 1024


class AuditRecord(TypedDict):
    """Who changed an object, when, why, and what stood there before.

    Keys are ``change_id`` (text, unique to the change), ``who``, ``when`` (UTC,
    ISO 8601), ``why``, ``from_version`` (0 if there was no object) and
    ``before`` (the settings that were replaced, None if there were none).
    """

    change_id: str
    who: str
    when: str
    why: str
    from_version: int
    before: dict[str, object] | None


class StoredValue(TypedDict):
    """A settings object as the platform keeps it, or cut down as proxies do.

    ``settings`` is None after a deletion; the object itself stays, so that the
    record of the deletion stays too. ``created`` is the time of the first
    change (UTC, ISO 8601); it decides between two teams that claim one name.
    ``changes`` is kept by proxies: identifiers of the last changes, newest first.
    """

    settings: dict[str, object] | None
    audit: NotRequired[AuditRecord]
    history: NotRequired[list[AuditRecord]]
    created: NotRequired[str]
    changes: NotRequired[list[str]]


class ChangeRequest(NamedTuple):
    """One change that an operator asks for.

    Parameters
    ----------
    path : str
        Path of the object.
    settings : dict or None
        The new settings; None deletes the object.
    who, why : str
        For the audit record.
    when : str
        Time of the change, UTC in ISO 8601.
    change_id : str
        Identifier that no other change has.
    if_version : int or None
        Version that the change was made for; None takes the present one.
    """

    path: str
    settings: dict[str, object] | None
    who: str
    why: str
    when: str
    change_id: str
    if_version: int | None = None


def is_stored_value(value: object) -> bool:
    """Return whether a JSON value has the stored form at all."""
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


def get_changes(value: object) -> tuple[str, ...]:
    """Return the identifiers of the last changes of a stored value, newest first."""
    if not is_stored_value(value):
        return ()
    kept = value.get("changes")
    if not isinstance(kept, list):
        kept = [record.get("change_id") for record in get_records(value)]
    return tuple(item for item in kept if isinstance(item, str))[:MAX_KEPT_CHANGES]


def is_overtaken(value: object, later: object) -> bool:
    """Return whether a stored value is one that another one has followed."""
    own, others = get_changes(value)[:1], get_changes(later)[1:]
    return bool(own) and own[0] in others


def build_value(
    request: ChangeRequest, version: int, present: StoredValue | None
) -> StoredValue:
    """Return the value that carries out a change.

    Parameters
    ----------
    request : ChangeRequest
        The change.
    version : int
        Present version of the object, 0 if there is none.
    present : StoredValue or None
        Present value of the object.

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
