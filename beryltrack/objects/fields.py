"""Reads objects of the store field by field, by the type that each field has.

Other programs write to the store too, and not all of them write what is agreed. So
each field of an object is checked, and an object that fails a check is a finding that
costs nothing but that object. All checks of one object are reported together.
"""

import ipaddress
import math
from collections.abc import Callable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.settings.messages import Endpoint

MAX_PORT = 65535

MAX_NAME = 255
"""Most characters of a name: more than any platform gives, and few enough for a line
of the log and of the protocols that carry it."""


class Field(NamedTuple):
    """One field of an object.

    Parameters
    ----------
    name : str
        Its name in the object.
    parse : callable
        Returns its value in the product's form, or raises `ValueError` with what is
        wrong.
    is_required : bool
        False if the field may be missing.
    """

    name: str
    parse: Callable[[object], object]
    is_required: bool = True


def read_fields(
    source: str, place: str, value: object, fields: tuple[Field, ...]
) -> tuple[dict[str, object], list[Finding]]:
    """Return the fields of an object, and all that is wrong with them.

    Parameters
    ----------
    source : str
        Path of the object in the store.
    place : str
        Where in the object the fields stand; empty for the object itself.
    value : object
        What stands there.
    fields : tuple of Field
        The fields to read; others are left alone.

    Returns
    -------
    tuple
        The values of the fields that are there and right, and the findings.
    """
    if not isinstance(value, dict):
        return {}, [Finding(source, place, "is no object")]
    found: dict[str, object] = {}
    findings: list[Finding] = []
    for field in fields:
        if field.name not in value:
            if field.is_required:
                text = f"{field.name} is missing"
                findings.append(Finding(source, f"{place}/{field.name}", text))
            continue
        try:
            found[field.name] = field.parse(value[field.name])
        except ValueError as error:
            text = f"{field.name} {error}"
            findings.append(Finding(source, f"{place}/{field.name}", text))
    return found, findings


def read_nested(
    source: str, value: object, name: str, fields: tuple[Field, ...]
) -> tuple[dict[str, object], list[Finding]]:
    """Return the fields of an object that is itself a field; see `read_fields`."""
    outer, findings = read_fields(source, "", value, (Field(name, parse_map),))
    if findings:
        return {}, findings
    return read_fields(source, f"/{name}", outer[name], fields)


def read_rows(
    source: str, name: str, value: dict[str, object], fields: tuple[Field, ...]
) -> tuple[list[dict[str, object]], list[Finding]]:
    """Return the rows of a list, one of an object's fields, that can be read.

    Returns
    -------
    tuple
        The rows that are right, and what is wrong with the others.
    """
    pairs = [
        read_fields(source, f"/{name}/{index}", row, fields)
        for index, row in enumerate(value[name])
    ]
    rows = [row for row, findings in pairs if not findings]
    return rows, [finding for _, findings in pairs for finding in findings]


def parse_name(value: object) -> str:
    """Return a name: printable ASCII without blanks, as protocols carry it.

    Raises
    ------
    ValueError
        If it is none.
    """
    is_name = (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME
        and value.isascii()
        and value.isprintable()
        and " " not in value
    )
    if not is_name:
        raise ValueError("is no name")
    return value


def parse_whole_number(value: object) -> int:
    """Return a whole number from 0 on; 3.0, true and "3" are none.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError("is no whole number from 0 on")
    return value


def parse_positive(value: object) -> int:
    """Return a whole number from 1 on.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not parse_whole_number(value):
        raise ValueError("is 0")
    return value


def parse_number(value: object) -> float:
    """Return a number that is not negative.

    Raises
    ------
    ValueError
        If it is none; not a number and infinity are none.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        number = float(value) if is_number else math.nan
    except OverflowError:
        number = math.nan
    if not math.isfinite(number) or number < 0:
        raise ValueError("is no number from 0 on")
    return number


def parse_port(value: object) -> int:
    """Return a TCP port.

    Raises
    ------
    ValueError
        If it is none.
    """
    if parse_positive(value) > MAX_PORT:
        raise ValueError(f"is over {MAX_PORT}")
    return value


def parse_ip(value: object) -> str:
    """Return an IP number.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str):
        raise ValueError("is no IP number")
    ipaddress.ip_address(value)
    return value


def parse_address(value: object) -> Endpoint:
    """Return the endpoint that a text ``IP:PORT`` stands for.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str):
        raise ValueError("is no address")
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError("is an address without a port")
    return Endpoint(parse_ip(host), parse_port(int(port)))


def make_choice_parser(choices: tuple[str, ...]) -> Callable[[object], str]:
    """Return what parses one of some texts."""

    def parse(value: object) -> str:
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"is none of {', '.join(choices)}")
        return value

    return parse


def parse_text(value: object) -> str:
    """Return a text that is not empty.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("is no text")
    return value


def parse_flag(value: object) -> bool:
    """Return true or false.

    Raises
    ------
    ValueError
        If it is neither.
    """
    if not isinstance(value, bool):
        raise ValueError("is neither true nor false")
    return value


def parse_names(value: object) -> list[str]:
    """Return a list of names; see `parse_name`.

    Raises
    ------
    ValueError
        If it is none.
    """
    return [parse_name(each) for each in parse_list(value)]


def parse_map(value: object) -> dict:
    """Return an object of JSON.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, dict):
        raise ValueError("is no object")
    return value


def parse_list(value: object) -> list:
    """Return a list.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, list):
        raise ValueError("is no list")
    return value
