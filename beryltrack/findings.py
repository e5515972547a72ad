"""Findings: the one form in which checks report what is wrong, and where.

Functions that check input return ``(result, findings)`` and never stop at the
first fault, so that an operator sees everything that is wrong at once.
"""

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault found in some input.

    Parameters
    ----------
    source : str
        Where the input came from: a file name, a settings path, a peer's name.
    place : str
        The place inside the source, for example ``/databases/0/port`` or
        ``line 3``. Empty when the whole source is meant.
    text : str
        What is wrong, as one short sentence.
    """

    source: str
    place: str
    text: str


def format_finding(finding: Finding) -> str:
    """Return one line of text for a finding.

    Parameters
    ----------
    finding : Finding
        The finding to print.

    Returns
    -------
    str
        ``source: place: text``, without empty parts.
    """
    return ": ".join(part for part in finding if part)


def format_pointer(parts: tuple[object, ...]) -> str:
    """Return the JSON pointer (RFC 6901) of a place in a JSON value."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)
