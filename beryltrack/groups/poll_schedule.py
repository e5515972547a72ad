"""The pace at which databases are asked that answer at once and tell little.

Such databases have no long polls, and do not say whether they hear their primary. A
status takes a slot of the database and is paid for, so that they are asked only for
what traffic does not tell: the progress of commits that wait for a receipt, and what
became of a primary that is silent.
"""

import math
from typing import NamedTuple

from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.policy import ProbePolicy
from beryltrack.groups.view import NEVER, DatabaseView, GroupView, get_primary

WITNESS_TIMEOUT = 0.012
"""Seconds after which a commit's receipt is asked of all replicas. The first one asked
has nearly always received it, and each question is paid for."""


class PollContext(NamedTuple):
    """What the pace of one database rests on beside its view.

    Parameters
    ----------
    is_awaited : bool
        True if somebody waits for its progress.
    is_losing : bool
        True if the group may soon need another primary.
    is_first : bool
        True if this instance is the first to act for the group.
    heard_at : float
        When this instance last heard from the primary.
    """

    is_awaited: bool
    is_losing: bool
    is_first: bool
    heard_at: float


class PollSchedule:
    """What one instance keeps to pace its questions to one group.

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
        self._asks_all = False
        self._receipt_at = NEVER
        self._heard_at: dict[str, float] = {}

    @property
    def asks_all(self) -> bool:
        """True if all replicas are asked for the receipt of a commit."""
        return self._asks_all

    def note_suspicion(self, now: float) -> bool:
        """Take a sign that the primary is lost; return whether it is a new one."""
        is_new = now >= self._suspect_until
        if is_new:
            self._suspected_at = now
        self._suspect_until = now + self._policy.suspect_time
        return is_new

    def note_primary_status(self, sent_at: float) -> None:
        """Take an answer of the primary: it ends a suspicion from before.

        One that is slow now and then is not to be asked for seconds on end.
        """
        if sent_at >= self._suspected_at:
            self._suspect_until = NEVER

    def note_heard(self, database: str, now: float) -> None:
        """Take that a database has answered a statement."""
        self._heard_at[database] = now

    def has_answered_since(self, database: str, since: float) -> bool:
        """Return whether a database has answered any statement after a time."""
        return self._heard_at.get(database, NEVER) > since

    def keep_databases(self, names: tuple[str, ...]) -> None:
        """Forget all databases but these."""
        self._heard_at = {
            name: at for name, at in self._heard_at.items() if name in names
        }

    def begin_confirming(self, now: float) -> None:
        """Take that a commit waits for its receipt."""
        self._confirming_since = min(self._confirming_since, now)

    @property
    def stalled_since(self) -> float:
        """Since when commits wait and none was received; infinite if none waits."""
        return max(self._confirming_since, self._receipt_at)

    def note_receipt(self, now: float) -> None:
        """Take that a commit that waited was received by another database."""
        self._receipt_at = now

    def end_confirming(self) -> None:
        """Take that no commit waits any longer."""
        self._confirming_since = math.inf
        self._asks_all = False

    def turns_to_all(self, now: float) -> bool:
        """Return whether from now on all replicas are asked for a receipt."""
        is_late = now - self._confirming_since > WITNESS_TIMEOUT
        if not is_late or self._asks_all:
            return False
        self._asks_all = True
        return True

    def compute_delay(
        self, view: GroupView, item: DatabaseView, facts: PollContext, now: float
    ) -> float:
        """Return the seconds until a database is asked again."""
        policy = self._policy
        if facts.is_awaited:
            # A commit that nobody receives is asked for ever more seldom.
            waited = now - min(self._confirming_since, now)
            return min(max(policy.poll_interval, waited / 4), policy.suspect_interval)
        if self._is_watched_closely(view, item, facts, now):
            return policy.suspect_interval
        if not item.reachable:
            return policy.interval
        if item.name == view.primary and facts.is_first:
            since_heard = now - facts.heard_at
            return max(policy.poll_interval, policy.idle_primary_interval - since_heard)
        return policy.background_interval

    def _is_watched_closely(
        self, view: GroupView, item: DatabaseView, facts: PollContext, now: float
    ) -> bool:
        """Return whether something is going on that no traffic tells of."""
        leader = get_primary(view)
        if leader is None or leader.leaving or not leader.reachable:
            # A primary that leaves is handed over on fresh answers of the others,
            # and others may have elected another one since it was heard.
            return True
        is_suspect = now < self._suspect_until or item.is_held or facts.is_losing
        return is_suspect or item.seen_at == NEVER


def get_witness(view: GroupView) -> str:
    """Return the replica that is asked first whether it received a commit."""
    return next(iter(get_witnesses(view, 1)), "")


def get_witnesses(view: GroupView, count: int) -> tuple[str, ...]:
    """Return the replicas that are asked first, those that have received most."""
    fit = [
        item
        for item in view.databases
        if item.role != PRIMARY and item.reachable and not item.is_held
    ]
    ordered = sorted(fit, key=lambda item: item.received, reverse=True)
    return tuple(item.name for item in ordered[:count])
