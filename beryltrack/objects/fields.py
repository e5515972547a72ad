"""Validates objects of the store field by field, against a type for each field.

Other programs write to the store too, and not all of them keep to the format. A field
that fails its check becomes a finding, which invalidates its own object only. All
findings of one object are reported together.
"""

import ipaddress
import math
from collections.abc import Callable
from typing import NamedTuple

from beryltrack.findings import Finding
from beryltrack.settings.messages import Endpoint

MAX_PORT = 65535
"""Highest TCP port."""

MAX_NUMBER = 2**63 - 1
"""Largest number: what a signed 64-bit integer holds. Larger ones overflow the floats
that are computed from them."""

MAX_NAME_LENGTH = 255
"""Characters of a name: more than any platform assigns, and few enough for a line of
the log and of the protocols that carry it."""


class Field(NamedTuple):
    """One field of an object.

    Parameters
    ----------
    name : str
        Its name in the object.
    parse : callable
        Returns the parsed value, or raises `ValueError` that says what is wrong.
    is_required : bool
        False if the field may be missing.
    """

    name: str
    parse: Callable[[object], object]
    is_required: bool = True


def read_fields(
    source: str, place: str, value: object, fields: tuple[Field, ...]
) -> tuple[dict[str, object], list[Finding]]:
    """Return the valid fields of an object, and all findings about the others.

    Parameters
    ----------
    source : str
        Path of the object in the store.
    place : str
        JSON pointer to the fields inside the object; empty for the object itself.
    value : object
        The JSON value at that place.
    fields : tuple of Field
        The fields to read; others are ignored.

    Returns
    -------
    tuple
        The values of the fields that are present and valid, and the findings.
    """
    if not isinstance(value, dict):
        return {}, [Finding(source, place, "is not an object")]
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
    """Return the fields of the object that is field `name`; see `read_fields`."""
    outer, findings = read_fields(source, "", value, (Field(name, parse_map),))
    if findings:
        return {}, findings
    return read_fields(source, f"/{name}", outer[name], fields)


def read_rows(
    source: str, name: str, value: dict[str, object], fields: tuple[Field, ...]
) -> tuple[list[dict[str, object]], list[Finding]]:
    """Return the valid rows of the list that is an object's field `name`.

    Returns
    -------
    tuple
        The valid rows, and the findings about the others.
    """
    pairs = [
        read_fields(source, f"/{name}/{index}", row, fields)
        for index, row in enumerate(value[name])
    ]
    rows = [row for row, findings in pairs if not findings]
    return rows, [finding for _, findings in pairs for finding in findings]


def parse_name(value: object) -> str:
    """Return a name: printable ASCII without spaces, as protocols carry it.

    Raises
    ------
    ValueError
        If it is none.
    """
    is_name = (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_LENGTH
        and value.isascii()
        and value.isprintable()
        and " " not in value
    )
    if not is_name:
        raise ValueError("is not a valid name")
    return value


def parse_whole_number(value: object) -> int:
    """Return a whole number from 0 to `MAX_NUMBER`; 3.0, true and "3" are invalid.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError("is not a whole number of at least 0")
    if value > MAX_NUMBER:
        raise ValueError(f"exceeds {MAX_NUMBER}")
    return value


def parse_positive(value: object) -> int:
    """Return a whole number of at least 1.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not parse_whole_number(value):
        raise ValueError("is 0")
    return value


def parse_number(value: object) -> float:
    """Return a number from 0 to `MAX_NUMBER`.

    Raises
    ------
    ValueError
        If it is none; NaN and infinity are invalid.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        number = float(value) if is_number else math.nan
    except OverflowError:
        number = math.nan
    if not math.isfinite(number) or number < 0:
        raise ValueError("is not a number of at least 0")
    if number > MAX_NUMBER:
        raise ValueError(f"exceeds {MAX_NUMBER}")
    return number


def parse_port(value: object) -> int:
    """Return a TCP port.

    Raises
    ------
    ValueError
        If it is none.
    """
    if parse_positive(value) > MAX_PORT:
        raise ValueError(f"exceeds {MAX_PORT}")
    return value


def parse_ip(value: object) -> str:
    """Return an IP address.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str):
        raise ValueError("is not an IP address")
    ipaddress.ip_address(value)
    return value


def parse_address(value: object) -> Endpoint:
    """Return the endpoint of an address of the form ``IP:PORT``.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str):
        raise ValueError("is not an address IP:PORT")
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError("is an address without a valid port")
    return Endpoint(parse_ip(host), parse_port(int(port)))


def make_choice_parser(choices: tuple[str, ...]) -> Callable[[object], str]:
    """Return a parser that accepts one of the given strings."""

    def parse(value: object) -> str:
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"is not one of {', '.join(choices)}")
        return value

    return parse


def parse_text(value: object) -> str:
    """Return a non-empty string.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("is not a non-empty string")
    return value


def parse_flag(value: object) -> bool:
    """Return a boolean.

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
    """Return a JSON object.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, dict):
        raise ValueError("is not an object")
    return value


def parse_list(value: object) -> list:
    """Return a JSON list.

    Raises
    ------
    ValueError
        If it is none.
    """
    if not isinstance(value, list):
        raise ValueError("is not a list")
    return value
