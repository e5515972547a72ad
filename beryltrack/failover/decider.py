"""When a node starts to change a group's primary, and to whom.

Terms that the databases grant make races harmless, so all of this is only
about time: to act soon after a loss, never without one, and seldom two at once.
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

# Longer than any control request takes.
MAX_GRANT_TIMEOUT = 2.0


class FailoverPolicy(NamedTuple):
    """Times of the failover, all in seconds.

    Parameters
    ----------
    stagger : float
        Between the attempts of two nodes that are next in rank: two round
        trips of a grant and a promotion.
    settle_time : float
        How long somebody else's attempt, seen by its term, is left alone.
    max_status_age : float
        Answers to requests sent longer ago do not count as a loss.
    initial_backoff : float
        Mean pause after the first attempt that failed; it doubles each time.
    max_backoff : float
        The longest mean pause.
    reclaim_after : float
        How long a database must have refused its primary before the primary
        takes a higher term.
    suspicion_period : float
        How long after its loss a replica makes nodes expect a new primary.
    hand_over_stagger : float
        Between two nodes that order a hand-over; longer than one takes.
    hand_over_timeout : float
        How long the replica may take to catch up before the hand-over is
        given up; less than a primary that stopped writes waits by itself.
    hand_over_initial_backoff : float
        Mean pause after the first hand-over that was given up; it doubles each
        time. The next one may choose another successor, and a leaving primary
        has to be relieved within a few seconds.
    hand_over_max_backoff : float
        The longest mean pause after a hand-over that was given up: each one
        stops the writes for a while.
    grant_timeout : float
        How long a candidate waits for a majority; it doubles after each
        failure, so that slow databases can be asked too.
    non_holder_delay : float
        How long an instance without the permit leaves a loss to its holder.
    rotates_ranks : bool
        True if another instance is first in rank in each term. False where a
        permit is held, which is to change hands seldom.
    stalled_after : float
        How long commits must have waited without a receipt, while the other databases
        answer, until the primary is replaced; infinite where databases do not tell.
    has_authority : bool
        True if an authority promotes, so that databases need not see to it that only
        one is elected.
    former_accepts_writes : bool
        True if a replaced primary goes on by itself. Its own grant counts for nothing
        then: each election needs so many of the others that one of them is among any
        that confirm the term before.
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
        """Return how many of a group's databases an election needs."""
        if self.has_authority:
            return compute_election_quorum(size)
        return compute_majority(size)


DEFAULT_POLICY = FailoverPolicy()

_WITHOUT_PRIMARY = (ElectionKind.LOST, ElectionKind.STALLED)


class FailoverDecider:
    """Decides for one group on one node.

    Parameters
    ----------
    group : str
        The group's name.
    node : str
        This instance's name.
    detector : LossDetector
        Says when a primary is lost.
    rng : Random
        Source of jitter and of names of attempts.
    policy : FailoverPolicy
        Times.
    """

    def __init__(
        self,
        group: str,
        node: str,
        detector: FailureDetector,
        rng: Random,
        policy: FailoverPolicy = DEFAULT_POLICY,
    ):
        self._group = group
        self._node = node
        self._nodes: tuple[str, ...] = (node,)
        self._is_candidate = True
        self._detector = detector
        self._rng = rng
        self._policy = policy
        self._kind: ElectionKind | None = None
        self._since = 0.0
        self._due = NEVER
        self._highest_term = -1
        self._moved_at = 0.0
        self._not_before = 0.0
        self._failures = 0
        self._is_holder = False

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
        """When to decide again although the view is the same; else in the past."""
        return self._due

    def set_nodes(self, nodes: tuple[str, ...], is_candidate: bool = True) -> None:
        """Take the names of all instances that may act for the group.

        Parameters
        ----------
        nodes : tuple of str
            Their names.
        is_candidate : bool
            False if this instance is to leave changes of primary to them: what it
            takes for the silence of a primary may be that of its way there.
        """
        self._nodes = nodes
        self._is_candidate = is_candidate

    def set_holds_permit(self, is_holder: bool) -> None:
        """Take whether this instance holds the permit to promote."""
        self._is_holder = is_holder

    def is_suspect(self, view: GroupView) -> bool:
        """Return whether the group may soon need a new primary.

        A replica that lost its primary long ago, while it still leads, is cut
        off by itself; it must not make all nodes ask without a pause.
        """
        limit = self._policy.suspicion_period
        orphaned = get_databases_without_primary(view, self._detector, 0.0)
        lately = (
            item.heard_age < self._detector.get_timeout(item.name) + limit
            for item in orphaned
        )
        return not view.primary or any(lately)

    def decide(self, view: GroupView, now: float) -> Election | None:
        """Return the election that this node shall hold now, if any.

        Parameters
        ----------
        view : GroupView
            The group's view.
        now : float
            The node's time, seconds.

        Returns
        -------
        Election or None
            None while there is nothing to do or others are to act first.
        """
        for item in view.databases:
            self._detector.observe(item)
        self._observe_term(view, now)
        kind = self._get_kind(view, now)
        if kind != self._kind:
            self._kind, self._since = kind, now
        if kind is ElectionKind.LOST:
            # By the databases' own word, so that all nodes count from one time.
            quorum = self._policy.get_quorum(len(view.databases))
            self._since = compute_loss_time(view, self._detector, now, quorum)
        if kind is None or not self._is_candidate:
            self._failures, self._due = 0, NEVER
            return None
        self._due = max(self._not_before, self._compute_due(view, kind))
        if now < self._due:
            return None
        return self._make_election(view, kind)

    def observe_outcome(self, election: Election, won: bool, now: float) -> None:
        """Take in how this node's own election ended."""
        if won:
            self._failures = 0
            self._not_before = now + self._policy.settle_time
            return
        self._failures += 1
        self._not_before = now + self._compute_backoff(election.kind)

    def _observe_term(self, view: GroupView, now: float) -> None:
        """Notice that the term moved: somebody is at work or has finished."""
        highest = max(item.term for item in view.databases)
        if highest > self._highest_term:
            first_look = self._highest_term < 0
            self._highest_term = highest
            self._moved_at = -self._policy.settle_time if first_look else now

    def _get_kind(self, view: GroupView, now: float) -> ElectionKind | None:
        """Return why the group needs another term, or None."""
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
        if any(self._refuses(item, leader, now) for item in view.databases):
            return ElectionKind.RECLAIM
        if leader.leaving and self._can_hand_over(view, leader, quorum):
            return ElectionKind.HAND_OVER
        return None

    def _can_hand_over(
        self, view: GroupView, leader: DatabaseView, quorum: int
    ) -> bool:
        """Return whether another primary could be elected once this one has stopped."""
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
        """Return whether nothing of the primary reaches the other databases.

        Such a primary is cut off from them, or they receive nothing for a while. The
        others must have answered late enough in that time: a receipt takes a few
        milliseconds.
        """
        waited = now - view.stalled_since
        if waited < self._policy.stalled_after:
            return False
        asked_after = view.stalled_since + self._policy.stalled_after / 2
        lacking = [
            item
            for item in view.databases
            if item.name != leader.name
            and item.reachable
            and item.seen_at >= asked_after
            and item.term == leader.term
        ]
        return count_eligible_voters(view, lacking) >= quorum

    def _is_fresh(self, item: DatabaseView, now: float) -> bool:
        """Return whether a database answered lately."""
        return item.reachable and item.seen_at >= now - self._policy.max_status_age

    def _leads_now(self, view: GroupView, leader: DatabaseView, now: float) -> bool:
        """Return whether a majority, the leader among them, hears no later primary.

        Without that a primary of a later term may be at work that this node
        does not see. One that can confirm anything is heard by a majority, so
        by one of these. A database counts that is in the leader's term, and
        also one that is in a later term and hears nobody: it was promised to a
        candidate that came to nothing, and with another database lost it would
        hold up the group for ever.
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

        One that is held for such a term hears nothing, whoever leads.
        """
        silent = item.heard_age >= self._detector.get_timeout(item.name) or item.is_held
        return item.term > leader.term and silent and self._is_fresh(item, now)

    def _compute_due(self, view: GroupView, kind: ElectionKind) -> float:
        """Return when this node is to act, after those before it in rank."""
        policy = self._policy
        rank = self._get_rank()
        if kind is ElectionKind.HAND_OVER:
            delay = rank * policy.hand_over_stagger
            return self._since + (0.0 if self._is_holder else delay)
        delay = rank * policy.stagger
        if policy.non_holder_delay:
            delay = 0.0 if self._is_holder else delay + policy.non_holder_delay
        if kind is ElectionKind.RECLAIM:
            return self._since + policy.reclaim_after + delay
        if self._highest_term > view.term:
            return max(self._since, self._moved_at + policy.settle_time) + delay
        return self._since + delay

    def _get_rank(self) -> int:
        """Return how many instances are to act before this one."""
        turn = self._highest_term if self._policy.rotates_ranks else 0
        return compute_rank(self._node, self._nodes, self._group, turn)

    def _compute_backoff(self, kind: ElectionKind) -> float:
        """Return a jittered pause that grows with the failures in a row."""
        policy = self._policy
        first, last = policy.initial_backoff, policy.max_backoff
        if kind is ElectionKind.HAND_OVER:
            first, last = policy.hand_over_initial_backoff, policy.hand_over_max_backoff
        mean = min(first * 2 ** (self._failures - 1), last)
        return mean * self._rng.uniform(0.5, 1.5)

    def _get_lost_after(self, view: GroupView) -> float:
        """Return how long a database that grants must not have heard its primary.

        Each database judges again by this when it is asked, so a primary that
        was heard in the meantime is not replaced.
        """
        return min(self._detector.get_timeout(item.name) for item in view.databases)

    def _get_next_term(self, view: GroupView) -> int:
        """Return the term to ask for.

        A promise that was taken back, or can be, uses up no term: there the
        term that a promotion makes is the one after the last that had a primary.
        """
        if any(item.is_held for item in view.databases):
            return max(get_known_primary_term(item) for item in view.databases) + 1
        return max(item.term for item in view.databases) + 1

    def _make_election(self, view: GroupView, kind: ElectionKind) -> Election:
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
            f"{self._node}/{self._rng.getrandbits(64):016x}",
            self._get_lost_after(view) if kind in _WITHOUT_PRIMARY else 0.0,
            view.primary,
            leader.term if leader else 0,
            preferred,
            min(self._policy.grant_timeout * 2**self._failures, MAX_GRANT_TIMEOUT),
            tuple(item.name for item in view.databases if is_deposed(view, item)),
            view.last_primary if self._policy.former_accepts_writes else "",
        )


def get_successor(view: GroupView) -> DatabaseView | None:
    """Return the replica that should take over from a leaving primary.

    Parameters
    ----------
    view : GroupView
        The group's view.

    Returns
    -------
    DatabaseView or None
        The replica that has received most; None if all are leaving or silent.
    """
    fit = [
        item
        for item in view.databases
        if item.reachable and not item.leaving and item.role == REPLICA
    ]
    return max(fit, key=lambda item: (item.received, item.applied), default=None)


def choose_primary(
    replies: Iterable[GrantReply],
    size: int,
    preferred: str,
    unwanted: frozenset[str],
    quorum: int | None = None,
    non_voting_primary: str = "",
    recovering: Mapping[str, LogPosition | None] = MappingProxyType({}),
) -> str | None:
    """Return who shall lead the term that the replies granted.

    Parameters
    ----------
    replies : iterable of GrantReply
        Answers of different databases to the same candidate.
    size : int
        Number of databases in the group.
    preferred : str
        Who should lead if the logs allow it; empty for no preference.
    unwanted : frozenset of str
        Who should not lead if the logs allow another.
    quorum : int or None
        How many databases an election needs; None for a majority.
    non_voting_primary : str
        The primary so far if its grant counts for nothing; else empty.
    recovering : mapping of str to LogPosition or None
        What databases that have started again empty may have held, None if that is
        not known. Each counts only for a candidate that has received it, unless all
        members have granted: then no other log is there to wait for.

    Returns
    -------
    str or None
        A database whose last entry, by term and offset, is at or after that
        of each of some majority that granted the term; that majority holds
        every acknowledged entry. None if no majority granted.
    """
    granted = [reply.status for reply in replies if reply.granted]
    needed = compute_majority(size) if quorum is None else quorum
    voters = [status for status in granted if status.name != non_voting_primary]
    if len(granted) == size:
        recovering = {}
    fit = [
        status
        for status in granted
        if sum(_counts_for(status, voter, recovering) for voter in voters) >= needed
    ]
    best = max(
        fit,
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
    """Return whether a candidate has all that a voter has, or has lost."""
    lost = recovering.get(voter.name, NO_POSITION)
    return lost is not None and max(lost, voter.received) <= candidate.received
