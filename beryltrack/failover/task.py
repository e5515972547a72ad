"""Carries out the elections that the decider asks for, over control requests.

The platform's store is not on this path: what was done is reported afterwards.
"""

import logging
from random import Random
from typing import Protocol

from returns.result import Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall
from twisted.python.failure import Failure as DefectFailure

from beryltrack.clock import get_seconds
from beryltrack.failover.decider import (
    DEFAULT_POLICY,
    FailoverDecider,
    FailoverPolicy,
    choose_primary,
)
from beryltrack.failover.detector import LossDetector, compute_silence
from beryltrack.failover.grants import collect_grants
from beryltrack.failover.messages import Election, ElectionKind, FailoverReport
from beryltrack.groups.adapter import DatabaseGroup, StatusWait
from beryltrack.groups.messages import PRIMARY, DatabaseStatus
from beryltrack.groups.view import GroupView
from beryltrack.settings.messages import GroupSettings

log = logging.getLogger(__name__)

# How often a promotion is asked for again when its answer is lost. Promotion
# is idempotent, and no other database may be promoted in the same term.
PROMOTE_TRIES = 3


class FailoverOwner(Protocol):
    """What a failover asks of the task that owns it."""

    @property
    def draining(self) -> frozenset[str]:
        """Names of the databases that an operator drains."""

    def get_time(self) -> float:
        """Return a time later than that of any request before."""

    def take_status(self, status: DatabaseStatus, sent_at: float) -> None:
        """Take in a status that came with an answer."""

    def take_report(self, report: FailoverReport) -> None:
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
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        adapter: DatabaseGroup,
        node_name: str,
        rng: Random,
        owner: FailoverOwner,
        detector: LossDetector,
        policy: FailoverPolicy = DEFAULT_POLICY,
    ):
        self._reactor = reactor
        self._seconds = get_seconds(reactor)
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

    def set_nodes(self, nodes: tuple[str, ...]) -> None:
        """Take the names of all instances that may act for the group."""
        self._decider.set_nodes(nodes)

    def is_suspect(self, view: GroupView) -> bool:
        """Return whether the group may soon need a new primary."""
        return self._decider.is_suspect(view)

    def observe_view(self, view: GroupView) -> None:
        """Look at a new view and begin an election if one is due."""
        if self.busy:
            return
        self._view = view
        now = self._seconds()
        election = self._decider.decide(view, now)
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
        silence = compute_silence(view, now) if is_loss else 0.0
        self._running = Deferred.fromCoroutine(self._hold(election, silence))
        self._running.addErrback(_log_defect)

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
        self._owner.take_report(
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
            if not await self._prepare_hand_over(election):
                return None
        sent_at = self._owner.get_time()
        replies = await collect_grants(
            self._reactor, self._adapter, self._databases, election
        )
        for reply in replies:
            self._owner.take_status(reply.status, sent_at)
        chosen = choose_primary(
            replies, len(self._databases), election.preferred, self._owner.draining
        )
        if chosen is None:
            return None
        for _ in range(PROMOTE_TRIES):
            sent_at = self._owner.get_time()
            result = await self._adapter.promote(
                chosen, election.term, election.candidate
            )
            if isinstance(result, Success):
                reply = result.unwrap()
                self._owner.take_status(reply.status, sent_at)
                return chosen if reply.promoted else None
        return None

    async def _prepare_hand_over(self, election: Election) -> bool:
        """Stop the writes and let the successor catch up.

        Returns
        -------
        bool
            False if it is given up. Nothing has to be undone: the primary
            takes writes again by itself.
        """
        stopped = _get_status(
            await self._adapter.stop_writes(election.primary, election.primary_term)
        )
        if stopped is None or stopped.role != PRIMARY:
            return False
        if stopped.term != election.primary_term:
            return False
        return await self._wait_received(election, stopped)

    async def _wait_received(self, election: Election, stopped: DatabaseStatus) -> bool:
        """Wait until the successor has received all that the primary wrote."""
        deadline = self._seconds() + self._policy.hand_over_limit
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


def _log_defect(failure: DefectFailure) -> None:
    """Log what ended an election, unless it was stopped on purpose."""
    if not failure.check(CancelledError):
        log.error("failover: an election met a defect: %s", failure.getTraceback())


def _get_status(result: Result) -> DatabaseStatus | None:
    """Return the status of a result, or None if the request failed."""
    return result.value_or(None)
