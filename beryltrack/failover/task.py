"""Carries out the elections that the decider asks for, over control requests.

The platform's store is not on this path: what was done is reported afterwards.
"""

import logging
from collections.abc import Coroutine, Iterable
from random import Random
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import deferLater
from twisted.python.failure import Failure as DefectFailure

from beryltrack.clock import get_monotonic_clock
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.failover.decider import (
    DEFAULT_POLICY,
    FailoverDecider,
    FailoverPolicy,
    choose_primary,
)
from beryltrack.failover.detector import FailureDetector, compute_primary_silence
from beryltrack.failover.grants import collect_grants
from beryltrack.failover.messages import Election, ElectionKind, FailoverReport
from beryltrack.groups.adapter import DatabaseGroup, StatusWait
from beryltrack.groups.messages import (
    NO_POSITION,
    PRIMARY,
    DatabaseStatus,
    GrantReply,
)
from beryltrack.groups.view import (
    NEVER,
    GroupView,
    get_database,
    get_recovering,
)
from beryltrack.settings.messages import GroupSettings

log = logging.getLogger(__name__)

# How often a promotion is asked for again when its answer is lost. Promotion
# is idempotent, and no other database may be promoted in the same term.
MAX_PROMOTE_ATTEMPTS = 3

# Seconds that a promoted database may take to lead, and between two looks at it.
# Known databases take 0.3 to 1 s.
LEAD_TIMEOUT = 3.0
LEAD_POLL_INTERVAL = 0.05

# Seconds between two attempts of the first in rank to take a permit beforehand.
PERMIT_RETRY_INTERVAL = 1.0

# Seconds between two attempts to have a replaced primary take no more writes, and
# how many there are. It ends by itself a second after it reaches the next one.
STEP_DOWN_INTERVAL = 0.25
MAX_STEP_DOWN_ATTEMPTS = 20

# Seconds for which the members must have stayed the same before the first in rank
# takes the permit: at a start they register one after the other.
PERMIT_ACQUIRE_DELAY = 2.0


class FailoverDelegate(Protocol):
    """What a failover asks of the task that owns it."""

    @property
    def draining(self) -> frozenset[str]:
        """Names of the databases that an operator drains."""

    def get_time(self) -> float:
        """Return a time later than that of any request before."""

    def observe_status(self, status: DatabaseStatus, sent_at: float) -> None:
        """Take in a status that came with an answer."""

    def report_failover(self, report: FailoverReport) -> None:
        """Take in what was done."""


class FailoverTask:
    """Holds the elections of one group on one node, one at a time.

    Parameters
    ----------
    reactor : IReactorTime
        Source of the time.
    group_settings : GroupSettings
        The group.
    adapter : DatabaseGroup
        Control requests to its databases.
    node_name : str
        Name of this instance.
    rng : Random
        Source of jitter and of names of attempts.
    owner : FailoverOwner
        The group's task.
    detector : LossDetector
        Says when a primary is lost.
    policy : FailoverPolicy
        Times.
    authority : PromotionAuthority, optional
        Gives the permits; None where the databases need none.
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        adapter: DatabaseGroup,
        node_name: str,
        rng: Random,
        owner: FailoverDelegate,
        detector: FailureDetector,
        policy: FailoverPolicy = DEFAULT_POLICY,
        authority: PromotionAuthority | None = None,
    ):
        self._reactor = reactor
        self._authority = authority
        # True while a promotion that was asked for may still be carried out: until
        # that is known nobody is released, and the next one needs a new token.
        self._unanswered = False
        self._has_stopped = False
        self._was_due = False
        self._seconds = get_monotonic_clock(reactor)
        self._group = group_settings.name
        self._databases = tuple(item.name for item in group_settings.databases)
        self._adapter = adapter
        self._owner = owner
        self._policy = policy
        self._decider = FailoverDecider(
            group_settings.name,
            node_name,
            detector,
            rng,
            policy,
        )
        self._busy = False
        self._stopped = False
        self._permit_call: IDelayedCall | None = None
        self._running: Deferred | None = None
        self._view: GroupView | None = None
        self._timer: IDelayedCall | None = None

    @property
    def busy(self) -> bool:
        """True while an election is held."""
        return self._busy

    def set_databases(self, databases: tuple[str, ...]) -> None:
        """Take the names of the group's members from new settings."""
        self._databases = databases

    def set_nodes(self, nodes: tuple[str, ...], is_candidate: bool = True) -> None:
        """Take the names of all instances that may act for the group."""
        self._decider.set_nodes(nodes, is_candidate)
        if self._authority is None:
            return
        if not self._authority.keeps_permits:
            # Whoever is first in rank does not wait for a holder of the permit.
            self._decider.set_holds_permit(self._decider.is_first)
        self._plan_permit(PERMIT_ACQUIRE_DELAY)

    @property
    def is_candidate(self) -> bool:
        """True if this instance may act for the group."""
        return self._decider.is_candidate

    @property
    def is_first(self) -> bool:
        """True if this instance is the first to act for the group."""
        holds = self._authority is not None and self._authority.holds(self._group)
        return holds or self._decider.is_first

    def is_suspect(self, view: GroupView) -> bool:
        """Return whether the group may soon need a new primary."""
        return self._decider.is_suspect(view)

    def observe_view(self, view: GroupView) -> None:
        """Look at a new view and begin an election if one is due."""
        self._view = view
        if self.busy:
            return
        now = self._seconds()
        election = self._decider.decide(view, now)
        self._prepare_if_due()
        if election is None:
            self._look_again(self._decider.due - now)
            return
        log.info(
            "failover: %s asks for term %d of %s (%s).",
            election.candidate,
            election.term,
            self._group,
            election.kind.value,
        )
        self._busy = True
        is_loss = election.kind is not ElectionKind.HAND_OVER
        silence = compute_primary_silence(view, now) if is_loss else 0.0
        self._running = _start(self._hold(election, silence))

    def _prepare_if_due(self) -> None:
        """Prepare once for each change of primary that becomes due."""
        was_due, self._was_due = self._was_due, self._decider.due > NEVER
        if self._authority is not None and self._was_due and not was_due:
            _start(self._authority.prepare(self._group))

    def _look_again(self, delay: float) -> None:
        """Decide again after a time, also if no new view comes."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if delay > 0:
            self._timer = self._reactor.callLater(
                delay, lambda: self.observe_view(self._view)
            )

    def stop(self) -> None:
        """Give up an election that is under way."""
        self._stopped = True
        self._look_again(0.0)
        if self._running is not None:
            self._running.cancel()

    async def _hold(self, election: Election, silence: float) -> None:
        """Hold one election from the first request to the report."""
        started = self._seconds()
        try:
            primary = await self._elect(election)
        finally:
            self._busy = False
        now = self._seconds()
        self._decider.observe_outcome(election, primary is not None, now)
        if primary is None:
            log.info("failover: term %d of %s fails.", election.term, self._group)
            return
        log.info(
            "failover: %s leads %s in term %d.", primary, self._group, election.term
        )
        self._owner.report_failover(
            FailoverReport(
                self._group,
                election.kind,
                election.term,
                primary,
                now - started,
                silence,
            )
        )

    async def _elect(self, election: Election) -> str | None:
        """Return who leads the term, or None if nobody does for all we know."""
        if election.kind is ElectionKind.HAND_OVER:
            if not await self._may_stop_writes():
                return None
            is_ready = await self._prepare_hand_over(election)
            # Where a primary that was stopped takes no writes again by itself,
            # the election goes on, whether the successor has caught up or not.
            if not (is_ready or self._has_stopped):
                return None
        # A call of before that was not answered may still be carried out.
        if await self._acquire_permit(self._unanswered) is None:
            return None
        sent_at = self._owner.get_time()
        quorum = self._policy.get_quorum(len(self._databases))
        replies = await collect_grants(
            self._reactor,
            self._adapter,
            self._databases,
            election,
            quorum,
            bool(get_recovering(self._view)),
        )
        for reply in replies:
            self._owner.observe_status(reply.status, sent_at)
        # The replies themselves may show that a database has started again.
        chosen = choose_primary(
            replies,
            len(self._databases),
            election.preferred,
            self._owner.draining,
            quorum,
            election.non_voting_primary,
            get_recovering(self._view),
        )
        if (
            chosen not in (None, election.non_voting_primary)
            and election.non_voting_primary
        ):
            # It goes on otherwise, and takes writes that nobody confirms.
            _start(self._step_down(election))
        if chosen is None or not await self._promote(election, chosen, replies):
            if not self._unanswered:
                await self._release(reply.status.name for reply in replies)
            return None
        await self._release(name for name in self._databases if name != chosen)
        return chosen

    async def _may_stop_writes(self) -> bool:
        """Return whether a permit can be had for the promotion that has to follow.

        While the store is away a primary that was stepped down would have no successor.
        """
        if self._authority is None or self._authority.keeps_permits:
            return True
        return await self._acquire_permit(False) is not None

    async def _promote(
        self, election: Election, chosen: str, replies: tuple[GrantReply, ...]
    ) -> bool:
        """Make a database the primary; True once it leads."""
        for _ in range(MAX_PROMOTE_ATTEMPTS):
            token = await self._acquire_permit(self._unanswered)
            if token is None or not self._still_holds(chosen, replies):
                return False
            sent_at = self._owner.get_time()
            result = await self._adapter.promote(
                chosen, election.term, election.candidate, token
            )
            self._unanswered = not isinstance(result, Success)
            if not self._unanswered:
                reply = result.unwrap()
                self._owner.observe_status(reply.status, sent_at)
                if reply.promoted:
                    leads = await self._wait_leading(chosen, reply.status)
                    # One that does not lead yet may do so later on.
                    self._unanswered = not leads
                    return leads
                if self._authority is not None:
                    self._authority.drop(self._group)
                return False
        return False

    def _still_holds(self, chosen: str, replies: tuple[GrantReply, ...]) -> bool:
        """Return whether the chosen database still has what it was chosen for.

        One that has started again since has nothing, and would take the others'
        logs away as it leads.
        """
        item = get_database(self._view, chosen)
        granted = (each.status for each in replies if each.status.name == chosen)
        held = max((status.received for status in granted), default=NO_POSITION)
        return item is not None and item.received >= held

    async def _step_down(self, election: Election) -> None:
        """Have the former primary lead no more, as soon as it can be reached."""
        for _ in range(MAX_STEP_DOWN_ATTEMPTS):
            result = await self._adapter.stop_writes(
                election.non_voting_primary, election.primary_term or election.term - 1
            )
            status = _get_status(result)
            if self._stopped or (status is not None and status.role != PRIMARY):
                return
            await deferLater(self._reactor, STEP_DOWN_INTERVAL)

    async def _wait_leading(self, chosen: str, status: DatabaseStatus) -> bool:
        """Wait until a database that was promoted says that it leads."""
        deadline = self._seconds() + LEAD_TIMEOUT
        while status is None or status.role != PRIMARY:
            if self._seconds() >= deadline:
                return False
            await deferLater(self._reactor, LEAD_POLL_INTERVAL)
            sent_at = self._owner.get_time()
            status = _get_status(await self._adapter.get_status(chosen))
            if status is not None:
                self._owner.observe_status(status, sent_at)
        return True

    async def _release(self, databases: Iterable[str]) -> None:
        """Let databases that granted a term follow their primary again."""
        if self._authority is None:
            return
        for database in tuple(databases):
            Deferred.fromCoroutine(self._adapter.release(database))

    async def _acquire_permit(self, renew: bool) -> int | None:
        """Return the fencing token to promote with, or None without a permit."""
        if self._authority is None:
            return 0
        permit = await self._authority.acquire(self._group, renew)
        if self._authority.keeps_permits:
            self._decider.set_holds_permit(self._authority.holds(self._group))
        if isinstance(permit, Success):
            return permit.unwrap().token
        log.warning(
            "failover: No permit for %s: %s.", self._group, permit.failure().text
        )
        return None

    def _plan_permit(self, delay: float) -> None:
        """Look after a time whether this instance is to have the permit."""
        if self._permit_call is not None and self._permit_call.active():
            self._permit_call.cancel()
        self._permit_call = self._reactor.callLater(delay, self._prepare_permit)

    def _prepare_permit(self) -> None:
        """Take the permit beforehand if this instance is to act first."""
        is_wanted = self._decider.is_first and not self._authority.holds(self._group)
        if self._stopped or not is_wanted:
            return
        if not self._authority.keeps_permits:
            _start(self._authority.prepare(self._group))
            return
        taking = _start(self._acquire_permit(False))
        taking.addCallback(lambda _: self._plan_permit(PERMIT_RETRY_INTERVAL))

    async def _prepare_hand_over(self, election: Election) -> bool:
        """Stop the writes and let the successor catch up.

        Returns
        -------
        bool
            False if it is given up. Nothing has to be undone: the primary
            takes writes again by itself.
        """
        self._has_stopped = False
        result = await self._adapter.stop_writes(
            election.primary, election.primary_term
        )
        stopped = _get_status(result)
        if stopped is None:
            log.info("failover: No hand-over of %s: %s.", self._group, result)
            return False
        self._has_stopped = stopped.role != PRIMARY
        if stopped.term != election.primary_term:
            return False
        return await self._wait_received(election, stopped)

    async def _wait_received(self, election: Election, stopped: DatabaseStatus) -> bool:
        """Wait until the successor has received all that the primary wrote."""
        deadline = self._seconds() + self._policy.hand_over_timeout
        wait = StatusWait(election.primary_term, stopped.received.offset)
        while (left := deadline - self._seconds()) > 0:
            status = _get_status(
                await self._adapter.wait_status(election.preferred, wait, left)
            )
            if status is None or status.term != election.primary_term:
                return False
            if status.received >= stopped.received:
                return True
        return False


def _start(work: Coroutine) -> Deferred:
    """Begin work that nobody waits for; a defect in it is logged."""
    return Deferred.fromCoroutine(work).addErrback(_log_defect)


def _log_defect(failure: DefectFailure) -> None:
    """Log what ended an election, unless it was stopped on purpose."""
    if not failure.check(CancelledError):
        log.error("failover: an election met a defect: %s", failure.getTraceback())


def _get_status(result: Result) -> DatabaseStatus | None:
    """Return the status of a result, or None if the request failed."""
    return result.value_or(None)
