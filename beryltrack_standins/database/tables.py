"""Results of statements: rows with their columns, or only a command tag."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryltrack_standins.database.engine import Value


class Table(NamedTuple):
    """A complete set of rows.

    Parameters
    ----------
    columns : tuple of str
        The names of the columns.
    rows : sequence of rows
        The rows.
    """

    columns: tuple[str, ...]
    rows: Sequence[Sequence[Value]]


class Answer(NamedTuple):
    """The answer to one statement.

    Parameters
    ----------
    tag : str
        The start of the command tag.
    count : int or None
        Number of rows that the statement changed; None if the tag counts the rows
        sent or has no count.
    columns : tuple of str or None
        The names of the columns; None if the statement returns no rows.
    oids : tuple of int
        The types of the columns.
    rows : iterable of rows
        The rows, read when they are sent.
    """

    tag: str
    count: int | None
    columns: tuple[str, ...] | None = None
    oids: tuple[int, ...] = ()
    rows: Iterable[Sequence[Value]] = ()


def format_tag(answer: Answer, sent: int) -> str:
    """Return the complete command tag after `sent` rows were sent."""
    match answer.tag:
        case "SELECT" | "FETCH":
            return f"{answer.tag} {sent}"
        case "INSERT":
            return f"INSERT 0 {sent if answer.count is None else answer.count}"
        case "UPDATE" | "DELETE":
            return f"{answer.tag} {sent if answer.count is None else answer.count}"
    return answer.tag
