"""Names of databases, each of which stands for one incarnation.

A database may start again under the identifier that it had, and then holds nothing of
before. All that an instance knows of a database is kept by its name: positions,
receipts, grants, connections, what owners and peers tell. So the name changes with each
start: it is the identifier and the time of the start. What was said of an earlier
incarnation then belongs to a name that is no member any more.
"""

from collections.abc import Iterable

START_SEPARATOR = "@"
"""Stands between the identifier and the time of the start; no identifier has it."""


def make_incarnation_name(identifier: str, started_at: int | None) -> str:
    """Return the name of a database.

    Parameters
    ----------
    identifier : str
        What the database is called outside of the product.
    started_at : int or None
        When it started, milliseconds since 1970; None if it does not tell.

    Returns
    -------
    str
        The identifier alone if the time is not known.
    """
    return (
        identifier
        if started_at is None
        else f"{identifier}{START_SEPARATOR}{started_at}"
    )


def get_identifier(name: str) -> str:
    """Return what a database is called outside of the product."""
    return name.partition(START_SEPARATOR)[0]


def get_start_time(name: str) -> int:
    """Return when a database started, by its name; 0 if that is not known."""
    started_at = name.partition(START_SEPARATOR)[2]
    return int(started_at) if started_at else 0


def find_restarted(before: Iterable[str], after: Iterable[str]) -> frozenset[str]:
    """Return the names in `after` that are later incarnations of some in `before`."""
    known = set(before)
    identifiers = {get_identifier(name) for name in known}
    return frozenset(
        name
        for name in after
        if name not in known and get_identifier(name) in identifiers
    )
