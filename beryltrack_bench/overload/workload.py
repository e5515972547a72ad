"""The requests that callers send, and the capacity of a group's connections."""

import random
from typing import NamedTuple

from beryltrack_bench.deployment import Deployment

TRANSACTION_SHARE = 0.5
"""Share of the requests that are transactions; the others are single statements."""

TRANSACTION_STATEMENTS = 5
"""Statements of a transaction."""

SERVICE_TIME = 0.001
"""Mean service time of a statement at the database, seconds."""

REQUEST_TIMEOUT = 1.0
"""Default time from the arrival of a request to its deadline, seconds."""


class Request(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    number : int
        Unique in a run.
    team : str
        The team whose group runs it.
    statements : int
        Statements of its transaction.
    arrived_at, deadline : float
        Times, seconds.
    attempt : int
        Number of the attempt, 1 for the first; more after refusals.
    """

    number: int
    team: str
    statements: int
    arrived_at: float
    deadline: float
    attempt: int


def draw_statements(rng: random.Random) -> int:
    """Return the number of statements of a request."""
    is_transaction = rng.random() < TRANSACTION_SHARE
    return TRANSACTION_STATEMENTS if is_transaction else 1


def compute_hold_time(deployment: Deployment) -> float:
    """Return the mean time for which a request holds a connection, seconds.

    Between two statements of a transaction one round trip to the caller passes,
    during which the connection is held and the database is idle.
    """
    statement = SERVICE_TIME + 2 * deployment.zone_delay
    gap = 2 * deployment.client_delay
    transaction = TRANSACTION_STATEMENTS * statement
    transaction += (TRANSACTION_STATEMENTS - 1) * gap
    return TRANSACTION_SHARE * transaction + (1 - TRANSACTION_SHARE) * statement


def compute_capacity(deployment: Deployment) -> float:
    """Return the capacity of one group's connections in requests a second.

    Each proxy has one control connection to each database; the others run
    requests. The slots of a database allow more: three statements of
    1 ms at once are 3,000 statements a second.
    """
    usable = deployment.max_connections - deployment.proxies
    databases = deployment.databases_per_group
    by_connections = usable / compute_hold_time(deployment)
    statements = 1 + TRANSACTION_SHARE * (TRANSACTION_STATEMENTS - 1)
    by_slots = deployment.slots / (statements * SERVICE_TIME)
    return databases * min(by_connections, by_slots)
