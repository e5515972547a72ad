"""The requests that callers offer, and what the connections can carry."""

import random
from typing import NamedTuple

from beryltrack_bench.deployment import Deployment

TRANSACTION_SHARE = 0.5
TRANSACTION_STATEMENTS = 5
SERVICE_TIME = 0.001
PATIENCE = 1.0


class Request(NamedTuple):
    """One request of a caller.

    Parameters
    ----------
    number : int
        Unique in a run.
    team : str
        The team whose group it is for.
    statements : int
        Statements of its transaction.
    arrived_at, deadline : float
        Seconds.
    attempt : int
        1, or more if the caller tries again after a refusal.
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

    Between the statements of a transaction the caller thinks for one round
    trip, during which the connection is held and the database idle.
    """
    statement = SERVICE_TIME + 2 * deployment.zone_delay
    gap = 2 * deployment.client_delay
    transaction = TRANSACTION_STATEMENTS * statement
    transaction += (TRANSACTION_STATEMENTS - 1) * gap
    return TRANSACTION_SHARE * transaction + (1 - TRANSACTION_SHARE) * statement


def compute_capacity(deployment: Deployment) -> float:
    """Return the requests a second that one group's connections carry.

    Each proxy has one control connection at each database; the others carry
    requests. The slots of a database would carry more: three statements of
    1 ms at once are 3,000 statements a second.
    """
    carrying = deployment.max_connections - deployment.proxies
    databases = deployment.databases_per_group
    by_connections = carrying / compute_hold_time(deployment)
    statements = 1 + TRANSACTION_SHARE * (TRANSACTION_STATEMENTS - 1)
    by_slots = deployment.slots / (statements * SERVICE_TIME)
    return databases * min(by_connections, by_slots)
