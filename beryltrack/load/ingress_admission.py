"""Which operations are refused in front of an owner, without asking it.

An owner that cannot serve an operation in time would say so, at the price of a message
both ways and of its processor time, and in a large fleet all instances would ask it at
once. The instance that took the operation can tell its caller by what was told before.
Pure: the time and the random numbers are given in.
"""

import random
from typing import NamedTuple

from beryltrack.load.messages import LOWEST_PRIORITY, Demand, OwnerLoads

QUEUED_PART = 0.8
"""Part of an operation's time that it may wait at an owner; the rest is for the
statement and the ways. An owner that refuses by itself what comes too late keeps its
queue just below the time of the operations: by all of it nothing would be refused."""

RETURN_GAP = 0.1
"""Seconds between two callers that returned when told to and ask a full owner all the
same, where more than `MOST_RETURNS` came together. If all did, each caller would ask:
a simulated storm asked 18,200 times then, 6,900 so, 23,700 without any rule."""

MOST_RETURNS = 3
"""Such callers of an instance that ask an owner together."""

PROBE_GAP = 0.2
"""Seconds between two operations of an instance that ask an owner all the same; it
tells of its load with each. 70 instances make 350 of them a second at the most."""

PROBE_SPREAD = 2.0
"""The longest such time in parts of the shortest: instances do not ask in step."""

PROBE_FORGOTTEN = 1.0
"""Seconds without a probe after which the next refusal begins a new overload."""

LEAST_RETURN, MOST_RETURN = 0.05, 2.0
"""Bounds of the seconds after which a caller is told to come back: two times the way of
a refusal, and as long as a statement may take."""

RETURN_SPREAD = 1.5
"""The longest time to come back in parts of the shortest, so that callers that were
refused together do not come back together."""

URGENT_PART = 0.5
"""What the most urgent are told to wait, in parts of what the least urgent are."""


class IngressAdmission:
    """Refuses what an owner could not serve in time.

    Parameters
    ----------
    owner_loads : OwnerLoads
        What is known of the owners' load; it forgets what is old.
    rng : random.Random
        Spreads what would happen at once.
    """

    def __init__(self, owner_loads: OwnerLoads, rng: random.Random):
        self._owner_loads = owner_loads
        self._rng = rng
        self._probes: dict[tuple[str, str], float] = {}
        self._returns: dict[tuple[str, str], float] = {}

    def decide(self, owner: str, database: str, demand: Demand, now: float) -> float:
        """Decide whether an operation goes to an owner.

        Parameters
        ----------
        owner, database : str
            Where it would go.
        demand : Demand
            What it asks for now.
        now : float
            The node's time.

        Returns
        -------
        float
            Zero to ask the owner; else the seconds after which to come back.
        """
        wait = self._owner_loads.get_wait(owner, database, demand.priority)
        if wait <= QUEUED_PART * demand.time_left:
            return 0.0
        key = (owner, database)
        # Who was refused and comes back when told to would not believe it twice.
        if demand.is_retry and self._may_return(key, now):
            return 0.0
        if self._may_probe(key, now):
            return 0.0
        return compute_retry_after(wait, demand.priority, self._rng)

    def _may_return(self, key: tuple[str, str], now: float) -> bool:
        """Return whether a caller that returns asks a full owner."""
        due = self._returns.get(key, now)
        if due - now > (MOST_RETURNS - 1) * RETURN_GAP:
            return False
        self._returns[key] = max(due, now) + RETURN_GAP
        return True

    def _may_probe(self, key: tuple[str, str], now: float) -> bool:
        """Return whether an operation may find out if the owner has room again."""
        due = self._probes.get(key)
        if due is None or now - due > PROBE_FORGOTTEN:
            # All instances are told of an overload at about the same time.
            self._probes[key] = now + PROBE_GAP * self._rng.random()
            return False
        if now < due:
            return False
        self._probes[key] = now + PROBE_GAP * self._rng.uniform(1.0, PROBE_SPREAD)
        return True


def compute_retry_after(wait: float, priority: int, rng: random.Random) -> float:
    """Return after how many seconds a caller is to come back.

    What waits now has been served by then; the urgent come back sooner, when what they
    go before has been.
    """
    urgency = 1.0 - min(priority, LOWEST_PRIORITY) / LOWEST_PRIORITY
    part = 1.0 - (1.0 - URGENT_PART) * urgency
    spread = rng.uniform(1.0, RETURN_SPREAD)
    return min(max(LEAST_RETURN, wait * part), MOST_RETURN) * spread


class TargetWaitPolicy(NamedTuple):
    """For how long a request waits while no database can take it.

    Parameters
    ----------
    part : float
        Part of its target latency, in a fleet whose instances outnumber what the
        databases take: a change of primary holds up thousands of callers there.
    least : float
        Seconds that a change of the view takes to be known: two probes of a suspect
        group and a message.
    most_held : int
        Requests of a group without a primary that wait at an instance: enough that
        one is there to try the next primary at once.
    """

    part: float = 0.25
    least: float = 0.1
    most_held: int = 8


TARGET_WAIT = TargetWaitPolicy()


def compute_target_wait(
    limit: float,
    target_latency: float,
    is_crowded: bool,
    policy: TargetWaitPolicy = TARGET_WAIT,
) -> float:
    """Return for how many seconds a request waits for a database that can take it.

    Parameters
    ----------
    limit : float
        The longest time, seconds.
    target_latency : float
        Seconds within which its caller wants it done; infinite if that is not known.
    is_crowded : bool
        True if instances outnumber what databases take.
    policy : TargetWaitPolicy
        The figures.
    """
    if not is_crowded:
        return limit
    return min(limit, max(policy.least, policy.part * target_latency))


def may_wait_for_target(
    held: int,
    has_primary: bool,
    is_crowded: bool,
    policy: TargetWaitPolicy = TARGET_WAIT,
) -> bool:
    """Return whether one more request waits for a database that can take it.

    Parameters
    ----------
    held : int
        Requests of the group that wait at this instance.
    has_primary : bool
        False if the group is known to have none.
    is_crowded : bool
        True if instances outnumber what databases take.
    policy : TargetWaitPolicy
        The figures.
    """
    return has_primary or not is_crowded or held < policy.most_held
