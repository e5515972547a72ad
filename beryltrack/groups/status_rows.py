"""Parser of the rows in which a database reports its status over SQL."""

import json

from beryltrack.findings import Finding
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    LogPosition,
    TermStart,
)

TRUE_TEXTS = ("t", "true", "on", "1")


def parse_position(text: str) -> LogPosition:
    """Return the position that a text ``TERM/OFFSET`` denotes.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    term, offset = text.split("/")
    return LogPosition(int(term), int(offset))


def parse_flag(text: str | None) -> bool:
    """Return the value of a PostgreSQL boolean in text form."""
    return text in TRUE_TEXTS


def parse_status(
    row: dict[str, str | None], source: str
) -> tuple[DatabaseStatus | None, tuple[Finding, ...]]:
    """Return the status in a row, or the reasons why the row is malformed.

    Parameters
    ----------
    row : dict of str to str or None
        Columns by name.
    source : str
        The database that was asked; the row must contain its name.

    Returns
    -------
    status : DatabaseStatus or None
        None if there are findings.
    findings : tuple of Finding
        One for each malformed column.
    """
    parsers = {
        "name": str,
        "role": str,
        "term": int,
        "received": parse_position,
        "applied": parse_position,
        "history": _parse_history,
        "heard_ms": lambda text: float(text) / 1000.0,
        "leaving": parse_flag,
    }
    values: dict[str, object] = {}
    findings: list[Finding] = []
    for column, parse in parsers.items():
        try:
            values[column] = parse(row[column])
        except (KeyError, ValueError, TypeError, AttributeError):
            findings.append(Finding(source, column, "is missing or malformed"))
    if values.get("name", source) != source:
        findings.append(Finding(source, "name", "is of another database"))
    if values.get("role", PRIMARY) not in (PRIMARY, REPLICA):
        findings.append(Finding(source, "role", "is not a known role"))
    if findings:
        return None, tuple(findings)
    status = DatabaseStatus(*values.values())
    # Databases of an older version do not report an incarnation.
    return status._replace(incarnation=row.get("incarnation") or ""), ()


def _parse_history(text: str) -> tuple[TermStart, ...]:
    return tuple(TermStart(int(term), int(offset)) for term, offset in json.loads(text))
