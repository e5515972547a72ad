"""Decides when an instance starts an election for a group, and who is elected.

As in Raft, the databases grant terms, which makes concurrent elections safe. The
decisions here concern timing alone: an election starts soon after a loss, never without
one, and instances seldom compete.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.failover.detector import (
    FailureDetector,
    compute_loss_time,
    get_databases_without_primary,
    is_primary_lost,
)
from beryltrack.failover.messages import Election, ElectionKind
from beryltrack.failover.ranking import compute_rank
from beryltrack.groups.messages import (
    NO_POSITION,
    REPLICA,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    compute_election_quorum,
    compute_majority,
    count_eligible_voters,
    get_known_primary_term,
    get_primary,
    is_deposed,
)

# Seconds; longer than any control request takes.
MAX_GRANT_TIMEOUT = 2.0


class FailoverPolicy(NamedTuple):
    """Timing and quorum rules of failover; all times in seconds.

    Parameters
    ----------
    stagger : float
        Delay between the attempts of instances adjacent in rank: two round
        trips of a grant and a promotion.
    settle_time : float
        How long this instance waits after another one's attempt raised the term.
    max_status_age : float
        Answers to requests sent longer ago do not count as a loss.
    initial_backoff : float
        Mean back-off after the first failed attempt; it doubles each time.
    max_backoff : float
        Upper bound of the mean back-off.
    reclaim_after : float
        How long a database must have refused its primary before the primary
        takes a higher term.
    suspicion_period : float
        How long after its loss a replica makes instances expect a new primary.
    hand_over_stagger : float
        Delay between the hand-overs of instances adjacent in rank; longer than
        one takes.
    hand_over_timeout : float
        How long the successor may take to catch up before the hand-over is
        aborted; less than the time after which a primary that stopped writes
        resumes them by itself.
    hand_over_initial_backoff : float
        Mean back-off after the first aborted hand-over; it doubles each time.
        The next one may choose another successor, and a leaving primary must be
        replaced within a few seconds.
    hand_over_max_backoff : float
        Upper bound of the mean back-off after an aborted hand-over: each one
        stops the writes for a while.
    grant_timeout : float
        How long a candidate waits for a majority; it doubles after each
        failure, so that slow databases can grant too.
    non_holder_delay : float
        How long an instance without the permit waits for its holder to act on a loss.
    rotates_ranks : bool
        True if the ranks of the instances change with each term. False where one
        instance holds the permit, which should seldom pass on.
    stalled_after : float
        How long commits must have waited without a receipt, while the other databases
        answer, before the primary is replaced; infinite where databases report no
        receipts.
    has_authority : bool
        True if an external service promotes, so that grants need not ensure that only
        one database is elected.
    former_accepts_writes : bool
        True if a replaced primary keeps accepting writes. Its own grant does not count
        then: each election needs enough of the other databases to overlap every
        majority that confirms commits of the previous term.
    """

    stagger: float = 0.06
    settle_time: float = 0.15
    max_status_age: float = 0.5
    initial_backoff: float = 0.05
    max_backoff: float = 1.0
    reclaim_after: float = 0.5
    suspicion_period: float = 1.0
    hand_over_stagger: float = 1.0
    hand_over_timeout: float = 0.8
    hand_over_initial_backoff: float = 0.2
    hand_over_max_backoff: float = 5.0
    grant_timeout: float = 0.1
    non_holder_delay: float = 0.0
    rotates_ranks: bool = True
    stalled_after: float = math.inf
    has_authority: bool = False
    former_accepts_writes: bool = False

    def get_quorum(self, size: int) -> int:
        """Return how many grants an election needs in a group of `size` databases."""
        if self.has_authority:
            return compute_election_quorum(size)
        return compute_majority(size)


DEFAULT_POLICY = FailoverPolicy()

_LOSS_KINDS = (ElectionKind.LOST, ElectionKind.STALLED)


class FailoverDecider:
    """Decides for one group when this instance holds an election.

    Parameters
    ----------
    group : str
        The group's name.
    instance : str
        This instance's name.
    detector : FailureDetector
        Gives the timeouts after which databases have lost their primary.
    rng : Random
        Source of jitter and of candidate names.
    policy : FailoverPolicy
        Timing and quorum rules.
    """

    def __init__(
        self,
        group: str,
        instance: str,
        detector: FailureDetector,
        rng: Random,
        policy: FailoverPolicy = DEFAULT_POLICY,
    ):
        self._group = group
        self._instance = instance
        self._instances: tuple[str, ...] = (instance,)
        self._is_candidate = True
        self._detector = detector
        self._rng = rng
        self._policy = policy
        self._election_kind: ElectionKind | None = None
        self._kind_since = 0.0
        self._due = NEVER
        self._highest_term = -1
        self._term_changed_at = 0.0
        self._not_before = 0.0
        self._failures = 0
        self._holds_permit = False

    @property
    def is_candidate(self) -> bool:
        """True if this instance may act for the group."""
        return self._is_candidate

    @property
    def is_first(self) -> bool:
        """True if this instance is first in rank."""
        return self._is_candidate and self._get_rank() == 0

    @property
    def due(self) -> float:
        """Time at which to decide again even if the view is unchanged, seconds.

        It is `NEVER`, which lies in the past, if nothing is due.
        """
        return self._due

    def set_instances(
        self, instances: tuple[str, ...], is_candidate: bool = True
    ) -> None:
        """Set the instances that may hold elections for the group.

        Parameters
        ----------
        instances : tuple of str
            Their names.
        is_candidate : bool
            False if this instance leaves elections to them: a silence of the primary
            may be a failure of its own network path.
        """
        self._instances = instances
        self._is_candidate = is_candidate

    def set_holds_permit(self, holds_permit: bool) -> None:
        """Set whether this instance holds the permit to promote."""
        self._holds_permit = holds_permit

    def is_suspect(self, view: GroupView) -> bool:
        """Return whether the group may soon need a new primary.

        A replica that lost a live primary long ago is cut off itself; it must not
        make all instances poll without a pause.
        """
        limit = self._policy.suspicion_period
        orphaned = get_databases_without_primary(view, self._detector, 0.0)
        recently = (
            item.heard_age < self._detector.get_timeout(item.name) + limit
            for item in orphaned
        )
        return not view.primary or any(recently)

    def decide(self, view: GroupView, now: float) -> Election | None:
        """Return the election that this instance should hold now, if any.

        Parameters
        ----------
        view : GroupView
            The group's view.
        now : float
            The current time of the instance's clock, seconds.

        Returns
        -------
        Election or None
            None if none is needed or another instance acts first.
        """
        for item in view.databases:
            self._detector.observe(item)
        self._observe_term(view, now)
        kind = self._get_election_kind(view, now)
        if kind != self._election_kind:
            self._election_kind, self._kind_since = kind, now
        if kind is ElectionKind.LOST:
            # From the databases' reports, so that all instances compute the same time.
            quorum = self._policy.get_quorum(len(view.databases))
            self._kind_since = compute_loss_time(view, self._detector, now, quorum)
        if kind is None or not self._is_candidate:
            self._failures, self._due = 0, NEVER
            return None
        self._due = max(self._not_before, self._compute_due(view, kind))
        if now < self._due:
            return None
        return self._make_election(view, kind)

    def observe_outcome(self, election: Election, won: bool, now: float) -> None:
        """Record how this instance's own election ended at `now`, in seconds."""
        if won:
            self._failures = 0
            self._not_before = now + self._policy.settle_time
            return
        self._failures += 1
        self._not_before = now + self._compute_backoff(election.kind)

    def _observe_term(self, view: GroupView, now: float) -> None:
        """Record when the term rises: another instance holds or held an election."""
        highest = max(item.term for item in view.databases)
        if highest > self._highest_term:
            is_first_view = self._highest_term < 0
            self._highest_term = highest
            self._term_changed_at = -self._policy.settle_time if is_first_view else now

    def _get_election_kind(self, view: GroupView, now: float) -> ElectionKind | None:
        """Return why the group needs a new term, or None."""
        quorum = self._policy.get_quorum(len(view.databases))
        if is_primary_lost(
            view, self._detector, now - self._policy.max_status_age, quorum
        ):
            return ElectionKind.LOST
        leader = get_primary(view)
        if leader is not None and self._is_stalled(view, leader, now, quorum):
            return ElectionKind.STALLED
        if leader is None or not self._leads_now(view, leader, now):
            return None
        if any(
            self._refuses(item, leader, now) or self._is_left_held(item, now)
            for item in view.databases
        ):
            return ElectionKind.RECLAIM
        if leader.leaving and self._can_hand_over(view, leader, quorum):
            return ElectionKind.HAND_OVER
        return None

    def _can_hand_over(
        self, view: GroupView, leader: DatabaseView, quorum: int
    ) -> bool:
        """Return whether another primary can be elected once this one has stopped."""
        voters = [
            item
            for item in view.databases
            if item.reachable
            and not (self._policy.former_accepts_writes and item == leader)
        ]
        has_quorum = count_eligible_voters(view, voters) >= quorum
        return has_quorum and get_successor(view) is not None

    def _is_stalled(
        self, view: GroupView, leader: DatabaseView, now: float, quorum: int
    ) -> bool:
        """Return whether no entry of the primary reaches the other databases.

        Such a primary is cut off from them, or they receive nothing for a while. The
        others must have answered after half of `stalled_after`: a receipt takes a few
        milliseconds.
        """
        waited = now - view.stalled_since
        if waited < self._policy.stalled_after:
            return False
        asked_after = view.stalled_since + self._policy.stalled_after / 2
        without_receipt = [
            item
            for item in view.databases
            if item.name != leader.name
            and item.reachable
            and item.seen_at >= asked_after
            and item.term == leader.term
        ]
        return count_eligible_voters(view, without_receipt) >= quorum

    def _is_fresh(self, item: DatabaseView, now: float) -> bool:
        """Return whether a database answered within the maximal status age."""
        return item.reachable and item.seen_at >= now - self._policy.max_status_age

    def _leads_now(self, view: GroupView, leader: DatabaseView, now: float) -> bool:
        """Return whether a majority, including the leader, hears no later primary.

        Otherwise a primary of a later term that this instance does not see may be
        active. A primary that can confirm commits is heard by a majority, which
        overlaps this one. A database counts if it is in the leader's term, or if it
        is in a later term and hears no primary: it granted that term to a candidate
        that failed, and with another database lost it would block the group
        indefinitely.
        """
        if leader.is_role_fenced:
            return self._is_fresh(leader, now)
        followers = sum(
            (item.term == leader.term and self._is_fresh(item, now))
            or self._refuses(item, leader, now)
            for item in view.databases
        )
        majority = compute_majority(len(view.databases))
        return followers >= majority and self._is_fresh(leader, now)

    def _refuses(self, item: DatabaseView, leader: DatabaseView, now: float) -> bool:
        """Return whether a database is in a later term that has no primary.

        A database that is held for such a term hears no primary at all.
        """
        silent = item.heard_age >= self._detector.get_timeout(item.name) or item.is_held
        return item.term > leader.term and silent and self._is_fresh(item, now)

    def _is_left_held(self, item: DatabaseView, now: float) -> bool:
        """Return whether a database is held although the group has a primary.

        The hold may be for any term, also for that of the primary: the instance that
        set it did not end it in time. Only an election under a permit can end it.
        """
        is_held = self._policy.has_authority and item.is_held
        return is_held and self._is_fresh(item, now)

    def _compute_due(self, view: GroupView, kind: ElectionKind) -> float:
        """Return when this instance acts, after those of lower rank; seconds."""
        policy = self._policy
        rank = self._get_rank()
        if kind is ElectionKind.HAND_OVER:
            delay = rank * policy.hand_over_stagger
            return self._kind_since + (0.0 if self._holds_permit else delay)
        delay = rank * policy.stagger
        if policy.non_holder_delay:
            delay = 0.0 if self._holds_permit else delay + policy.non_holder_delay
        if kind is ElectionKind.RECLAIM:
            return self._kind_since + policy.reclaim_after + delay
        if self._highest_term > view.term:
            return (
                max(self._kind_since, self._term_changed_at + policy.settle_time)
                + delay
            )
        return self._kind_since + delay

    def _get_rank(self) -> int:
        """Return how many instances act before this one."""
        term = self._highest_term if self._policy.rotates_ranks else 0
        return compute_rank(self._instance, self._instances, self._group, term)

    def _compute_backoff(self, kind: ElectionKind) -> float:
        """Return a jittered back-off that grows with consecutive failures, seconds."""
        policy = self._policy
        first, last = policy.initial_backoff, policy.max_backoff
        if kind is ElectionKind.HAND_OVER:
            first, last = policy.hand_over_initial_backoff, policy.hand_over_max_backoff
        mean = min(first * 2 ** (self._failures - 1), last)
        return mean * self._rng.uniform(0.5, 1.5)

    def _get_lost_after(self, view: GroupView) -> float:
        """Return for how long a granting database must not have heard its primary.

        In seconds. Each database checks this again when it is asked for a grant, so a
        primary that was heard in the meantime is not replaced.
        """
        return min(self._detector.get_timeout(item.name) for item in view.databases)

    def _get_next_term(self, view: GroupView) -> int:
        """Return the term to ask for.

        A hold, unlike a grant, uses up no term, as it can be taken back: there the
        next term follows the last one that had a primary.
        """
        if any(item.is_held for item in view.databases):
            return max(get_known_primary_term(item) for item in view.databases) + 1
        return max(item.term for item in view.databases) + 1

    def _make_election(self, view: GroupView, kind: ElectionKind) -> Election:
        """Return a new attempt at the next term."""
        leader = get_primary(view)
        successor = get_successor(view)
        preferred = {
            ElectionKind.LOST: "",
            ElectionKind.STALLED: "",
            ElectionKind.HAND_OVER: successor.name if successor else "",
            ElectionKind.RECLAIM: view.primary,
        }[kind]
        return Election(
            kind,
            self._get_next_term(view),
            f"{self._instance}/{self._rng.getrandbits(64):016x}",
            self._get_lost_after(view) if kind in _LOSS_KINDS else 0.0,
            view.primary,
            leader.term if leader else 0,
            preferred,
            min(self._policy.grant_timeout * 2**self._failures, MAX_GRANT_TIMEOUT),
            tuple(item.name for item in view.databases if is_deposed(view, item)),
            view.last_primary if self._policy.former_accepts_writes else "",
        )


def get_successor(view: GroupView) -> DatabaseView | None:
    """Return the replica that should succeed a leaving primary.

    Parameters
    ----------
    view : GroupView
        The group's view.

    Returns
    -------
    DatabaseView or None
        The most up-to-date replica; None if all are leaving or unreachable.
    """
    eligible = [
        item
        for item in view.databases
        if item.reachable and not item.leaving and item.role == REPLICA
    ]
    return max(eligible, key=lambda item: (item.received, item.applied), default=None)


def choose_primary(
    replies: Iterable[GrantReply],
    size: int,
    preferred: str,
    unwanted: frozenset[str],
    quorum: int | None = None,
    non_voting_primary: str = "",
    recovering: Mapping[str, LogPosition | None] = MappingProxyType({}),
) -> str | None:
    """Return the database to promote in the term that the replies granted.

    Parameters
    ----------
    replies : iterable of GrantReply
        Answers of different databases to the same candidate.
    size : int
        Number of databases in the group.
    preferred : str
        The database that should lead if the logs allow it; empty for no preference.
    unwanted : frozenset of str
        Databases that should not lead if the logs allow another.
    quorum : int or None
        How many databases an election needs; None for a majority.
    non_voting_primary : str
        The previous primary if its grant does not count; else empty.
    recovering : mapping of str to LogPosition or None
        Up to where databases that restarted empty may have held the log; None if
        unknown. Their grants count only for a database that has received that, unless
        all members have granted: then there is no other log to wait for.

    Returns
    -------
    str or None
        A database whose last entry, by term and offset, is not before those of
        a quorum that granted the term; that quorum holds every acknowledged
        entry. None if no quorum granted.
    """
    granted = [reply.status for reply in replies if reply.granted]
    needed = compute_majority(size) if quorum is None else quorum
    voters = [status for status in granted if status.name != non_voting_primary]
    if len(granted) == size:
        recovering = {}
    eligible = [
        status
        for status in granted
        if sum(_counts_for(status, voter, recovering) for voter in voters) >= needed
    ]
    best = max(
        eligible,
        key=lambda status: (
            status.name == preferred,
            status.name not in unwanted and not status.leaving,
            status.received,
            status.applied,
        ),
        default=None,
    )
    return best.name if best else None


def _counts_for(
    candidate: DatabaseStatus,
    voter: DatabaseStatus,
    recovering: Mapping[str, LogPosition | None],
) -> bool:
    """Return whether a candidate has every entry that a voter has or has lost."""
    lost = recovering.get(voter.name, NO_POSITION)
    return lost is not None and max(lost, voter.received) <= candidate.received
