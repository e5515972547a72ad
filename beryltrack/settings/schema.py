"""Validates JSON values against an options table and reports all findings.

It builds JSON schemas (draft 2020-12) from the table, validates with the
`jsonschema` library, and converts its errors to findings with a JSON pointer each.
"""

import functools
import ipaddress
import math

from jsonschema import Draft202012Validator, FormatChecker, TypeChecker
from jsonschema.exceptions import ValidationError
from jsonschema.protocols import Validator
from jsonschema.validators import extend

from beryltrack.findings import Finding, format_pointer
from beryltrack.settings.options import REQUIRED, Option, OptionKind, OptionTable

MAX_PORT = 65535
MAX_MESSAGE_LENGTH = 300
"""Maximum length of a finding's text, characters."""

SCHEMA_TYPES = {
    OptionKind.TEXT: "string",
    OptionKind.INTEGER: "integer",
    OptionKind.NUMBER: "number",
    OptionKind.FLAG: "boolean",
}
FORMAT_CHECKER = FormatChecker(formats=())


@FORMAT_CHECKER.checks("ip", raises=ValueError)
def _check_ip(value: object) -> bool:
    """Return True for an IP address, raise `ValueError` for any other text."""
    if isinstance(value, str):
        ipaddress.ip_address(value)
    return True


def _is_integer(checker: TypeChecker, value: object) -> bool:
    """Return whether a value is an integer; 20.0 is not, as it would become a float."""
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(checker: TypeChecker, value: object) -> bool:
    """Return whether a value is a finite number; NaN would pass all bounds."""
    return _is_integer(checker, value) or (
        isinstance(value, float) and math.isfinite(value)
    )


STRICT_TYPES = Draft202012Validator.TYPE_CHECKER.redefine_many(
    {"integer": _is_integer, "number": _is_number}
)
StrictValidator = extend(Draft202012Validator, type_checker=STRICT_TYPES)


def build_schema(options: tuple[Option, ...]) -> dict[str, object]:
    """Return the JSON schema of an object with these options."""
    return {
        "type": "object",
        "properties": {option.name: _build_option_schema(option) for option in options},
        "required": [option.name for option in options if option.default is REQUIRED],
        "additionalProperties": False,
    }


def _build_option_schema(option: Option) -> dict[str, object]:
    """Return the JSON schema of one option's value."""
    match option.kind:
        case OptionKind.ENDPOINT:
            return _build_endpoint_schema(option)
        case OptionKind.TABLE:
            schema = {"type": "array", "items": build_schema(option.columns)}
            names = ("minItems", "maxItems")
        case OptionKind.TEXT:
            schema = {"type": "string"}
            names = ("minLength", "maxLength")
        case kind:
            schema = {"type": SCHEMA_TYPES[kind]}
            names = ("minimum", "maximum")
    if option.default is None:
        schema["type"] = [schema["type"], "null"]
    if option.pattern:
        schema["pattern"] = option.pattern
    if option.choices:
        schema["enum"] = list(option.choices)
    bounds = zip(names, (option.minimum, option.maximum), strict=True)
    return schema | {name: bound for name, bound in bounds if bound is not None}


def _build_endpoint_schema(option: Option) -> dict[str, object]:
    """Return the JSON schema of an endpoint."""
    port = {"type": "integer", "minimum": option.minimum, "maximum": MAX_PORT}
    return {
        "type": "object",
        "properties": {"host": {"type": "string", "format": "ip"}, "port": port},
        "required": ["host", "port"],
        "additionalProperties": False,
    }


@functools.cache
def _get_validator(table: OptionTable) -> Validator:
    """Return the cached validator of a table."""
    return StrictValidator(build_schema(table.options), format_checker=FORMAT_CHECKER)


def _is_secret(table: OptionTable, error: ValidationError) -> bool:
    """Return whether an error's message could show a secret value."""
    names = {option.name for option in table.options if option.secret}
    return bool(error.absolute_path) and error.absolute_path[0] in names


def validate_value(
    table: OptionTable, value: object, source: str
) -> tuple[Finding, ...]:
    """Return all errors of one JSON value.

    Parameters
    ----------
    table : OptionTable
        The options that the value may have.
    value : object
        The JSON value.
    source : str
        The value's origin, for the findings.

    Returns
    -------
    tuple of Finding
        Empty if the value is valid.
    """
    errors = sorted(
        _get_validator(table).iter_errors(value),
        key=lambda error: [str(part) for part in error.absolute_path],
    )
    return tuple(
        Finding(
            source,
            format_pointer(tuple(error.absolute_path)),
            "the value does not have the required form"
            if _is_secret(table, error)
            else error.message[:MAX_MESSAGE_LENGTH],
        )
        for error in errors
    )


def fill_defaults(
    options: tuple[Option, ...], value: dict[str, object]
) -> dict[str, object]:
    """Return a valid JSON object with defaults in place of omitted options."""
    return {
        option.name: _fill_option(option, value.get(option.name, option.default))
        for option in options
    }


def _fill_option(option: Option, value: object) -> object:
    """Return an option's value; objects in a table get the defaults of its columns."""
    if option.kind is not OptionKind.TABLE:
        return value
    return [fill_defaults(option.columns, row) for row in value]
