"""Schedule of status requests to poll-only databases.

Poll-only databases answer each request at once instead of holding a long poll, and do
not report whether they hear their primary. Each status occupies a slot of the database
and is billed, so that it is requested only for what traffic does not show: whether a
replica received a commit that waits for confirmation, and what a silent primary does.
"""

import math
from typing import NamedTuple

from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.policy import ProbePolicy
from beryltrack.groups.view import NEVER, DatabaseView, GroupView, get_primary

WITNESS_TIMEOUT = 0.012
"""Seconds after which all replicas are asked about a commit instead of one. The first
one asked has nearly always received it, and each request is billed."""


class PollContext(NamedTuple):
    """Inputs of the schedule of one database besides its view.

    Parameters
    ----------
    is_awaited : bool
        True if a request waits for its progress.
    is_losing : bool
        True if the group may soon need another primary.
    is_first : bool
        True if this instance ranks first among the group's failover candidates.
    heard_at : float
        Time at which this instance last heard from the primary.
    """

    is_awaited: bool
    is_losing: bool
    is_first: bool
    heard_at: float


class PollSchedule:
    """Decides when one instance requests statuses from one poll-only group.

    Parameters
    ----------
    policy : ProbePolicy
        The intervals.
    """

    def __init__(self, policy: ProbePolicy):
        self._policy = policy
        self._suspected_at = NEVER
        self._suspect_until = NEVER
        self._confirming_since = math.inf
        self._polls_all = False
        self._receipt_at = NEVER
        self._heard_at: dict[str, float] = {}

    @property
    def polls_all(self) -> bool:
        """True if all replicas are asked whether they received a commit."""
        return self._polls_all

    def record_suspicion(self, now: float) -> bool:
        """Record a sign that the primary is lost; return whether none was active."""
        is_new = now >= self._suspect_until
        if is_new:
            self._suspected_at = now
        self._suspect_until = now + self._policy.suspicion_time
        return is_new

    def record_primary_status(self, sent_at: float) -> None:
        """End a suspicion that is older than the request that the primary answered.

        A primary that is slow at times must not be polled closely for seconds.
        """
        if sent_at >= self._suspected_at:
            self._suspect_until = NEVER

    def record_answer(self, database: str, now: float) -> None:
        """Record that a database answered a statement."""
        self._heard_at[database] = now

    def has_answered_since(self, database: str, since: float) -> bool:
        """Return whether a database has answered any statement after `since`."""
        return self._heard_at.get(database, NEVER) > since

    def keep_databases(self, names: tuple[str, ...]) -> None:
        """Drop the state of all databases except these."""
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if name in names
        }

    def begin_confirming(self, now: float) -> None:
        """Record that a commit waits for confirmation."""
        self._confirming_since = min(self._confirming_since, now)

    @property
    def stalled_since(self) -> float:
        """Start of the time in which commits wait and none is received, or infinity."""
        return max(self._confirming_since, self._receipt_at)

    def record_receipt(self, now: float) -> None:
        """Record that another database received a waiting commit."""
        self._receipt_at = now

    def end_confirming(self) -> None:
        """Record that no commit waits for confirmation any longer."""
        self._confirming_since = math.inf
        self._polls_all = False

    def escalate_to_all(self, now: float) -> bool:
        """Switch to all replicas for a late commit; return whether that is new."""
        is_late = now - self._confirming_since > WITNESS_TIMEOUT
        if not is_late or self._polls_all:
            return False
        self._polls_all = True
        return True

    def compute_delay(
        self, view: GroupView, item: DatabaseView, context: PollContext, now: float
    ) -> float:
        """Return the seconds until the next status request to a database."""
        policy = self._policy
        if context.is_awaited:
            # The interval grows while no replica receives the commit.
            waited = now - min(self._confirming_since, now)
            return min(max(policy.poll_interval, waited / 4), policy.suspect_interval)
        if self._needs_close_polling(view, item, context, now):
            return policy.suspect_interval
        if not item.reachable:
            return policy.interval
        if item.name == view.primary and context.is_first:
            since_heard = now - context.heard_at
            return max(policy.poll_interval, policy.idle_primary_interval - since_heard)
        return policy.background_interval

    def _needs_close_polling(
        self, view: GroupView, item: DatabaseView, context: PollContext, now: float
    ) -> bool:
        """Return whether the group may be changing without a sign in the traffic."""
        leader = get_primary(view)
        if leader is None or leader.leaving or not leader.reachable:
            # The hand-over from a primary that leaves needs fresh statuses of the other
            # databases, and an unreachable one may have been replaced since.
            return True
        is_suspect = now < self._suspect_until or item.is_held or context.is_losing
        return is_suspect or item.seen_at == NEVER


def get_witness(view: GroupView) -> str:
    """Return the replica to ask first whether it received a commit; empty if none."""
    return next(iter(get_witnesses(view, 1)), "")


def get_witnesses(view: GroupView, count: int) -> tuple[str, ...]:
    """Return up to `count` reachable replicas that have received most of the log."""
    fit = [
        item
        for item in view.databases
        if item.role != PRIMARY and item.reachable and not item.is_held
    ]
    ordered = sorted(fit, key=lambda item: item.received, reverse=True)
    return tuple(item.name for item in ordered[:count])
