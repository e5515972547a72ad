"""Parses the platform's JSON answers into typed messages.

The platform is trusted but its answers cross a network: a field that is
missing or of another type raises `ValueError`, which the client reports.
"""

import logging

from beryltrack.objects.eras import make_version
from beryltrack.objects.messages import InstanceEntry, ObjectList, PlatformObject

log = logging.getLogger(__name__)


def _get_field(answer: object, name: str, kind: type) -> object:
    """Return one field of a JSON object, or raise `ValueError`."""
    if not isinstance(answer, dict):
        raise ValueError("the answer is not a JSON object")
    value = answer.get(name)
    if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
        raise ValueError(f"the answer's field {name} is not of type {kind.__name__}")
    return value


def parse_version(answer: object, era: int = 0) -> int:
    """Return the version in the answer to a change.

    Parameters
    ----------
    answer : object
        The JSON value.
    era : int
        The era that the answer belongs to.

    Raises
    ------
    ValueError
        If it has none.
    """
    return make_version(era, _get_field(answer, "version", int))


def parse_object(answer: object, era: int = 0) -> PlatformObject:
    """Return one object from its JSON form, for an answer of an era.

    Raises
    ------
    ValueError
        If a field is missing or of another type.
    """
    path = _get_field(answer, "path", str)
    version = parse_version(answer, era)
    deleted = answer.get("deleted") is True
    value = None if deleted else answer.get("value")
    return PlatformObject(path, version, value, deleted)


def parse_list(answer: object, era: int = 0) -> ObjectList:
    """Return the objects of a list or a watch, for an answer of an era.

    Raises
    ------
    ValueError
        If a field is missing or of another type.
    """
    revision = _get_field(answer, "revision", int)
    objects = _get_field(answer, "objects", list)
    parsed = (_parse_or_skip(item, era) for item in objects)
    known = tuple(item for item in parsed if item is not None)
    return ObjectList(make_version(era, revision), known)


def _parse_or_skip(item: object, era: int) -> PlatformObject | None:
    """Return one object of a list, None for a malformed one, which is logged."""
    try:
        return parse_object(item, era)
    except ValueError as error:
        log.warning("objects: Skipped a malformed object of a list: %s.", error)
        return None


def _parse_instance(answer: object) -> InstanceEntry:
    """Return one entry of the instance list."""
    return InstanceEntry(
        _get_field(answer, "name", str),
        _get_field(answer, "host", str),
        _get_field(answer, "port", int),
        _get_field(answer, "zone", str),
        _get_field(answer, "state", str),
    )


def parse_instances(answer: object, era: int = 0) -> tuple[InstanceEntry, ...]:
    """Return the instance list, which has no versions.

    Raises
    ------
    ValueError
        If a field is missing or of another type.
    """
    instances = _get_field(answer, "instances", list)
    return tuple(_parse_instance(item) for item in instances)
