"""Converts named tuples to JSON values and back, with `cattrs`.

Processes of different releases exchange the JSON form, so named tuples become objects
with named fields rather than arrays.
"""

from typing import TypeVar

import cattrs
from cattrs.cols import (
    is_namedtuple,
    namedtuple_dict_structure_factory,
    namedtuple_dict_unstructure_factory,
)

T = TypeVar("T")


def _build_converter() -> cattrs.Converter:
    """Return a converter between named tuples and JSON objects."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook_factory(
        is_namedtuple, lambda kind: namedtuple_dict_unstructure_factory(kind, converter)
    )
    converter.register_structure_hook_factory(
        is_namedtuple, lambda kind: namedtuple_dict_structure_factory(kind, converter)
    )
    return converter


_CONVERTER = _build_converter()


def to_json(value: object) -> object:
    """Return a typed value as JSON objects, arrays and scalars."""
    return _CONVERTER.unstructure(value)


def from_json(value: object, kind: type[T]) -> T:
    """Return a value of type `kind` from its JSON form.

    Raises
    ------
    ValueError
        If a field is missing or has another type.
    """
    try:
        return _CONVERTER.structure(value, kind)
    except (cattrs.BaseValidationError, AttributeError, TypeError) as error:
        raise ValueError(f"no {kind.__name__}: {error}") from error
