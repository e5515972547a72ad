"""Carries out the elections that `FailoverDecider` decides on, by control requests.

Apart from permits, where they are needed, elections do not use the platform's store:
the change is recorded there afterwards.
"""

import logging
from collections.abc import Iterable
from random import Random
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import deferLater

from beryltrack.clock import get_monotonic_clock
from beryltrack.failover.authority import Permit, PromotionAuthority
from beryltrack.failover.background import run_in_background
from beryltrack.failover.decider import (
    DEFAULT_POLICY,
    FailoverDecider,
    FailoverPolicy,
    choose_primary,
)
from beryltrack.failover.detector import FailureDetector, compute_primary_silence
from beryltrack.failover.grants import collect_grants
from beryltrack.failover.holds import HoldReleaser
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
    get_known_primary_term,
    get_recovering,
)
from beryltrack.settings.messages import GroupSettings

log = logging.getLogger(__name__)

# How often a promotion is requested until it is answered. Promotion is idempotent,
# and no other database may be promoted in the same term.
MAX_PROMOTE_ATTEMPTS = 3

# Seconds that a promoted database may take to lead, and between two status requests
# until then. Databases take 0.3 to 1 s.
LEAD_TIMEOUT = 3.0
LEAD_POLL_INTERVAL = 0.05

# Seconds between two attempts of the first-ranked instance to take a permit in advance.
PERMIT_RETRY_INTERVAL = 1.0

# Seconds between two attempts to make a replaced primary stop accepting writes, and
# how many there are. It steps down by itself a second after it reaches its successor.
STEP_DOWN_INTERVAL = 0.25
MAX_STEP_DOWN_ATTEMPTS = 20

# Attempts to confirm the permit, seconds for which each waits for the store (a slow one
# answers in 0.3 s), and seconds between two.
MAX_CONFIRM_ATTEMPTS = 3
CONFIRM_TIMEOUT = 0.5
CONFIRM_INTERVAL = 0.1

CONFIRMATION_VALIDITY = 0.5
"""Seconds after the store was asked for a kept permit during which a promotion may
follow; an election takes less in most cases."""

NO_PERMIT = Permit("", 0)
"""Stands for the permit where databases need none."""

# Seconds for which the member list must be unchanged before the instance first in rank
# takes the permit: at a start the instances register one after the other.
PERMIT_ACQUIRE_DELAY = 2.0


class FailoverDelegate(Protocol):
    """Interface to the group's task, which creates the failover task."""

    @property
    def draining(self) -> frozenset[str]:
        """Names of the databases that an operator drains."""

    def get_time(self) -> float:
        """Return a send time, in seconds, later than that of any previous request."""

    def observe_status(self, status: DatabaseStatus, sent_at: float) -> None:
        """Record a status from the answer to a request that was sent at `sent_at`."""

    def report_failover(self, report: FailoverReport) -> None:
        """Report a completed change of primary."""


class FailoverTask:
    """Holds this instance's elections for one group, one at a time.

    Parameters
    ----------
    reactor : IReactorTime
        Source of the time.
    group_settings : GroupSettings
        The group.
    adapter : DatabaseGroup
        Control requests to its databases.
    instance_name : str
        Name of this instance.
    rng : Random
        Source of jitter and of candidate names.
    delegate : FailoverDelegate
        The group's task.
    detector : FailureDetector
        Gives the timeouts after which databases have lost their primary.
    policy : FailoverPolicy
        Timing and quorum rules.
    authority : PromotionAuthority, optional
        Issues the permits; None where the databases need none.
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        adapter: DatabaseGroup,
        instance_name: str,
        rng: Random,
        delegate: FailoverDelegate,
        detector: FailureDetector,
        policy: FailoverPolicy = DEFAULT_POLICY,
        authority: PromotionAuthority | None = None,
    ):
        self._reactor = reactor
        self._authority = authority
        # True while an earlier promotion call may still be carried out: until that
        # is known no database is released, and the next call needs a new token.
        self._has_open_promotion = False
        self._has_stepped_down = False
        self._was_due = False
        self._seconds = get_monotonic_clock(reactor)
        self._group = group_settings.name
        self._databases = tuple(item.name for item in group_settings.databases)
        self._adapter = adapter
        self._holds = HoldReleaser(reactor, group_settings.name, adapter)
        self._delegate = delegate
        self._policy = policy
        self._decider = FailoverDecider(
            group_settings.name,
            instance_name,
            detector,
            rng,
            policy,
        )
        self._busy = False
        self._stopped = False
        # When the store was last asked for this instance's permit.
        self._confirmed_at = NEVER
        self._permit_timer: IDelayedCall | None = None
        self._running: Deferred | None = None
        self._view: GroupView | None = None
        self._decision_timer: IDelayedCall | None = None

    @property
    def busy(self) -> bool:
        """True while an election is held."""
        return self._busy

    @property
    def _keeps_permits(self) -> bool:
        """True if permits are taken in advance and held."""
        return self._authority is not None and self._authority.keeps_permits

    def set_databases(self, databases: tuple[str, ...]) -> None:
        """Set the names of the group's databases from new settings."""
        self._databases = databases

    def set_instances(
        self, instances: tuple[str, ...], is_candidate: bool = True
    ) -> None:
        """Set the instances that may act for the group; see `FailoverDecider`."""
        self._decider.set_instances(instances, is_candidate)
        if self._authority is None:
            return
        if not self._authority.keeps_permits:
            # No permit is held in advance: the first in rank acts without delay.
            self._decider.set_holds_permit(self._decider.is_first)
        self._schedule_permit(PERMIT_ACQUIRE_DELAY)

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
        """Handle a new view; start an election if one is due."""
        self._view = view
        if self.busy:
            return
        now = self._seconds()
        election = self._decider.decide(view, now)
        self._prepare_authority()
        if election is None:
            self._schedule_decision(self._decider.due - now)
            return
        log.info(
            "failover: %s: election for term %d started as candidate %s (reason: %s).",
            self._group,
            election.term,
            election.candidate,
            election.kind.value,
        )
        self._busy = True
        is_loss = election.kind is not ElectionKind.HAND_OVER
        silence = compute_primary_silence(view, now) if is_loss else 0.0
        self._running = run_in_background(self._run_election(election, silence))

    def _prepare_authority(self) -> None:
        """Prepare the permit once for each election that becomes due."""
        was_due, self._was_due = self._was_due, self._decider.due > NEVER
        if self._authority is not None and self._was_due and not was_due:
            run_in_background(self._authority.prepare(self._group))

    def _schedule_decision(self, delay: float) -> None:
        """Decide again after `delay` seconds even without a new view; 0 cancels."""
        if self._decision_timer is not None and self._decision_timer.active():
            self._decision_timer.cancel()
        if delay > 0:
            self._decision_timer = self._reactor.callLater(
                delay, lambda: self.observe_view(self._view)
            )

    def stop(self) -> None:
        """Stop; cancel an election that is under way."""
        self._stopped = True
        self._schedule_decision(0.0)
        if self._running is not None:
            self._running.cancel()

    async def _run_election(self, election: Election, silence: float) -> None:
        """Hold one election, from the first request until the holds are ended."""
        started = self._seconds()
        try:
            primary = await self._elect(election)
            now = self._seconds()
            self._decider.observe_outcome(election, primary is not None, now)
            if primary is None:
                log.info(
                    "failover: %s: election for term %d failed.",
                    self._group,
                    election.term,
                )
                return
            self._report(election, primary, now - started, silence)
            # Before the next election of this instance, whose holds it could end.
            await self._release_databases(
                election.term, (name for name in self._databases if name != primary)
            )
        finally:
            self._busy = False

    def _report(
        self, election: Election, primary: str, seconds: float, silence: float
    ) -> None:
        """Log and report the change of primary of an election."""
        log.info(
            "failover: %s: primary is %s in term %d.",
            self._group,
            primary,
            election.term,
        )
        self._delegate.report_failover(
            FailoverReport(
                self._group,
                election.kind,
                election.term,
                primary,
                seconds,
                silence,
            )
        )

    async def _elect(self, election: Election) -> str | None:
        """Return the database that leads the term, None if none is known to lead it."""
        if election.kind is ElectionKind.HAND_OVER:
            if not await self._may_stop_writes():
                return None
            is_ready = await self._prepare_hand_over(election)
            # A primary that has stepped down does not resume writes by itself, so
            # the election goes on even if the successor has not caught up.
            if not (is_ready or self._has_stepped_down):
                return None
        if await self._acquire_election_permit(election) is None:
            return None
        sent_at = self._delegate.get_time()
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
            self._delegate.observe_status(reply.status, sent_at)
        # The view is read again: the replies may show that a database has restarted.
        chosen = choose_primary(
            replies,
            len(self._databases),
            election.preferred,
            self._delegate.draining,
            quorum,
            election.non_voting_primary,
            get_recovering(self._view),
        )
        if (
            chosen not in (None, election.non_voting_primary)
            and election.non_voting_primary
        ):
            # It would otherwise keep accepting writes that cannot be confirmed.
            run_in_background(self._step_down(election))
        if chosen is None or not await self._promote(election, chosen, replies):
            if not self._has_open_promotion:
                await self._release_databases(
                    election.term, (reply.status.name for reply in replies)
                )
            return None
        return chosen

    async def _may_stop_writes(self) -> bool:
        """Return whether a permit is available for the promotion that must follow.

        While the store is unavailable, a primary that stepped down would get no
        successor.
        """
        if self._authority is None or self._authority.keeps_permits:
            return True
        return await self._acquire_permit(False) is not None

    async def _promote(
        self, election: Election, chosen: str, replies: tuple[GrantReply, ...]
    ) -> bool:
        """Promote a database; return True once it leads."""
        for _ in range(MAX_PROMOTE_ATTEMPTS):
            if self._is_superseded(election.term, chosen):
                return False
            permit = await self._acquire_promotion_permit()
            if permit is None or not self._still_has_log(chosen, replies):
                return False
            sent_at = self._delegate.get_time()
            result = await self._adapter.promote(
                chosen, election.term, election.candidate, permit.token
            )
            self._has_open_promotion = not isinstance(result, Success)
            if not self._has_open_promotion:
                reply = result.unwrap()
                self._delegate.observe_status(reply.status, sent_at)
                if reply.promoted:
                    leads = await self._wait_leading(chosen, reply.status)
                    # A promoted database that does not lead yet may still do so.
                    self._has_open_promotion = not leads
                    return leads
                if self._authority is not None:
                    self._authority.drop(self._group)
                return False
        return False

    def _is_superseded(self, term: int, chosen: str) -> bool:
        """Return whether the term, or a later one, has had another primary by now.

        The votes were cast before it led: the chosen database may lack its commits.
        Databases that grant terms themselves allow no other primary in a granted term.
        """
        if self._authority is None:
            return False
        others = (item for item in self._view.databases if item.name != chosen)
        return any(get_known_primary_term(item) >= term for item in others)

    def _still_has_log(self, chosen: str, replies: tuple[GrantReply, ...]) -> bool:
        """Return whether the chosen database still has the log it was chosen for.

        A database that restarted since then is empty and, as primary, would make the
        others discard their logs.
        """
        item = get_database(self._view, chosen)
        granted = (each.status for each in replies if each.status.name == chosen)
        held = max((status.received for status in granted), default=NO_POSITION)
        return item is not None and item.received >= held

    async def _step_down(self, election: Election) -> None:
        """Make the replaced primary stop accepting writes, retrying until it does."""
        for _ in range(MAX_STEP_DOWN_ATTEMPTS):
            result = await self._adapter.stop_writes(
                election.non_voting_primary, election.primary_term or election.term - 1
            )
            status = _get_status(result)
            if self._stopped or (status is not None and status.role != PRIMARY):
                return
            await deferLater(self._reactor, STEP_DOWN_INTERVAL)

    async def _wait_leading(self, chosen: str, status: DatabaseStatus) -> bool:
        """Return whether a promoted database reports in time that it leads."""
        deadline = self._seconds() + LEAD_TIMEOUT
        while status is None or status.role != PRIMARY:
            if self._seconds() >= deadline:
                return False
            await deferLater(self._reactor, LEAD_POLL_INTERVAL)
            sent_at = self._delegate.get_time()
            status = _get_status(await self._adapter.get_status(chosen))
            if status is not None:
                self._delegate.observe_status(status, sent_at)
        return True

    async def _release_databases(self, term: int, databases: Iterable[str]) -> None:
        """End the holds of an election under the permit, if there is one."""
        if self._authority is None:
            return
        permit = await self._confirm_permit()
        if permit is not None:
            await self._holds.end(term, databases, permit)

    async def _acquire_election_permit(self, election: Election) -> Permit | None:
        """Return the permit of an election, None without one.

        Another instance may have taken a permit that this one kept since an earlier
        election. Both would act on a loss at once, and one promote a database that
        lacks what the other's confirms.
        """
        # An earlier promotion call without an answer may still be carried out. An
        # election that only ends holds is in no hurry and takes a permit for certain.
        renew = self._has_open_promotion or election.kind is ElectionKind.RECLAIM
        if self._keeps_permits and not renew and not self._has_lost_permit():
            return await self._confirm_permit()
        return await self._acquire_permit(renew)

    async def _acquire_promotion_permit(self) -> Permit | None:
        """Return the permit of a promotion call, None without one.

        This process may have been paused since it asked for the votes. Another instance
        may have taken the permit meanwhile and have ended the holds that they rely on.
        """
        is_old = self._seconds() - self._confirmed_at > CONFIRMATION_VALIDITY
        if self._keeps_permits and (is_old or self._has_open_promotion):
            permit = await self._confirm_permit()
            if permit is None or not self._has_open_promotion:
                return permit
        return await self._acquire_permit(self._has_open_promotion)

    async def _confirm_permit(self) -> Permit | None:
        """Return the permit, None if another instance has taken it or may have."""
        authority = self._authority
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            self._confirmed_at = self._seconds()
            confirming = Deferred.fromCoroutine(authority.confirm(self._group))
            try:
                result = await confirming.addTimeout(CONFIRM_TIMEOUT, self._reactor)
            except TimeoutError:
                # Another call soon would wait as long, before the promotion too.
                self._confirmed_at = self._seconds()
                result = await authority.acquire(self._group, False)
            permit = self._record_permit(result)
            if permit is not None:
                return permit
            if self._has_lost_permit():
                return None
            await deferLater(self._reactor, CONFIRM_INTERVAL)
        return None

    def _has_lost_permit(self) -> bool:
        """Return whether permits are kept and this instance holds none."""
        return self._keeps_permits and not self._authority.holds(self._group)

    async def _acquire_permit(self, renew: bool) -> Permit | None:
        """Return the permit to promote, `NO_PERMIT` if none is needed, None if lacking.

        With `renew` it has a new token.
        """
        if self._authority is None:
            return NO_PERMIT
        if renew or self._has_lost_permit():
            self._confirmed_at = self._seconds()
        return self._record_permit(await self._authority.acquire(self._group, renew))

    def _record_permit(self, permit: Result) -> Permit | None:
        """Record whether this instance holds the permit; return it, None on failure."""
        if self._authority.keeps_permits:
            self._decider.set_holds_permit(self._authority.holds(self._group))
        if isinstance(permit, Success):
            return permit.unwrap()
        log.warning(
            "failover: %s: no permit to promote: %s.",
            self._group,
            permit.failure().text,
        )
        return None

    def _schedule_permit(self, delay: float) -> None:
        """Check after `delay` seconds whether this instance should take the permit."""
        if self._permit_timer is not None and self._permit_timer.active():
            self._permit_timer.cancel()
        self._permit_timer = self._reactor.callLater(
            delay, self._take_permit_in_advance
        )

    def _take_permit_in_advance(self) -> None:
        """Take or prepare the permit if this instance is first in rank."""
        is_wanted = self._decider.is_first and not self._authority.holds(self._group)
        if self._stopped or not is_wanted:
            return
        if not self._authority.keeps_permits:
            run_in_background(self._authority.prepare(self._group))
            return
        taking = run_in_background(self._acquire_permit(False))
        taking.addCallback(lambda _: self._schedule_permit(PERMIT_RETRY_INTERVAL))

    async def _prepare_hand_over(self, election: Election) -> bool:
        """Stop the writes and wait until the successor has caught up.

        Returns
        -------
        bool
            False if the hand-over is aborted. Nothing has to be undone: the primary
            resumes writes by itself unless it has stepped down.
        """
        self._has_stepped_down = False
        result = await self._adapter.stop_writes(
            election.primary, election.primary_term
        )
        stopped_status = _get_status(result)
        if stopped_status is None:
            log.info(
                "failover: %s: hand-over aborted, %s did not stop writes: %s.",
                self._group,
                election.primary,
                result,
            )
            return False
        self._has_stepped_down = stopped_status.role != PRIMARY
        if stopped_status.term != election.primary_term:
            return False
        return await self._wait_received(election, stopped_status)

    async def _wait_received(
        self, election: Election, stopped_status: DatabaseStatus
    ) -> bool:
        """Return whether the successor received all that the primary wrote in time."""
        deadline = self._seconds() + self._policy.hand_over_timeout
        wait = StatusWait(election.primary_term, stopped_status.received.offset)
        while (left := deadline - self._seconds()) > 0:
            status = _get_status(
                await self._adapter.wait_status(election.preferred, wait, left)
            )
            if status is None or status.term != election.primary_term:
                return False
            if status.received >= stopped_status.received:
                return True
        return False


def _get_status(result: Result) -> DatabaseStatus | None:
    """Return the status of a result, or None if the request failed."""
    return result.value_or(None)
