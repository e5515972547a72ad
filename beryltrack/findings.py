"""Findings: the common form in which checks of input report faults.

Functions that check input return ``(result, findings)`` and do not stop at the first
fault, so that an operator sees all faults at once.
"""

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault found in some input.

    Parameters
    ----------
    source : str
        Where the input came from: a file name, a settings path, a peer's name.
    place : str
        The location within the source, for example ``/databases/0/port`` or
        ``line 3``; empty for the whole source.
    text : str
        The fault, as one short sentence.
    """

    source: str
    place: str
    text: str


def format_finding(finding: Finding) -> str:
    """Return a finding as one line: ``source: place: text``, without empty parts."""
    return ": ".join(part for part in finding if part)


def format_pointer(parts: tuple[object, ...]) -> str:
    """Return the JSON pointer (RFC 6901) of a location in a JSON value."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)
