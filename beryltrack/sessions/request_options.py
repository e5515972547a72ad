"""The marks of a request: the staleness it accepts, and how often it may run.

A mark can be written in four places. The one nearest to the request counts: a
tag in the statement's comment, then a setting of the session, then the first
rule of the operators that matches, then the default of the group.
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
LONGEST_MAX_AGE = 86400.0
"""Most staleness that a request can accept, seconds."""

READS_ANY = "any"
READS_PRIMARY = "primary"

_SECONDS_PER_UNIT = {"ms": 0.001, "": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
_DURATION = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(ms|s|min|h|)\s*", re.ASCII)
_REQUEST_ID = re.compile(rf"[!-~]{{1,{MAX_REQUEST_ID_LENGTH}}}")
_TRUE_TEXTS = frozenset(("on", "true", "yes", "1"))
_FALSE_TEXTS = frozenset(("off", "false", "no", "0"))

_Value = TypeVar("_Value")


class RequestOptions(NamedTuple):
    """What is asked for a request beside its statement.

    Parameters
    ----------
    max_age : float
        Staleness that a read accepts, seconds, counted back from its arrival.
        Zero: it must show all that was acknowledged before it arrived.
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
    """Return the marks of a request.

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
    marks : RequestOptions
        The marks; what is malformed counts as not written.
    findings : list of Finding
        All malformed tags and settings. A request with findings is to be
        refused with SQLSTATE 22023, as it may ask to run at most once.
    """
    rule = get_rule(rules, group, user, statement)
    marks = _get_default_marks(group, rule)
    tags = get_tags(statement)
    # Most requests are marked nowhere, so nothing needs to be read for them.
    if not tags and OPTION_SETTINGS.isdisjoint(session_settings):
        return marks, []
    texts = [
        *(
            _Text("session", name, session_settings.get(SETTING_PREFIX + name))
            for name in OPTION_NAMES
        ),
        *(_Text("statement tag", tag.key, tag.value) for tag in tags),
    ]
    return _apply_texts(marks, texts)


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
    """Return a request's identifier, printable ASCII without spaces."""
    if not text or _REQUEST_ID.fullmatch(text):
        return text, []
    limit = MAX_REQUEST_ID_LENGTH
    return None, [Finding("", "", f"must be at most {limit} printable characters")]


def parse_switch(text: str) -> tuple[bool | None, list[Finding]]:
    """Return whether a switch is on, in the spellings of PostgreSQL."""
    lowered = text.strip().lower()
    if lowered in _TRUE_TEXTS | _FALSE_TEXTS:
        return lowered in _TRUE_TEXTS, []
    return None, [Finding("", "", "must be on or off")]


class _Text(NamedTuple):
    """The text of one mark and the place where it stands."""

    source: str
    name: str
    text: str | None


_PARSERS: dict[str, Callable[[str], tuple[object, list[Finding]]]] = {
    MAX_AGE: parse_duration,
    REQUEST_ID: parse_request_id,
    IDEMPOTENT: parse_switch,
}


def _get_default_marks(
    group: GroupSettings, rule: RuleSettings | None
) -> RequestOptions:
    """Return the marks that operators set for a request."""
    if rule is None:
        return RequestOptions(group.max_age, "", True, READS_ANY)
    max_age = _get_first(rule.max_age, group.max_age)
    return RequestOptions(max_age, "", _get_first(rule.idempotent, True), rule.reads)


def _get_first(value: _Value | None, default: _Value) -> _Value:
    """Return a value, or the default if there is none."""
    return default if value is None else value


def _apply_texts(
    marks: RequestOptions, texts: list[_Text]
) -> tuple[RequestOptions, list[Finding]]:
    """Return marks after the texts were read, the last of a name counting."""
    findings = []
    for source, name, text in texts:
        if text is None:
            continue
        value, found = _parse_mark(name, text)
        findings += (Finding(source, name, finding.text) for finding in found)
        if not found:
            marks = marks._replace(**{name: value})
    return marks, findings


def _parse_mark(name: str, text: str) -> tuple[object, list[Finding]]:
    """Return the value of one mark."""
    parser = _PARSERS.get(name)
    if parser is None:
        return None, [Finding("", "", "is not a mark of a request")]
    return parser(text)
