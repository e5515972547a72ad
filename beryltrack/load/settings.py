"""Operators' settings of the overload control, from the environment.

The environment variable `LOAD_VARIABLE` holds a JSON object. An invalid value is
reported and replaced by its default alone: an instance that did not start would cost
its callers more than a default. The module imports no schema library, as that would
slow down each start.
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
"""Length limit of the variable, characters: far more than all options need, and few
enough that no nesting exhausts the stack of the JSON parser."""

PRIORITIES = LOWEST_PRIORITY + 1

MAX_FLOORS_SUM = 0.9
"""Largest sum of the minimum shares: if they took all starts, none would be left for
the most urgent priority, and its expected wait would have no bound."""

_DEFAULTS = LoadPolicy()

LOAD_OPTIONS = OptionTable(
    "load",
    "Parameters of the overload control at each owner and database, in the "
    f"environment variable `{LOAD_VARIABLE}` of each process, read once at its start. "
    "An invalid value is logged, and its default stays in force; an unknown name is "
    "logged and ignored.",
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
            "False lets operations run in the order of their arrival, whatever their "
            "priority and account.",
            _DEFAULTS.is_ordered,
        ),
        Option(
            "refuses_early",
            OptionKind.FLAG,
            "False refuses an operation only once its deadline has passed.",
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
            "Minimum share of the starts that each priority gets while it waits, from "
            f"zero (the most urgent) on. At most {PRIORITIES} shares, together at most "
            f"{MAX_FLOORS_SUM}; zero for each that is left out.",
            _DEFAULTS.floors,
            "of the starts",
            0,
            1,
        ),
        Option(
            "most_wait",
            OptionKind.NUMBER,
            "Fraction of its target latency for which an operation may wait; it is "
            "refused if it is expected to wait for longer.",
            _DEFAULTS.most_wait,
            "of the target latency",
            0,
            100,
        ),
    ),
)


Place = tuple[str | int, ...]
"""Path of a value in the JSON object: names of members and indexes of lists."""


class _Reading(NamedTuple):
    """An option's value, or the problems found in it, each with its place."""

    value: object = None
    problems: tuple[tuple[Place, str], ...] = ()


def read_load_policy(
    environment: Mapping[str, str],
) -> tuple[LoadPolicy, tuple[Finding, ...]]:
    """Return the policy that the environment sets.

    Returns
    -------
    tuple
        The policy, with defaults for absent and invalid values, and a finding for each
        problem, with its place as a JSON pointer.
    """
    text = environment.get(LOAD_VARIABLE, "")
    if not text.strip():
        return _DEFAULTS, ()
    if len(text) > MAX_TEXT_LENGTH:
        return _DEFAULTS, (
            _make_finding((), f"is longer than {MAX_TEXT_LENGTH} characters"),
        )
    value, findings = load_json(text, LOAD_VARIABLE)
    if findings:
        return _DEFAULTS, findings
    if not isinstance(value, dict):
        return _DEFAULTS, (_make_finding((), "is not a JSON object"),)
    return _read_options(value)


def _read_options(
    value: dict[str, object],
) -> tuple[LoadPolicy, tuple[Finding, ...]]:
    """Return the policy that an object's options set, and the problems found."""
    known = {option.name: option for option in LOAD_OPTIONS.options}
    unknown = tuple(
        _make_finding((name,), "unknown option") for name in value if name not in known
    )
    readings = {
        name: _read_option(option, value[name])
        for name, option in known.items()
        if name in value
    }
    invalid = tuple(
        _make_finding((name, *place), text)
        for name, reading in readings.items()
        for place, text in reading.problems
    )
    used = {name: each.value for name, each in readings.items() if not each.problems}
    return _DEFAULTS._replace(**used), unknown + invalid


def _read_option(option: Option, value: object) -> _Reading:
    """Return the value of one option."""
    if option.kind is OptionKind.FLAG:
        return _Reading(value) if isinstance(value, bool) else _reject_type(option)
    if option.kind is OptionKind.NUMBERS:
        return _read_shares(option, value)
    problems = tuple(((), text) for text in _check_number(option, value))
    return _Reading(None, problems) if problems else _Reading(float(value))


def _read_shares(option: Option, value: object) -> _Reading:
    """Return a list of shares, one for each priority."""
    if not isinstance(value, list):
        return _reject_type(option)
    problems = tuple(
        ((number,), text)
        for number, share in enumerate(value)
        for text in _check_number(option, share)
    )
    if len(value) > PRIORITIES:
        problems += (((), f"has {len(value)} shares, more than {PRIORITIES}"),)
    elif not problems and math.fsum(value) > MAX_FLOORS_SUM:
        problems += (((), f"adds up to {math.fsum(value):g}, over {MAX_FLOORS_SUM}"),)
    if problems:
        return _Reading(None, problems)
    absent = repeat(0.0, PRIORITIES - len(value))
    return _Reading((*map(float, value), *absent))


def _check_number(option: Option, value: object) -> Iterator[str]:
    """Yield the problem with a number, if there is one."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not option.minimum <= value <= option.maximum:
        bounds = f"{option.minimum:g} to {option.maximum:g}"
        yield f"is not a number from {bounds} {option.unit}"


def _reject_type(option: Option) -> _Reading:
    """Return the problem that a value is not of its option's type."""
    return _Reading(None, (((), f"expected {option.kind.value}"),))


def _make_finding(place: Place, text: str) -> Finding:
    """Return a finding about the variable."""
    return Finding(LOAD_VARIABLE, format_pointer(place), text)
