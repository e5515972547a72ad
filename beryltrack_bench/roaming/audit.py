"""Verifies the rows in the databases after a run: none lost, none duplicated."""

from collections import Counter
from collections.abc import Iterator

import psycopg

from beryltrack_bench.roaming.local_site import ReadyLine, wait_for_agreement
from beryltrack_bench.roaming.records import Effect, Outcome, Records, Violation
from beryltrack_bench.roaming.session import Login

# Control connections do not count against a stand-in's connection limit.
_APPLICATION = "beryltrack-control"
# Seconds until all databases must have applied the same position.
_AGREEMENT_TIMEOUT = 20.0
_ABSENT = (Outcome.NOT_RUN, Outcome.ROLLED_BACK)


def count_effects(
    site: ReadyLine, login: Login, run: str, records: Records
) -> list[Violation]:
    """Compare the outcomes reported to the sessions with each database's rows.

    Parameters
    ----------
    site : ReadyLine
        The local site, with all faults ended.
    login : Login
        User and database of the connections.
    run : str
        The prefix of all keys of this run.
    records : Records
        The outcomes reported to the sessions.

    Returns
    -------
    list of Violation
        Lost, duplicated or partial writes, and writes that ran despite a refusal.
    """
    if not wait_for_agreement(site, _AGREEMENT_TIMEOUT):
        return [Violation("unexpected error", "the databases do not agree in the end")]
    return [
        Violation(violation.promise, f"{name}: {violation.text}")
        for name, address in site.databases.items()
        for violation in _check_database(address, login, run, records)
    ]


def _check_database(
    address: str, login: Login, run: str, records: Records
) -> Iterator[Violation]:
    """Check one database."""
    host, _, port = address.rpartition(":")
    with psycopg.connect(
        host=host,
        port=int(port),
        user=login.user,
        dbname=login.database,
        application_name=_APPLICATION,
        autocommit=True,
    ) as connection:
        at_most_once = _count_rows(connection, "roam_effects", "request_id", run)
        left = _count_rows(connection, "roam_left", "key", run)
        right = _count_rows(connection, "roam_right", "key", run)
    yield from check_counts(records.at_most_once, at_most_once)
    yield from check_counts(records.pairs, left)
    yield from (
        Violation("torn transaction", f"{key}: {left[key]} and {right[key]} rows")
        for key in sorted(left.keys() | right.keys())
        if left[key] != right[key]
    )


def check_counts(effects: list[Effect], rows: Counter[str]) -> Iterator[Violation]:
    """Compare reported outcomes with the existing rows.

    Parameters
    ----------
    effects : list of Effect
        One for each key.
    rows : Counter of str
        The number of rows of each key.

    Yields
    ------
    Violation
        One for each key whose rows contradict its outcome.
    """
    known = {effect.key for effect in effects}
    for effect in effects:
        count = rows[effect.key]
        if count > 1:
            yield Violation("doubled", f"{effect.key}: {count} rows")
        elif count and effect.outcome in _ABSENT:
            text = f"{effect.key} is there, told as {effect.outcome.value}"
            yield Violation("untrue refusal", text)
        elif not count and effect.outcome is Outcome.ACKNOWLEDGED:
            yield Violation("lost", effect.key)
    yield from (
        Violation("mixed", f"{key} was never asked for") for key in rows.keys() - known
    )


def _count_rows(
    connection: psycopg.Connection, table: str, column: str, run: str
) -> Counter[str]:
    """Return the number of rows of each key of this run."""
    query = f"SELECT {column}, count(*) FROM {table} WHERE {column} LIKE %s GROUP BY 1"
    return Counter(dict(connection.execute(query, (f"{run}-%",)).fetchall()))
