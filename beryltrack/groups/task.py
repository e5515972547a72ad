"""The task of one group: watches the databases and answers requests about the group.

It maintains the group's view, proves samples and ages, confirms commits with one
outstanding request per database, and runs failovers. The decisions are in the deciders;
this module connects them to timers, results of requests and the waiting requests.
"""

import logging
import math
from collections.abc import Callable, Mapping
from random import Random
from types import MappingProxyType

from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from beryltrack.clock import get_monotonic_clock
from beryltrack.failover.authority import PromotionAuthority
from beryltrack.failover.decider import DEFAULT_POLICY, FailoverPolicy
from beryltrack.failover.detector import FailureDetector, FixedTimeoutDetector
from beryltrack.failover.messages import FailoverReport
from beryltrack.failover.task import FailoverTask
from beryltrack.groups.adapter import DatabaseGroup
from beryltrack.groups.confirmations import LeadershipConfirmations
from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import (
    PRIMARY,
    DatabaseStatus,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.policy import (
    ProbePolicy,
    compute_delay,
    compute_long_poll_timeout,
    make_probe_policy,
    make_status_wait,
)
from beryltrack.groups.poll_schedule import PollContext, PollSchedule, get_witness
from beryltrack.groups.samples import Sample
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    get_database,
    get_summary,
)
from beryltrack.groups.waiters import ViewWaiters
from beryltrack.groups.watch import LongPoll, StatusResult
from beryltrack.groups.watches import GroupWatches
from beryltrack.pause_aware_clock import Pause, get_pause_aware_clock
from beryltrack.settings.messages import GroupSettings
from beryltrack.transactions.pending_commits import PendingCommits

log = logging.getLogger(__name__)

TIME_STEP = 1e-7
"""Minimum seconds between the send times of two requests. A sample is proven by
requests sent at or after a time, so that no two times may be equal."""

SILENCE_RESET_TIME = 5.0
"""Seconds for which the process must have run since its last pause for a new pause to
reset the measured silence: several times as long as the detection of a loss takes."""


class GroupTask:
    """Watches one group, proves its state and runs its failovers.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and of the time if it is a `task.Clock`.
    group_settings : GroupSettings
        The group.
    adapter : DatabaseGroup
        Sends control requests to its databases.
    instance_name : str
        Name of this instance.
    rng : Random
        Source of jitter and of names of failover attempts.
    policy : ProbePolicy or None
        The probe intervals; None derives them from the group's `lost_after`.
    detector : FailureDetector or None
        Failure detector of the primary; None uses the group's `lost_after`.
    authority : PromotionAuthority or None
        Gives the permits to promote; None where the databases need none.
    failover_policy : FailoverPolicy
        Times of the failover.
    proof : LeadershipProof
        Evidence that proves the term of a primary.
    drain_limit : float
        Seconds for which a leaving primary gets new work; infinite for no limit.
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        adapter: DatabaseGroup,
        instance_name: str,
        rng: Random,
        policy: ProbePolicy | None = None,
        detector: FailureDetector | None = None,
        authority: PromotionAuthority | None = None,
        failover_policy: FailoverPolicy = DEFAULT_POLICY,
        proof: LeadershipProof = LeadershipProof.MAJORITY,
        drain_limit: float = math.inf,
    ):
        databases = group_settings.databases
        names = tuple(item.name for item in databases)
        draining = get_draining(group_settings)
        self._reactor = reactor
        self._adapter = adapter
        self._seconds = get_monotonic_clock(reactor)
        self._policy = policy or make_probe_policy(group_settings.lost_after)
        self._detector = detector or FixedTimeoutDetector(group_settings.lost_after)
        self._decider = GroupDecider(
            group_settings.name,
            names,
            draining,
            proof,
            drain_limit,
            get_leaving_times(group_settings),
            self._seconds(),
        )
        self._commits = PendingCommits(reactor, len(names))
        self._watches = GroupWatches(reactor, adapter, self, names)
        self._failover = FailoverTask(
            reactor,
            group_settings,
            adapter,
            instance_name,
            rng,
            self,
            self._detector,
            failover_policy,
            authority,
        )
        self._last_time = 0.0
        self._used_at = NEVER
        self._waiters = ViewWaiters(reactor)
        self._confirmations = LeadershipConfirmations(reactor, self)
        self._subscribers: list[Callable[[GroupView], None]] = []
        self._failover_subscribers: list[Callable[[FailoverReport], None]] = []
        self._running = False
        self._schedule = PollSchedule(self._policy)
        self._clock = get_pause_aware_clock(reactor)
        self._reported = self._decider.view

    @property
    def view(self) -> GroupView:
        """The current view of the group."""
        return self._decider.view

    @property
    def draining(self) -> frozenset[str]:
        """Names of the databases that an operator drains."""
        return self._decider.draining

    @property
    def witness_count(self) -> int:
        """Number of databases besides the primary that have to confirm its term."""
        return self._decider.witness_count

    def get_sent_at(self, database: str) -> float:
        """Return the send time of the last status request to a database."""
        return self._watches.get_sent_at(database)

    def wake(self, database: str) -> None:
        """Request a database's status now, if it is still a member."""
        self._watches.wake(database)

    def start(self) -> None:
        """Start to watch the group."""
        self._running = True
        self._clock.subscribe(self._handle_pause)
        self._watches.start()

    def stop(self) -> None:
        """Stop the watches, failovers and control requests, and end all waits."""
        if self._running:
            self._clock.unsubscribe(self._handle_pause)
        self._running = False
        self._watches.stop()
        self._failover.stop()
        self._adapter.close()
        self._commits.stop()
        self._waiters.stop()
        self._confirmations.stop()

    def set_draining(
        self,
        draining: frozenset[str],
        leaving_since: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Set which databases an operator drains; see `GroupDecider.set_draining`."""
        self._apply_draining(draining, leaving_since)
        self._report_view()

    def _apply_draining(
        self, draining: frozenset[str], leaving_since: Mapping[str, float]
    ) -> None:
        """Set which databases leave; log for how long each may get new work."""
        before, now = self._decider.draining, self._seconds()
        self._decider.set_draining(draining, now, leaving_since)
        for item in self.view.databases:
            if item.name in draining - before and item.works_until < math.inf:
                log.info(
                    "groups: %s of %s leaves; as the primary it gets new requests for "
                    "%.1f s.",
                    item.name,
                    self.view.group,
                    max(0.0, item.works_until - now),
                )

    def set_databases(self, group_settings: GroupSettings) -> None:
        """Replace the group's members by those of new settings, while it runs.

        Parameters
        ----------
        group_settings : GroupSettings
            New settings of the same group. Members in both keep their state.
        """
        names = tuple(item.name for item in group_settings.databases)
        self._adapter.set_databases(group_settings.databases)
        restarted = self._decider.set_databases(names, self._seconds())
        self._apply_draining(
            get_draining(group_settings), get_leaving_times(group_settings)
        )
        self._commits.set_databases(names)
        self._failover.set_databases(names)
        self._schedule.keep_databases(names)
        self._waiters.keep_databases(names)
        self._watches.set_databases(names)
        for name in restarted:
            self._handle_restart(name)
        self._report_view()

    def set_instances(
        self, instances: tuple[str, ...], is_candidate: bool = True
    ) -> None:
        """Set the instances that may run failovers of this group.

        Parameters
        ----------
        instances : tuple of str
            Names of the live members. They are ranked, so that after a loss one of
            them acts first.
        is_candidate : bool
            False if this instance must leave changes of primary to them.
        """
        self._failover.set_instances(instances, is_candidate)

    def set_allowed_vias(self, vias: tuple[str, ...]) -> None:
        """Use only control connections through these owners; see `ControlCalls`."""
        self._adapter.set_allowed_vias(vias)

    def subscribe(self, callback: Callable[[GroupView], None]) -> None:
        """Call back with the view when its `GroupSummary` changes."""
        self._subscribers.append(callback)

    def subscribe_failover(self, callback: Callable[[FailoverReport], None]) -> None:
        """Call back after each change of primary that this instance carried out."""
        self._failover_subscribers.append(callback)

    def learn_view(self, view: GroupView) -> None:
        """Use another instance's view as a hint of the primary."""
        before = self.view.term
        self._decider.learn_view(view)
        if self.view.term > before:
            self._watches.wake_all()
        self._report_view()

    def get_age(self, database: str) -> float:
        """Return a proven bound of the staleness of a database's reads, in seconds."""
        return self._decider.get_age(database, self._seconds())

    def observe_position(
        self, database: str, position: LogPosition, sent_at: float | None = None
    ) -> None:
        """Record an applied position that came with the answer to a statement.

        `sent_at` is the statement's send time, if its snapshot is no older.
        """
        self._record_use()
        if sent_at is not None:
            self._decider.observe_read_position(database, position, sent_at)
        self._schedule.record_answer(database, self._seconds())
        self._decider.observe_position(database, position, self._seconds())
        self._waiters.answer_applied(self.view)

    def observe_leadership(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Record that a database reported to be primary as it answered a statement."""
        self._decider.observe_leadership(database, position, sent_at, self._seconds())
        self._answer_samples()

    async def ask_status(self, database: str) -> StatusResult:
        """Return a database's status to another instance, and handle it here too."""
        sent_at = self.get_time()
        result = await self._adapter.get_status(database)
        if isinstance(result, Success):
            self.observe_status(result.unwrap(), sent_at)
        elif self.has_answered_since(database, sent_at):
            # The other instance must not count the database as lost either.
            return Failure(result.failure()._replace(is_answered=True))
        return result

    def observe_proof(self, proof: Sample) -> None:
        """Record a proven position of the primary from another instance."""
        if proof.position.term > self.view.term:
            # The group has a primary that this instance does not know yet.
            self._watches.wake_all()
            return
        self._decider.observe_proof(proof, self._seconds())
        self._answer_samples()

    def get_proof(self) -> Sample | None:
        """Return the newest proven position of the primary."""
        return self._decider.newest_sample

    def observe_lagging(self, database: str, position: LogPosition) -> None:
        """Record that a replica refused a read, as it had not applied a position."""
        self._schedule.record_answer(database, self._seconds())
        self._decider.observe_lagging(database, position, self._seconds())

    def is_presumed_behind(
        self, database: str, position: LogPosition, min_pause: float
    ) -> bool:
        """Return whether a replica refused a position too recently to be retried."""
        return self._decider.is_presumed_behind(
            database, position, self._seconds(), min_pause
        )

    def get_needed_position(self, since: float) -> LogPosition | None:
        """Return a position that covers all that was acknowledged before `since`.

        None if no confirmed sample proves one.
        """
        return self._decider.get_needed_position(since)

    def has_answered_since(self, database: str, since: float) -> bool:
        """Return whether a database has answered any statement after `since`."""
        return self._schedule.has_answered_since(database, since)

    def suspect(self, database: str, since: float) -> None:
        """Handle a sign that a database may be lost: probe it closely for a while.

        Parameters
        ----------
        database : str
            The database.
        since : float
            Send time of the unanswered request, by the instance's clock.
        """
        if not self._watches.is_watched(database):
            return
        now = self._seconds()
        if database == self.view.primary:
            if self._decider.heard_at > since:
                # It has answered later requests, so that it is only slow.
                return
            self._decider.observe_primary_asked(since)
            if self._schedule.record_suspicion(now):
                self._watches.wake_all()
        elif now - self.get_sent_at(database) > self._policy.suspect_interval:
            self.wake(database)

    def observe_sample(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Record the primary's position from the answer to a request of `sent_at`."""
        self._decider.observe_sample(database, position, sent_at, self._seconds())

    def sample_primary(self) -> Deferred:
        """Return a position sampled, and its term confirmed, after this call.

        Concurrent calls share the status requests.

        Returns
        -------
        Deferred
            Fires with a `LogPosition`. It has no timeout of its own; the caller
            cancels it.
        """
        answer = self._waiters.wait_sample(self.get_time())
        self._record_use()
        if self.view.primary:
            self.wake(self.view.primary)
        else:
            self._watches.wake_all()
        return answer

    def confirm_leadership(self) -> Deferred:
        """Prove that no later term had a primary before this call.

        Concurrent calls share the status requests.

        Returns
        -------
        Deferred
            Fires with None. It has no timeout of its own; the caller cancels it.
        """
        self._record_use()
        return self._confirmations.wait()

    def confirm(
        self, position: LogPosition, timeout: float, database: str = ""
    ) -> Deferred:
        """Wait until a commit is received by a majority in its own term.

        Parameters
        ----------
        position : LogPosition
            The position that came with the answer to the commit.
        timeout : float
            Seconds after which the outcome is `UNKNOWN`.
        database : str
            The database that ran it, if known. If another database leads the
            position's term, the position proves nothing of this commit, so that
            its outcome is `UNKNOWN`.

        Returns
        -------
        Deferred
            Fires with a `CommitOutcome`.
        """
        self._record_use()
        answer = self._commits.wait(position, timeout, database)
        if answer.called:
            return answer
        if self._policy.is_poll_only:
            self._schedule.begin_confirming(self._seconds())
            answer.addBoth(self._end_confirming)
            witness = get_witness(self.view)
            if witness:
                self.wake(witness)
        else:
            self._watches.wake_replicas(self.view)
        return answer

    def wait_applied(
        self, database: str, token: LogPosition, timeout: float
    ) -> Deferred:
        """Wait until a database has applied all acknowledged writes up to a token.

        Parameters
        ----------
        database : str
            The database's name.
        token : LogPosition
            The session's token.
        timeout : float
            Seconds.

        Returns
        -------
        Deferred
            Fires with True, or with False at the timeout.
        """
        self._record_use()
        answer = self._waiters.wait_applied(database, token, timeout)
        self._waiters.answer_applied(self.view)
        if not answer.called:
            self.wake(database)
        return answer

    def get_time(self) -> float:
        """Return the current time, strictly later than any returned before."""
        self._last_time = max(self._seconds(), self._last_time + TIME_STEP)
        return self._last_time

    def begin_request(self, database: str) -> float:
        """Return the send time of the next request to a database.

        A sample is proven by answers to requests that were sent after it, so that
        the replicas are asked again when the primary is asked for a sample.
        """
        sent_at = self.get_time()
        self._watches.record_sent(database, sent_at)
        if not self.view.primary:
            # The instance that was to elect a new primary may have failed itself.
            self._decider.observe_primary_asked(sent_at)
        if database == self.view.primary:
            self._decider.observe_primary_asked(sent_at)
            if self._waiters.has_samples and not self._policy.is_poll_only:
                self._watches.wake_replicas(self.view)
        return sent_at

    def get_long_poll(self, database: str) -> LongPoll | None:
        """Return the long poll to send to a database; None for a short probe.

        While the group may get a new primary its replicas get long polls too: the
        answer arrives as soon as one of them is promoted or hears a primary.
        """
        item = get_database(self.view, database)
        if item is None or self._policy.is_poll_only:
            return None
        if self._failover.busy or item.role == PRIMARY or not item.reachable:
            return None
        received = self._commits.get_wait_offset(database)
        tokens = self._waiters.get_tokens(database)
        suspect = self._failover.is_suspect(self.view)
        if received is None and not tokens and not suspect:
            return None
        wait = make_status_wait(item, received, tokens)
        return LongPoll(
            wait, compute_long_poll_timeout(self._policy, self._get_until_lost(item))
        )

    def get_delay(self, database: str) -> float:
        """Return the seconds until the next status request to a database."""
        item = get_database(self.view, database)
        if item is None:
            return self._policy.idle_interval
        sent_at = self.get_sent_at(database)
        is_asked = self._waiters.needs_sample_after(sent_at)
        if (is_asked or self._confirmations.needs_request(database)) and item.reachable:
            return 0.0
        if self._failover.busy:
            return self._policy.suspect_interval
        if self.get_long_poll(database) is not None:
            return 0.0
        if self._policy.is_poll_only:
            context = PollContext(
                self._is_awaited(item),
                self._failover.is_suspect(self.view),
                self._failover.is_first,
                self._decider.heard_at,
            )
            return self._schedule.compute_delay(
                self.view, item, context, self._seconds()
            )
        if self._failover.is_suspect(self.view):
            return self._policy.suspect_interval
        in_use = self._seconds() < self._used_at + self._policy.active_time
        return compute_delay(self._policy, item, self._get_until_lost(item), in_use)

    def handle_result(
        self, database: str, result: StatusResult, sent_at: float
    ) -> None:
        """Handle the result of a status request to a database."""
        self._clock.record_tick()
        if isinstance(result, Success):
            self.observe_status(result.unwrap(), sent_at)
            if self._schedule.escalate_to_all(self._seconds()):
                self._watches.wake_replicas(self.view)
            return
        if result.failure().is_answered:
            self._decider.observe_answer(database, self._seconds())
            return
        if self.has_answered_since(database, sent_at):
            # The database works and only has no free slot for the request. Breaking
            # its connections would reopen them all, each for 12 to 30 ms of a slot.
            return
        self._decider.observe_failure(database, self._seconds())
        self._report_view()

    def observe_status(self, status: DatabaseStatus, sent_at: float) -> None:
        """Record a status, and answer the requests that waited for it."""
        if self._decider.observe_status(status, sent_at, self._seconds()):
            self._commits.reset_database(status.name)
            self._handle_restart(status.name)
        if status.name == self.view.primary:
            self._schedule.record_primary_status(sent_at)
        if not self._decider.is_recovering(status.name):
            self._record_receipts(status)
        self._waiters.answer_applied(self.view)
        self._answer_samples()
        self._report_view()

    def _record_receipts(self, status: DatabaseStatus) -> None:
        """Record what a database has received, and answer the commits it confirms."""
        if self._commits.observe_status(status):
            self._schedule.record_receipt(self._seconds())

    def _handle_restart(self, database: str) -> None:
        """Log a database's restart, and find out which entries it may have lost.

        A failover candidate asks the primary for its position while that is alive.
        """
        log.warning(
            "groups: %s of %s restarted empty; it counts in no majority until it has"
            " caught up.",
            database,
            self.view.group,
        )
        if self._failover.is_candidate and self.view.primary:
            self.wake(self.view.primary)

    def report_failover(self, report: FailoverReport) -> None:
        """Notify the subscribers of a change of primary that this instance made."""
        self._watches.wake_all()
        for callback in tuple(self._failover_subscribers):
            callback(report)

    def _is_awaited(self, item: DatabaseView) -> bool:
        """Return whether a request waits for the progress of a poll-only replica."""
        if item.role == PRIMARY or not item.reachable:
            return False
        if self._waiters.get_tokens(item.name):
            return True
        if self._commits.get_wait_offset(item.name) is None:
            return False
        return self._schedule.polls_all or item.name == get_witness(self.view)

    def _end_confirming(self, result: object) -> object:
        """Record the end of a wait for a commit, and return its result."""
        if self._commits.pending <= 1:
            self._schedule.end_confirming()
        return result

    def _handle_pause(self, pause: Pause) -> None:
        """Exclude a pause of the whole process from the primary's silence.

        After such a pause the answers of replicas may be read before that of the
        primary, which would then be replaced without need. In a series of pauses only
        the first one resets the silence before it; otherwise they would hide the loss
        of a primary forever.
        """
        if pause.ran_for >= SILENCE_RESET_TIME:
            self._decider.observe_primary_heard(pause.resumed_at)
        else:
            self._decider.observe_pause(pause.length)

    def _get_until_lost(self, item: DatabaseView) -> float:
        """Return the seconds of silence after which a replica has lost its primary."""
        return self._detector.get_timeout(item.name) - item.heard_age

    def _answer_samples(self) -> None:
        """Answer the requests that wait for a sample or for the proof of a term."""
        self._waiters.answer_samples(self._decider.get_confirmed_sample)
        self._confirmations.answer(self._decider.confirmed_at)

    def _report_view(self) -> None:
        """Pass the view to the failover task, and notify the subscribers of changes."""
        if not self._running:
            return
        stalled_since = self._schedule.stalled_since
        self._failover.observe_view(self.view._replace(stalled_since=stalled_since))
        before, self._reported = self._reported, self.view
        if get_summary(before) == get_summary(self.view):
            return
        if self._policy.is_poll_only:
            # Their next probes may be far off, and the change may concern them too.
            self._watches.wake_all()
        if before.term != self.view.term or before.primary != self.view.primary:
            log.info(
                "groups: %s is led by %s in term %d.",
                self.view.group,
                self.view.primary or "nobody",
                self.view.term,
            )
        for callback in tuple(self._subscribers):
            callback(self.view)

    def _record_use(self) -> None:
        """Record a request; the first one after an idle time wakes the watches."""
        now = self._seconds()
        was_idle = now >= self._used_at + self._policy.active_time
        self._used_at = now
        if was_idle and not self._policy.is_poll_only:
            self._watches.wake_all()


def get_draining(group_settings: GroupSettings) -> frozenset[str]:
    """Return the names of the databases that an operator drains."""
    return frozenset(item.name for item in group_settings.databases if item.draining)


def get_leaving_times(group_settings: GroupSettings) -> dict[str, float]:
    """Return since when at the earliest databases leave, where that is known."""
    return {
        item.name: item.leaving_since
        for item in group_settings.databases
        if item.draining and item.leaving_since is not None
    }
