"""Ingress admission: refusals at the receiving instance, without asking the owner.

An owner that cannot serve an operation in time would refuse it, at the price of a
message both ways and of its processor time, and in a large fleet all instances would
ask it at once. The instance that received the operation refuses it instead, by the
owner's last report. The module also decides for how long, and how many, requests wait
for an available target. Sans-I/O: the time and the random numbers are passed in.
"""

import random
from typing import NamedTuple

from beryltrack.load.messages import LOWEST_PRIORITY, Demand, OwnerLoads

MAX_WAIT_FRACTION = 0.8
"""Fraction of the time to its deadline that an operation may wait at an owner; the rest
is for the statement and the messages. An owner refuses by itself what would be too
late, which keeps its queue just below the operations' time: with the whole of it
nothing would be refused here."""

RETRY_INTERVAL = 0.1
"""Seconds between two due retries that are passed on to a full owner, once more than
`MAX_RETRY_BURST` have arrived together. If all were, each caller would ask the owner: a
simulated retry storm sent it 18,200 requests then, 6,900 with this limit and 23,700
without any ingress admission."""

MAX_RETRY_BURST = 3
"""Due retries that an instance passes on to a full owner together."""

PROBE_INTERVAL = 0.2
"""Minimum seconds between two operations that an instance passes on as probes to a full
owner, which answers with its load. 70 instances send at most 350 of them a second."""

PROBE_SPREAD = 2.0
"""The longest interval between probes, as a multiple of the shortest, so that instances
do not probe in step."""

PROBE_EXPIRY = 1.0
"""Seconds without a probe after which the next refusal begins a new overload."""

MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.05, 2.0
"""Bounds of the time to retry before its spread, seconds: twice the round trip of a
refusal, and as long as a statement may take."""

RETRY_SPREAD = 1.5
"""The longest time to retry, as a multiple of the shortest, so that callers that were
refused together do not retry together."""

URGENT_FRACTION = 0.5
"""Time to retry of the most urgent, as a fraction of that of the least urgent."""


class IngressAdmission:
    """Refuses operations that an owner could not serve in time.

    Parameters
    ----------
    owner_loads : OwnerLoads
        Estimates of the owners' load; expired reports count as none.
    rng : random.Random
        Source of the random spread of retries and probes.
    """

    def __init__(self, owner_loads: OwnerLoads, rng: random.Random):
        self._owner_loads = owner_loads
        self._rng = rng
        # By owner and database: when the next probe or retry is due, seconds.
        self._probes: dict[tuple[str, str], float] = {}
        self._retries: dict[tuple[str, str], float] = {}

    def decide(self, owner: str, database: str, demand: Demand, now: float) -> float:
        """Decide whether an operation is passed on to an owner.

        Parameters
        ----------
        owner, database : str
            The owner, and the database that it would reach there.
        demand : Demand
            Its demand now.
        now : float
            The instance's time, seconds.

        Returns
        -------
        float
            Zero to pass it on; else the seconds after which its caller may retry.
        """
        wait = self._owner_loads.get_wait(owner, database, demand.priority)
        if wait <= MAX_WAIT_FRACTION * demand.time_left:
            return 0.0
        key = (owner, database)
        # A caller that retries when due and is refused again would ignore the next
        # time to retry.
        if demand.is_retry and self._may_retry(key, now):
            return 0.0
        if self._may_probe(key, now):
            return 0.0
        return compute_retry_after(wait, demand.priority, self._rng)

    def _may_retry(self, key: tuple[str, str], now: float) -> bool:
        """Return whether a due retry is passed on to a full owner (token bucket)."""
        due = self._retries.get(key, now)
        if due - now > (MAX_RETRY_BURST - 1) * RETRY_INTERVAL:
            return False
        self._retries[key] = max(due, now) + RETRY_INTERVAL
        return True

    def _may_probe(self, key: tuple[str, str], now: float) -> bool:
        """Return whether an operation probes if the owner has capacity again."""
        due = self._probes.get(key)
        if due is None or now - due > PROBE_EXPIRY:
            # All instances learn of an overload at about the same time, so that the
            # first probes are spread.
            self._probes[key] = now + PROBE_INTERVAL * self._rng.random()
            return False
        if now < due:
            return False
        self._probes[key] = now + PROBE_INTERVAL * self._rng.uniform(1.0, PROBE_SPREAD)
        return True


def compute_retry_after(wait: float, priority: int, rng: random.Random) -> float:
    """Return the time to retry of a caller that is refused, seconds.

    The present queue, which takes `wait` seconds, has been served by then. The more
    urgent retry sooner, as they go before a part of it.
    """
    urgency = 1.0 - min(priority, LOWEST_PRIORITY) / LOWEST_PRIORITY
    fraction = 1.0 - (1.0 - URGENT_FRACTION) * urgency
    spread = rng.uniform(1.0, RETRY_SPREAD)
    return min(max(MIN_RETRY_AFTER, wait * fraction), MAX_RETRY_AFTER) * spread


class TargetWaitPolicy(NamedTuple):
    """Limits of the requests that wait while no target is available to them.

    Parameters
    ----------
    latency_fraction : float
        Fraction of its target latency for which a request waits, in a fleet whose
        instances outnumber the connections that the databases take: there, a change of
        primary makes thousands of callers wait.
    min_wait : float
        Seconds for which a request waits at least: a change of the group's view takes
        two probes of a suspected group and a message to become known.
    max_waiting : int
        Requests of a group without a primary that wait at an instance: enough that
        one tries the next primary at once.
    """

    latency_fraction: float = 0.25
    min_wait: float = 0.1
    max_waiting: int = 8


TARGET_WAIT = TargetWaitPolicy()


def compute_target_wait(
    limit: float,
    target_latency: float,
    has_group_owners: bool,
    policy: TargetWaitPolicy = TARGET_WAIT,
) -> float:
    """Return for how many seconds a request waits for an available target.

    Parameters
    ----------
    limit : float
        The longest wait, seconds.
    target_latency : float
        The request's target latency, seconds; infinite without one.
    has_group_owners : bool
        True if instances outnumber the connections that the databases take.
    policy : TargetWaitPolicy
        The parameters.
    """
    if not has_group_owners:
        return limit
    return min(limit, max(policy.min_wait, policy.latency_fraction * target_latency))


def may_wait_for_target(
    waiting: int,
    has_primary: bool,
    has_group_owners: bool,
    policy: TargetWaitPolicy = TARGET_WAIT,
) -> bool:
    """Return whether one more request may wait for an available target.

    Parameters
    ----------
    waiting : int
        Requests of the group that wait at this instance.
    has_primary : bool
        False if the group is known to have no primary.
    has_group_owners : bool
        True if instances outnumber the connections that the databases take.
    policy : TargetWaitPolicy
        The parameters.
    """
    return has_primary or not has_group_owners or waiting < policy.max_waiting
