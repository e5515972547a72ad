"""Names of databases, unique to each incarnation.

A database may restart under the same identifier and then holds none of its previous
data. An instance keeps all state of a database by its name: positions, receipts,
grants, connections, reports of owners and peers. Therefore a name consists of the
identifier and the start time and changes with each start: state of an earlier
incarnation then belongs to a name that is no longer a member.
"""

from collections.abc import Iterable

START_SEPARATOR = "@"
"""Separates the identifier from the start time; no identifier contains it."""


def make_incarnation_name(identifier: str, started_at: int | None) -> str:
    """Return the name of a database.

    Parameters
    ----------
    identifier : str
        Identifier of the database outside of the proxy.
    started_at : int or None
        Its start time, milliseconds since 1970; None if it is not known.

    Returns
    -------
    str
        The identifier alone if the start time is not known.
    """
    return (
        identifier
        if started_at is None
        else f"{identifier}{START_SEPARATOR}{started_at}"
    )


def get_identifier(name: str) -> str:
    """Return the identifier of a database outside of the proxy."""
    return name.partition(START_SEPARATOR)[0]


def get_start_time(name: str) -> int:
    """Return the start time, milliseconds since 1970; 0 if it is not known."""
    started_at = name.partition(START_SEPARATOR)[2]
    return int(started_at) if started_at else 0


def find_restarted(before: Iterable[str], after: Iterable[str]) -> frozenset[str]:
    """Return the names in `after` that are other incarnations of names in `before`."""
    known = set(before)
    identifiers = {get_identifier(name) for name in known}
    return frozenset(
        name
        for name in after
        if name not in known and get_identifier(name) in identifiers
    )
