"""What operators set of the decisions under load.

The environment variable `LOAD_VARIABLE` holds a JSON object. A value that is wrong
costs itself alone: an instance that did not start would cost its callers more than a
default. This module loads no schema library, whose import takes a part of each start.
"""

import math
from collections.abc import Iterator, Mapping
from itertools import repeat
from typing import NamedTuple

from beryltrack.findings import Finding, format_pointer
from beryltrack.load.messages import LOWEST_PRIORITY
from beryltrack.load.policy import LoadPolicy
from beryltrack.settings.json_text import load_json
from beryltrack.settings.options import Option, OptionKind, OptionTable

LOAD_VARIABLE = "BERYLTRACK_LOAD"
"""Environment variable with the options of `LOAD_OPTIONS`, as a JSON object."""

MAX_TEXT_LENGTH = 10_000
"""Characters that the variable may have: far more than all options need, and few enough
that no nesting of it exhausts the stack of the reader."""

PRIORITIES = LOWEST_PRIORITY + 1

MAX_FLOORS_SUM = 0.9
"""What floors add up to at most: with all turns given away by floors, none would be
left for the most urgent, and its expected wait would have no bound."""

_DEFAULTS = LoadPolicy()

LOAD_OPTIONS = OptionTable(
    "load",
    "The figures of the decisions under load at each owner and database, in the "
    f"environment variable `{LOAD_VARIABLE}` of each process, read once at its start. "
    "What is wrong is logged, and its default stays in force; an unknown name is "
    "passed over.",
    (
        Option(
            "is_limited",
            OptionKind.FLAG,
            "False lets as many operations run at a database as connections are open.",
            _DEFAULTS.is_limited,
        ),
        Option(
            "is_ordered",
            OptionKind.FLAG,
            "False lets operations wait in the order of their arrival, whatever their "
            "priority and account.",
            _DEFAULTS.is_ordered,
        ),
        Option(
            "refuses_early",
            OptionKind.FLAG,
            "False refuses an operation only when its own time is over.",
            _DEFAULTS.refuses_early,
        ),
        Option(
            "per_slot",
            OptionKind.NUMBER,
            "Operations for each slot of a database that all owners together let run "
            "at first.",
            _DEFAULTS.per_slot,
            "operations",
            0.1,
            100,
        ),
        Option(
            "floors",
            OptionKind.NUMBERS,
            "Least part of the turns that each priority gets while it waits, from zero "
            f"(the most urgent) on. At most {PRIORITIES} parts, together at most "
            f"{MAX_FLOORS_SUM}; zero for what is left out.",
            _DEFAULTS.floors,
            "of the turns",
            0,
            1,
        ),
        Option(
            "most_wait",
            OptionKind.NUMBER,
            "Part of its target latency for which an operation waits without being "
            "refused.",
            _DEFAULTS.most_wait,
            "of the target latency",
            0,
            100,
        ),
    ),
)


Place = tuple[str | int, ...]
"""Names and numbers that lead to a value."""


class _Reading(NamedTuple):
    """An option's value, or what is wrong with it."""

    value: object = None
    wrong: tuple[tuple[Place, str], ...] = ()


def read_load_policy(
    environment: Mapping[str, str],
) -> tuple[LoadPolicy, tuple[Finding, ...]]:
    """Return the figures that the environment sets.

    Returns
    -------
    tuple
        The figures, with the defaults of what is absent or wrong, and a finding for
        each value that is wrong, with its place as a JSON pointer.
    """
    text = environment.get(LOAD_VARIABLE, "")
    if not text.strip():
        return _DEFAULTS, ()
    if len(text) > MAX_TEXT_LENGTH:
        return _DEFAULTS, (_find((), f"is longer than {MAX_TEXT_LENGTH} characters"),)
    value, findings = load_json(text, LOAD_VARIABLE)
    if findings:
        return _DEFAULTS, findings
    if not isinstance(value, dict):
        return _DEFAULTS, (_find((), "is no JSON object"),)
    return _read_options(value)


def _read_options(
    value: dict[str, object],
) -> tuple[LoadPolicy, tuple[Finding, ...]]:
    """Return what an object's options set, and what is wrong with them."""
    known = {option.name: option for option in LOAD_OPTIONS.options}
    unknown = tuple(
        _find((name,), "names no option") for name in value if name not in known
    )
    readings = {
        name: _read_option(option, value[name])
        for name, option in known.items()
        if name in value
    }
    wrong = tuple(
        _find((name, *place), text)
        for name, reading in readings.items()
        for place, text in reading.wrong
    )
    used = {name: each.value for name, each in readings.items() if not each.wrong}
    return _DEFAULTS._replace(**used), unknown + wrong


def _read_option(option: Option, value: object) -> _Reading:
    """Return the value of one option."""
    if option.kind is OptionKind.FLAG:
        return _Reading(value) if isinstance(value, bool) else _refuse_form(option)
    if option.kind is OptionKind.NUMBERS:
        return _read_parts(option, value)
    wrong = tuple(((), text) for text in _judge_number(option, value))
    return _Reading(None, wrong) if wrong else _Reading(float(value))


def _read_parts(option: Option, value: object) -> _Reading:
    """Return the parts of a whole, one for each priority."""
    if not isinstance(value, list):
        return _refuse_form(option)
    wrong = tuple(
        ((number,), text)
        for number, part in enumerate(value)
        for text in _judge_number(option, part)
    )
    if len(value) > PRIORITIES:
        wrong += (((), f"has {len(value)} parts, and there are {PRIORITIES}"),)
    elif not wrong and math.fsum(value) > MAX_FLOORS_SUM:
        wrong += (((), f"adds up to {math.fsum(value):g}, over {MAX_FLOORS_SUM}"),)
    if wrong:
        return _Reading(None, wrong)
    absent = repeat(0.0, PRIORITIES - len(value))
    return _Reading((*map(float, value), *absent))


def _judge_number(option: Option, value: object) -> Iterator[str]:
    """Return what is wrong with a number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not option.minimum <= value <= option.maximum:
        bounds = f"{option.minimum:g} to {option.maximum:g}"
        yield f"is no number from {bounds} {option.unit}"


def _refuse_form(option: Option) -> _Reading:
    """Return that a value has not the form that it must have."""
    return _Reading(None, (((), f"is no {option.kind.value}"),))


def _find(place: Place, text: str) -> Finding:
    """Return a finding about the variable."""
    return Finding(LOAD_VARIABLE, format_pointer(place), text)
