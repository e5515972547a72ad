"""Adaptive limit of the statements that one owner runs at a database at once.

Each owner adapts its limit by itself, without messages, yet the sum of all limits
stays near what the database's slots need, for two reasons. First, all owners start
with an even share of `per_slot` statements for each slot. Second, all see the same
signal: once all slots are busy, statements take longer by the ratio of those at the
database to those that run (Little's law), whichever owner sent them. An owner raises
its limit while that ratio is under half of `per_slot` and lowers it while the ratio is
clearly over `per_slot`, which holds the sum between the two. When the database refuses
statements because it is full, each owner that is refused multiplies its limit by a
factor below one.

Kinds of statements differ tenfold in how long they take, so that smoothed means are
compared and never single statements. The baseline is the mean of the statements that
ended while this owner used no more than its even share of the slots and no operation
waited.
"""

import math
from enum import Enum
from typing import NamedTuple

from beryltrack.load.estimate import MIN_SAMPLES, BoundedEstimate

MIN_LIMIT = 2
"""Minimum limit, in statements, at a database that answers: with one, a long statement
would hold up all others."""

PROBE_LIMIT = 1
"""Limit, in statements, at a database that answers none."""

PROBE_AFTER_LOST = 2
"""Statements in a row without an answer after which the database counts as failing. A
single one is often a caller that disconnected."""

FULL_FACTOR = 0.5
"""Factor on the limit when the database refuses a statement because it is full."""

SLOW_FACTOR = 0.8
"""Factor on the limit when statements take much longer than the baseline."""

SLOW_TOLERANCE = 1.25
"""Factor by which the ratio of times may exceed `per_slot`: the noise of a mean of 32
statements whose kinds differ tenfold is about a fifth."""

FAST_FRACTION = 0.5
"""Fraction of `per_slot` under which the ratio of times shows spare capacity."""

GROWTH = 0.25
"""Statements by which the limit grows for each round of as many statements as it."""

UNLOADED_WEIGHT = 1 / 64
"""Weight of a statement in the mean of those without load: its noise is a tenth."""

UNLOADED_SAMPLES = 64
"""Statements without load after which their mean is the baseline."""

RISE_WEIGHT = 1 / 4096
"""Weight of a longer mean in the baseline. A longer mean is mostly due to the load of
this owner or of others; but a database that stays slower must become the baseline."""


class Outcome(Enum):
    """How a statement ended."""

    ANSWERED = "answered"
    FULL = "full"
    """The database refused it because it is full."""
    LOST = "lost"
    """No answer arrived."""
    UNKNOWN = "unknown"
    """It did not run, or its end says nothing about the database."""


class SharedCapacity(NamedTuple):
    """Capacity of a database and how it is shared, from which limits are derived.

    Parameters
    ----------
    slots : int
        Statements that the database runs at once.
    owners : int
        Instances that have connections to it.
    connections : int
        Connections that this instance may have.
    """

    slots: int
    owners: int
    connections: int


class StatementLimit:
    """Limit of the statements that one owner has running at a database.

    Parameters
    ----------
    per_slot : float
        Statements for each slot of the database that all owners together let run.
    is_adaptive : bool
        False if as many may run as connections are open.
    """

    def __init__(self, per_slot: float, is_adaptive: bool = True):
        self._per_slot = per_slot
        self._is_adaptive = is_adaptive
        self._capacity = SharedCapacity(1, 1, 1)
        self._limit = 1.0
        self._decreased_at = -math.inf
        self._lost = 0
        self._mean = BoundedEstimate(0.0)
        self._baseline = 0.0
        self._unloaded = BoundedEstimate(0.0, UNLOADED_WEIGHT)

    @property
    def value(self) -> int:
        """Statements that may run now."""
        if not self._is_adaptive:
            return self._capacity.connections
        if self._lost >= PROBE_AFTER_LOST:
            return PROBE_LIMIT
        return int(self._limit)

    @property
    def connections(self) -> int:
        """Statements that can run, whatever the limit."""
        return self._capacity.connections

    @property
    def mean(self) -> float:
        """Mean time of statements now, seconds; 0 before the first one."""
        return self._mean.mean

    @property
    def baseline(self) -> float:
        """Mean time of statements without load, seconds; 0 before the first one."""
        return self._baseline

    @property
    def _min_limit(self) -> int:
        """Below it some of the database's slots could be used by no owner."""
        return max(MIN_LIMIT, math.ceil(self._capacity.slots / self._capacity.owners))

    @property
    def _even_share(self) -> int:
        """An even share of the statements that all owners let run at first."""
        capacity = self._capacity
        even = math.ceil(self._per_slot * capacity.slots / capacity.owners)
        return max(MIN_LIMIT, even)

    def set_capacity(self, capacity: SharedCapacity) -> None:
        """Set the shared capacity; if it has changed, start with the even share."""
        if capacity == self._capacity:
            return
        self._capacity = capacity
        self._set_limit(self._even_share)

    def observe(
        self,
        seconds: float | None,
        outcome: Outcome,
        running: int,
        has_waiting: bool,
        now: float,
    ) -> None:
        """Record how a statement ended, and adapt the limit.

        Parameters
        ----------
        seconds : float or None
            How long it took at the database; None if that says nothing.
        outcome : Outcome
            How it ended.
        running : int
            Statements that ran when it ended, including it.
        has_waiting : bool
            True if operations wait to run.
        now : float
            The current time, seconds.
        """
        if outcome is Outcome.UNKNOWN:
            return
        started_at = now - (seconds or 0.0)
        if outcome is Outcome.LOST:
            self._lost += 1
            self._decrease(FULL_FACTOR, started_at, now)
            return
        self._lost = 0
        if outcome is Outcome.FULL:
            self._decrease(FULL_FACTOR, started_at, now)
        elif seconds is not None:
            is_unloaded = not has_waiting and running * self._capacity.owners <= max(
                self._capacity.slots, self._capacity.owners
            )
            self._observe_time(seconds, is_unloaded)
            self._adapt(started_at, has_waiting, now)

    def _observe_time(self, seconds: float, is_unloaded: bool) -> None:
        """Record how long a statement took, and update the baseline."""
        self._mean.observe(seconds)
        recent = self._mean
        if is_unloaded:
            self._unloaded.observe(seconds)
            recent = self._unloaded
        if self._unloaded.count <= UNLOADED_SAMPLES:
            # An owner that starts under load has no better baseline than the mean:
            # compared with three short statements without load, all others would look
            # ten times too long.
            is_usable = self._unloaded.count >= MIN_SAMPLES
            self._baseline = (self._unloaded if is_usable else self._mean).mean
            return
        rise = RISE_WEIGHT * (recent.mean - self._baseline)
        self._baseline = min(recent.mean, self._baseline + rise)

    def _adapt(self, started_at: float, has_waiting: bool, now: float) -> None:
        """Move the limit by the ratio of the mean time to the baseline."""
        if self._mean.count < MIN_SAMPLES or self._baseline <= 0.0:
            return
        ratio = self._mean.mean / self._baseline
        is_known = self._unloaded.count >= UNLOADED_SAMPLES
        if ratio > self._per_slot * SLOW_TOLERANCE:
            self._decrease(SLOW_FACTOR, started_at, now)
        elif has_waiting and ratio < self._per_slot * FAST_FRACTION:
            # Without a baseline from before the load, an owner does not know whether
            # the database has spare capacity.
            bound = math.inf if is_known else max(self._limit, self._even_share)
            self._set_limit(min(bound, self._limit + GROWTH / self._limit))

    def _decrease(self, factor: float, started_at: float, now: float) -> None:
        """Lower the limit once for all statements that ran at the same time."""
        if started_at >= self._decreased_at:
            self._decreased_at = now
            self._set_limit(max(self._min_limit, self._limit * factor))

    def _set_limit(self, limit: float) -> None:
        """Set the limit, within the connections."""
        self._limit = max(1.0, min(limit, self._capacity.connections))
