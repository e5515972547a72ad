"""The share of a database's connections that belongs to each seat.

Shares belong to numbered seats, not to proxies, so that they do not depend on the
membership: proxies whose views of it differ still agree on every share. Rendezvous
hashing selects the seats that own a group if there are more seats than the connections
of one database should be divided among.
"""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from beryltrack.connections.budget_messages import BudgetedDatabase, BudgetPlan


@lru_cache(maxsize=4096)
def get_owner_seats(group: str, plan: BudgetPlan) -> tuple[int, ...]:
    """Return the seats that own a group's databases, best rank first.

    Parameters
    ----------
    group : str
        Name of the group.
    plan : BudgetPlan
        The number of seats and of owners.

    Returns
    -------
    tuple of int
        Numbers of the seats.
    """
    ranked = sorted(range(plan.seats), key=lambda seat: _hash(f"{group}/{seat}"))
    return tuple(ranked[: plan.max_owners])


def compute_share(database: BudgetedDatabase, seat: int, plan: BudgetPlan) -> int:
    """Return how many connections to a database belong to a seat.

    The shares of all seats add up to the total. The remainder of the division goes to
    different seats for each database of a group.

    Parameters
    ----------
    database : BudgetedDatabase
        The database and its total.
    seat : int
        Number of the seat.
    plan : BudgetPlan
        The number of seats and of owners.

    Returns
    -------
    int
        Connections; 0 if the seat does not own the database's group.
    """
    owners = get_owner_seats(database.group, plan)
    if seat not in owners:
        return 0
    base, remainder = divmod(database.total, len(owners))
    offset = _hash(database.key) + owners.index(seat)
    return base + (offset % len(owners) < remainder)


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())
