"""How many statements run at a database at once, as one owner lets them.

Each owner decides for itself, and no message passes. The sum stays near what the slots
need for two reasons. All start with an even part of `per_slot` statements for each
slot. And all see the same sign: once all slots are busy, statements take longer by the
factor of those that are there to those that run (Little's law), whoever sent them. An
owner adds to its part while that factor is under half of `per_slot`, and gives up some
while it is clearly over it, so that the sum is held between the two. A database that
says that it is full has its parts cut by a factor, at each owner that is told so.

Statements of one kind take ten times as long as those of another. So smoothed means
are compared, never single statements. What is usual is the mean of those that ended
while this owner used no more than its even part of the slots and nobody waited.
"""

import math
from enum import Enum
from typing import NamedTuple

from beryltrack.load.estimate import LEAST_SAMPLES, BoundedEstimate

LEAST_LIMIT = 2
"""Statements that are let run at a database that answers: with one, a long statement
would hold up all others."""

PROBE_LIMIT = 1
"""Statements that are let run at a database that answers none."""

LOST_IN_A_ROW = 2
"""Lost statements without an answer between them that show a database that fails. A
single one is often a caller that went away."""

FULL_FACTOR = 0.5
"""What is left of the limit when the database says that it is full."""

SLOW_FACTOR = 0.8
"""What is left of the limit when statements take much longer than usual."""

SLOW_SLACK = 1.25
"""How far over `per_slot` the times may be: the noise of a mean of 32 statements whose
kinds differ tenfold is about a fifth."""

FAST_PART = 0.5
"""Part of `per_slot` under which the times show room for more."""

GROWTH = 0.25
"""Statements that are added for each round of as many statements as the limit."""

CALM_WEIGHT = 1 / 64
"""Weight of a statement in the mean of those without load: its noise is a tenth."""

CALM_SAMPLES = 64
"""Statements without load after which their mean is what is usual."""

RISE_WEIGHT = 1 / 4096
"""Weight of a mean in what is usual if it is longer. That is mostly the load's doing,
of this owner or of others; but a slower database must be usual one day."""


class Outcome(Enum):
    """How a statement ended."""

    ANSWERED = "answered"
    FULL = "full"
    """The database had no room for it."""
    LOST = "lost"
    """The answer did not come."""
    UNKNOWN = "unknown"
    """It tells nothing of the database, or it did not run."""


class SharedCapacity(NamedTuple):
    """What an owner's part of a database follows from.

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
    """The limit of the statements that one owner has running at a database.

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
        self._bounds = SharedCapacity(1, 1, 1)
        self._limit = 1.0
        self._cut_at = -math.inf
        self._lost = 0
        self._mean = BoundedEstimate(0.0)
        self._usual = 0.0
        self._calm = BoundedEstimate(0.0, CALM_WEIGHT)

    @property
    def value(self) -> int:
        """Statements that may run now."""
        if not self._is_adaptive:
            return self._bounds.connections
        if self._lost >= LOST_IN_A_ROW:
            return PROBE_LIMIT
        return int(self._limit)

    @property
    def connections(self) -> int:
        """Statements that can run, whatever the limit."""
        return self._bounds.connections

    @property
    def mean(self) -> float:
        """How long statements take now, seconds; 0 before the first one."""
        return self._mean.mean

    @property
    def usual(self) -> float:
        """How long they take without load, seconds; 0 before the first one."""
        return self._usual

    @property
    def _least(self) -> int:
        """Under this the database would have slots that nobody may use."""
        return max(LEAST_LIMIT, math.ceil(self._bounds.slots / self._bounds.owners))

    @property
    def _even(self) -> int:
        """An even part of what all owners let run at first."""
        bounds = self._bounds
        even = math.ceil(self._per_slot * bounds.slots / bounds.owners)
        return max(LEAST_LIMIT, even)

    def set_capacity(self, bounds: SharedCapacity) -> None:
        """Start anew with the even part if what it follows from has changed."""
        if bounds == self._bounds:
            return
        self._bounds = bounds
        self._set(self._even)

    def observe(
        self,
        seconds: float | None,
        outcome: Outcome,
        running: int,
        is_short: bool,
        now: float,
    ) -> None:
        """Take in how a statement ended.

        Parameters
        ----------
        seconds : float or None
            How long it took at the database; None if that tells nothing.
        outcome : Outcome
            How it ended.
        running : int
            Statements that ran when it ended, with it.
        is_short : bool
            True if operations wait for one to end.
        now : float
            The current time, seconds.
        """
        if outcome is Outcome.UNKNOWN:
            return
        started_at = now - (seconds or 0.0)
        if outcome is Outcome.LOST:
            self._lost += 1
            self._cut(FULL_FACTOR, started_at, now)
            return
        self._lost = 0
        if outcome is Outcome.FULL:
            self._cut(FULL_FACTOR, started_at, now)
        elif seconds is not None:
            is_uncongested = not is_short and running * self._bounds.owners <= max(
                self._bounds.slots, self._bounds.owners
            )
            self._learn(seconds, is_uncongested)
            self._adapt(started_at, is_short, now)

    def _learn(self, seconds: float, is_uncongested: bool) -> None:
        """Take in how long a statement took."""
        self._mean.observe(seconds)
        shown = self._mean
        if is_uncongested:
            self._calm.observe(seconds)
            shown = self._calm
        if self._calm.count <= CALM_SAMPLES:
            # An owner that starts under load has nothing else to go by: of three short
            # statements without load the rest would look ten times too long.
            is_shown = self._calm.count >= LEAST_SAMPLES
            self._usual = (self._calm if is_shown else self._mean).mean
            return
        rise = RISE_WEIGHT * (shown.mean - self._usual)
        self._usual = min(shown.mean, self._usual + rise)

    def _adapt(self, started_at: float, is_short: bool, now: float) -> None:
        """Move the limit by how much longer than usual statements take."""
        if self._mean.count < LEAST_SAMPLES or self._usual <= 0.0:
            return
        factor = self._mean.mean / self._usual
        is_known = self._calm.count >= CALM_SAMPLES
        if factor > self._per_slot * SLOW_SLACK:
            self._cut(SLOW_FACTOR, started_at, now)
        elif is_short and factor < self._per_slot * FAST_PART:
            # Who has only seen a database under load can't tell if it has room.
            most = math.inf if is_known else max(self._limit, self._even)
            self._set(min(most, self._limit + GROWTH / self._limit))

    def _cut(self, factor: float, started_at: float, now: float) -> None:
        """Shrink, once for all statements that met the same crowd."""
        if started_at >= self._cut_at:
            self._cut_at = now
            self._set(max(self._least, self._limit * factor))

    def _set(self, limit: float) -> None:
        """Set the limit, within the connections."""
        self._limit = max(1.0, min(limit, self._bounds.connections))
