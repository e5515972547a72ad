"""Options of a request: accepted staleness, identifier, idempotence, where it may read.

An option is taken from the first of these sources that sets it: a tag in the
statement's comment, a setting of the session, the operators' first matching rule,
the default of the group.
"""

import math
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from beryltrack.findings import Finding
from beryltrack.sessions.rules import get_rule
from beryltrack.sessions.tags import get_tags
from beryltrack.settings.messages import GroupSettings, RuleSettings

SETTING_PREFIX = "beryltrack."
MAX_AGE = "max_age"
REQUEST_ID = "request_id"
IDEMPOTENT = "idempotent"
OPTION_NAMES = (MAX_AGE, REQUEST_ID, IDEMPOTENT)
OPTION_SETTINGS = frozenset(SETTING_PREFIX + name for name in OPTION_NAMES)

MAX_REQUEST_ID_LENGTH = 128
"""Characters."""
LONGEST_MAX_AGE = 86400.0
"""Maximum staleness that a request can accept, seconds."""

READS_ANY = "any"
READS_PRIMARY = "primary"

_SECONDS_PER_UNIT = {"ms": 0.001, "": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_DURATION = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(ms|s|min|h|)\s*", re.ASCII)
_REQUEST_ID = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_LENGTH}}}")
_TRUE_TEXTS = frozenset(("on", "true", "yes", "1"))
_FALSE_TEXTS = frozenset(("off", "false", "no", "0"))

_Value = TypeVar("_Value")


class RequestOptions(NamedTuple):
    """The options that apply to a request.

    Parameters
    ----------
    max_age : float
        Staleness that a read accepts, seconds, counted back from its arrival.
        Zero: it must show all writes acknowledged before it arrived.
    request_id : str
        Identifier of the request, chosen by the caller; empty for none.
    idempotent : bool
        False if the request must run at most once.
    reads : str
        `READS_ANY` or `READS_PRIMARY`: where a read may go.
    """

    max_age: float
    request_id: str
    idempotent: bool
    reads: str


def get_request_options(
    session_settings: Mapping[str, str],
    statement: str,
    group: GroupSettings,
    rules: tuple[RuleSettings, ...],
    user: str,
) -> tuple[RequestOptions, list[Finding]]:
    """Return the options of a request.

    Parameters
    ----------
    session_settings : mapping of str to str
        Settings of the session by full name, for example
        ``beryltrack.max_age``. Others are ignored.
    statement : str
        Text of the statement.
    group : GroupSettings
        The group that the caller is connected to.
    rules : tuple of RuleSettings
        All rules, in order.
    user : str
        User of the caller.

    Returns
    -------
    options : RequestOptions
        The options; malformed ones are ignored.
    findings : list of Finding
        All malformed tags and settings. A request with findings must be
        refused with SQLSTATE 22023, as it may ask to run at most once.
    """
    rule = get_rule(rules, group, user, statement)
    options = _get_default_options(group, rule)
    tags = get_tags(statement)
    # Most requests set no option, so there is nothing to parse.
    if not tags and OPTION_SETTINGS.isdisjoint(session_settings):
        return options, []
    texts = [
        *(
            _OptionText("session", name, session_settings.get(SETTING_PREFIX + name))
            for name in OPTION_NAMES
        ),
        *(_OptionText("statement tag", tag.key, tag.value) for tag in tags),
    ]
    return _apply_texts(options, texts)


def parse_duration(text: str) -> tuple[float | None, list[Finding]]:
    """Return a duration in seconds.

    Parameters
    ----------
    text : str
        A number with a unit ``ms``, ``s``, ``min`` or ``h``; without a unit
        it counts as milliseconds, as in PostgreSQL.

    Returns
    -------
    seconds : float or None
        The duration; None if there are findings.
    findings : list of Finding
        What is wrong with the text.
    """
    match = _DURATION.fullmatch(text)
    seconds = float(match[1]) * _SECONDS_PER_UNIT[match[2]] if match else math.inf
    if seconds <= LONGEST_MAX_AGE:
        return seconds, []
    limit = f"{LONGEST_MAX_AGE:.0f}s"
    return None, [
        Finding("", "", f"must be a duration such as 500ms or 2s, up to {limit}")
    ]


def parse_request_id(text: str) -> tuple[str | None, list[Finding]]:
    """Parse a request's identifier: printable ASCII without spaces, or empty."""
    if not text or _REQUEST_ID.fullmatch(text):
        return text, []
    limit = MAX_REQUEST_ID_LENGTH
    return None, [Finding("", "", f"must be at most {limit} printable characters")]


def parse_switch(text: str) -> tuple[bool | None, list[Finding]]:
    """Parse a boolean, in the spellings of PostgreSQL."""
    lowered = text.strip().lower()
    if lowered in _TRUE_TEXTS | _FALSE_TEXTS:
        return lowered in _TRUE_TEXTS, []
    return None, [Finding("", "", "must be on or off")]


class _OptionText(NamedTuple):
    """The text of one option and its source; no text if it is not set there."""

    source: str
    name: str
    text: str | None


_PARSERS: dict[str, Callable[[str], tuple[object, list[Finding]]]] = {
    MAX_AGE: parse_duration,
    REQUEST_ID: parse_request_id,
    IDEMPOTENT: parse_switch,
}


def _get_default_options(
    group: GroupSettings, rule: RuleSettings | None
) -> RequestOptions:
    """Return the options that the operators' settings give a request."""
    if rule is None:
        return RequestOptions(group.max_age, "", True, READS_ANY)
    max_age = _get_first(rule.max_age, group.max_age)
    return RequestOptions(max_age, "", _get_first(rule.idempotent, True), rule.reads)


def _get_first(value: _Value | None, default: _Value) -> _Value:
    """Return a value, or the default if there is none."""
    return default if value is None else value


def _apply_texts(
    options: RequestOptions, texts: list[_OptionText]
) -> tuple[RequestOptions, list[Finding]]:
    """Return options updated by the texts; the last valid text of a name wins."""
    findings = []
    for source, name, text in texts:
        if text is None:
            continue
        value, found = _parse_option(name, text)
        findings += (Finding(source, name, finding.text) for finding in found)
        if not found:
            options = options._replace(**{name: value})
    return options, findings


def _parse_option(name: str, text: str) -> tuple[object, list[Finding]]:
    """Parse the value of one option."""
    parser = _PARSERS.get(name)
    if parser is None:
        return None, [Finding("", "", "is not a request option")]
    return parser(text)
