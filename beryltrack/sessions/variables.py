"""Parsers of ``SET``, ``RESET`` and ``SHOW`` statements on a session's settings.

The proxy holds a session's settings itself, since a caller's next statement may run
on another connection.
"""

import re
from typing import NamedTuple

from beryltrack.findings import Finding

ALL_SETTINGS = "all"
"""The name that means every setting in ``RESET ALL`` and ``SHOW ALL``."""

MAX_VALUE_LENGTH = 8192
"""Longest statement that is parsed, characters, which bounds the value too."""

_NAME = r"""(?P<name>[A-Za-z_][\w$]*(?:\.[A-Za-z_][\w$]*)*)"""
_SPACE = r"(?:\s|/\*(?:[^*]|\*(?!/))*\*/|--[^\n]*\n)"
# The semicolon and the spaces after it form one optional group, so that a long run of
# spaces can be matched in one way only and does not cause backtracking.
_END = rf"{_SPACE}*(?:;{_SPACE}*)?"
_ITEM = r"""(?:'(?:[^']|'')*'|"[^"]*"|[\w.$+-]+)"""
_VALUE = rf"(?P<value>{_ITEM}(?:\s*,\s*{_ITEM})*)"
_SET = re.compile(
    rf"{_SPACE}*SET{_SPACE}+(?:(?P<scope>SESSION|LOCAL){_SPACE}+)?"
    rf"(?:(?P<zone>TIME{_SPACE}+ZONE){_SPACE}+|{_NAME}{_SPACE}*(?:=|\bTO\b){_SPACE}*)"
    rf"{_VALUE}{_END}",
    re.IGNORECASE,
)
_RESET = re.compile(rf"{_SPACE}*RESET{_SPACE}+{_NAME}{_END}", re.IGNORECASE)
_SHOW = re.compile(rf"{_SPACE}*SHOW{_SPACE}+{_NAME}{_END}", re.IGNORECASE)
_TIME_ZONE = "timezone"
_DEFAULT = "default"


class SettingChange(NamedTuple):
    """A change of one setting of a session.

    Parameters
    ----------
    name : str
        Name of the setting in lower case; `ALL_SETTINGS` to reset all.
    value : str or None
        The new value; None restores the default.
    is_local : bool
        True if it applies to the current transaction only.
    """

    name: str
    value: str | None
    is_local: bool


def parse_change(statement: str) -> tuple[SettingChange | None, list[Finding]]:
    """Parse a ``SET`` or ``RESET`` statement.

    Parameters
    ----------
    statement : str
        One statement.

    Returns
    -------
    change : SettingChange or None
        The change; None if there are findings.
    findings : list of Finding
        Why the statement does not change exactly one setting; to be answered
        with SQLSTATE 42601.
    """
    if len(statement) > MAX_VALUE_LENGTH:
        return None, [Finding("statement", "", "is too long for a setting")]
    reset = _RESET.fullmatch(statement)
    if reset:
        return SettingChange(reset["name"].lower(), None, False), []
    match = _SET.fullmatch(statement)
    if not match:
        return None, [Finding("statement", "", "does not set one setting")]
    name = _TIME_ZONE if match["zone"] else match["name"].lower()
    is_local = (match["scope"] or "").lower() == "local"
    return SettingChange(name, _read_value(match["value"]), is_local), []


def parse_show(statement: str) -> tuple[str | None, list[Finding]]:
    """Parse a ``SHOW`` statement; return the name of its setting.

    Parameters
    ----------
    statement : str
        One statement.

    Returns
    -------
    name : str or None
        The name in lower case; None if there are findings.
    findings : list of Finding
        Why the statement is invalid; to be answered with SQLSTATE 42601.
    """
    match = _SHOW.fullmatch(statement) if len(statement) <= MAX_VALUE_LENGTH else None
    if match:
        return match["name"].lower(), []
    return None, [Finding("statement", "", "does not show one setting")]


def _read_value(text: str) -> str | None:
    """Parse the value of a setting; None for ``DEFAULT``."""
    is_one_string = text.startswith("'") and text.endswith("'")
    if is_one_string and "'" not in text[1:-1].replace("''", ""):
        return text[1:-1].replace("''", "'")
    return None if text.lower() == _DEFAULT else text
