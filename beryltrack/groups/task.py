"""One group's task: it watches the databases and answers those who wait.

Every request path of a node goes through this task: it keeps the view, proves
samples and ages, confirms commits by one outstanding wait per database, and
runs failovers. The decisions are those of the deciders; here are only the
sockets' results, the timers and the lists of who waits.
"""

import logging
from collections.abc import Callable
from random import Random

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
    compute_slice,
    make_probe_policy,
    make_wait,
)
from beryltrack.groups.poll_schedule import PollContext, PollSchedule, get_witness
from beryltrack.groups.samples import Sample
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    get_database,
    get_outline,
)
from beryltrack.groups.waiters import ViewWaiters
from beryltrack.groups.watch import StatusResult, WatchWait
from beryltrack.groups.watches import GroupWatches
from beryltrack.pause_aware_clock import Pause, get_pause_aware_clock
from beryltrack.settings.messages import GroupSettings
from beryltrack.transactions.pending_commits import PendingCommits

log = logging.getLogger(__name__)

# Least difference between the send times of two requests, seconds. A sample is
# proven by requests sent "at or after" a time, so no two times may be equal.
TIME_STEP = 1e-7

FORGIVING_TIME = 5.0
"""Seconds for which a process must have run since its last pause for all silence before
this one to be forgiven: several times as long as a loss takes to be found."""


class GroupTask:
    """Watches one group and answers for it.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and of the time if it is a `task.Clock`.
    group_settings : GroupSettings
        The group.
    adapter : DatabaseGroup
        Control requests to its databases.
    node_name : str
        Name of this instance.
    rng : Random
        Source of jitter and of names of attempts.
    policy : ProbePolicy or None
        The pace of probes; None takes it from the group's `lost_after`.
    detector : LossDetector or None
        Says when a primary is lost; None takes the group's `lost_after`.
    authority : PromotionAuthority or None
        Gives the permits to promote; None where the databases need none.
    failover_policy : FailoverPolicy
        Times of the failover.
    proof : LeadershipProof
        What proves the term of a primary.
    """

    def __init__(
        self,
        reactor,
        group_settings: GroupSettings,
        adapter: DatabaseGroup,
        node_name: str,
        rng: Random,
        policy: ProbePolicy | None = None,
        detector: FailureDetector | None = None,
        authority: PromotionAuthority | None = None,
        failover_policy: FailoverPolicy = DEFAULT_POLICY,
        proof: LeadershipProof = LeadershipProof.MAJORITY,
    ):
        databases = group_settings.databases
        names = tuple(item.name for item in databases)
        draining = get_draining(group_settings)
        self._reactor = reactor
        self._adapter = adapter
        self._seconds = get_monotonic_clock(reactor)
        self._policy = policy or make_probe_policy(group_settings.lost_after)
        self._detector = detector or FixedTimeoutDetector(group_settings.lost_after)
        self._decider = GroupDecider(group_settings.name, names, draining, proof)
        self._commits = PendingCommits(reactor, len(names))
        self._watches = GroupWatches(reactor, adapter, self, names)
        self._failover = FailoverTask(
            reactor,
            group_settings,
            adapter,
            node_name,
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
        self._pace = PollSchedule(self._policy)
        self._awake = get_pause_aware_clock(reactor)
        self._reported = self._decider.view

    @property
    def view(self) -> GroupView:
        """The group as this node knows it now."""
        return self._decider.view

    @property
    def draining(self) -> frozenset[str]:
        """Names of the databases that an operator drains."""
        return self._decider.draining

    @property
    def witness_count(self) -> int:
        """How many databases beside the primary have to confirm its term."""
        return self._decider.witness_count

    def get_sent_at(self, database: str) -> float:
        """Return when a database was last asked."""
        return self._watches.get_sent_at(database)

    def wake(self, database: str) -> None:
        """Ask a database now, if it is still a member."""
        self._watches.wake(database)

    def start(self) -> None:
        """Begin to watch the group."""
        self._running = True
        self._awake.subscribe(self._take_pause)
        self._watches.start()

    def stop(self) -> None:
        """Watch no more; who still waits is told what is known."""
        if self._running:
            self._awake.unsubscribe(self._take_pause)
        self._running = False
        self._watches.stop()
        self._failover.stop()
        self._adapter.close()
        self._commits.stop()
        self._waiters.stop()
        self._confirmations.stop()

    def set_draining(self, draining: frozenset[str]) -> None:
        """Take the databases that an operator drains from new settings."""
        self._decider.set_draining(draining)
        self._report_view()

    def set_databases(self, group_settings: GroupSettings) -> None:
        """Take the group's members from new settings, while it runs.

        Parameters
        ----------
        group_settings : GroupSettings
            The same group. Members that stay keep all that is known of them.
        """
        names = tuple(item.name for item in group_settings.databases)
        self._adapter.set_databases(group_settings.databases)
        restarted = self._decider.set_databases(names, self._seconds())
        self._decider.set_draining(get_draining(group_settings))
        self._commits.set_databases(names)
        self._failover.set_databases(names)
        self._pace.keep_databases(names)
        self._waiters.keep_databases(names)
        self._watches.set_databases(names)
        for name in restarted:
            self._note_restart(name)
        self._report_view()

    def set_nodes(self, nodes: tuple[str, ...], is_candidate: bool = True) -> None:
        """Take the names of all instances that may act for this group.

        Parameters
        ----------
        nodes : tuple of str
            The live members. They are ranked, so that after a loss one of them
            acts first.
        is_candidate : bool
            False if this instance is to leave changes of primary to them.
        """
        self._failover.set_nodes(nodes, is_candidate)

    def set_allowed_vias(self, vias: tuple[str, ...]) -> None:
        """Ask over new connections where the open ones go another way than these."""
        self._adapter.set_allowed_vias(vias)

    def subscribe(self, callback: Callable[[GroupView], None]) -> None:
        """Call back with the view when the primary, or who is reachable, changes."""
        self._subscribers.append(callback)

    def subscribe_failover(self, callback: Callable[[FailoverReport], None]) -> None:
        """Call back after each change of primary that this node carried out."""
        self._failover_subscribers.append(callback)

    def learn_view(self, view: GroupView) -> None:
        """Take another node's view as a hint where the primary is."""
        before = self.view.term
        self._decider.learn_view(view)
        if self.view.term > before:
            self._watches.wake_all()
        self._report_view()

    def get_age(self, database: str) -> float:
        """Return a proven bound, in seconds, of a database's age now."""
        return self._decider.get_age(database, self._seconds())

    def observe_position(
        self, database: str, position: LogPosition, sent_at: float | None = None
    ) -> None:
        """Take in an applied position that came with an answer to a statement.

        `sent_at` is when the statement was sent, if its snapshot is no older.
        """
        self._note_use()
        if sent_at is not None:
            self._decider.observe_shown(database, position, sent_at)
        self._pace.note_heard(database, self._seconds())
        self._decider.observe_position(database, position, self._seconds())
        self._waiters.answer_applied(self.view)

    def observe_leadership(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Take in that a database led, by its word, when it answered a statement."""
        self._decider.observe_leadership(database, position, sent_at, self._seconds())
        self._answer_samples()

    async def ask_status(self, database: str) -> StatusResult:
        """Return the status of a database, for another instance; take it in too."""
        sent_at = self.get_time()
        result = await self._adapter.get_status(database)
        if isinstance(result, Success):
            self.observe_status(result.unwrap(), sent_at)
        elif self.has_answered_since(database, sent_at):
            # The other instance must not take it for lost either.
            return Failure(result.failure()._replace(is_answered=True))
        return result

    def observe_proof(self, proof: Sample) -> None:
        """Take in a proven position of the primary from another instance."""
        if proof.position.term > self.view.term:
            # The group has a primary that this node does not know of yet.
            self._watches.wake_all()
            return
        self._decider.observe_proof(proof, self._seconds())
        self._answer_samples()

    def get_proof(self) -> Sample | None:
        """Return the newest proven position of the primary."""
        return self._decider.newest_sample

    def observe_lagging(self, database: str, position: LogPosition) -> None:
        """Take in that a replica did not show a position that it was asked for."""
        self._pace.note_heard(database, self._seconds())
        self._decider.observe_lagging(database, position, self._seconds())

    def is_presumed_behind(
        self, database: str, position: LogPosition, min_pause: float
    ) -> bool:
        """Return whether a replica has refused a position too lately to be asked."""
        return self._decider.is_presumed_behind(
            database, position, self._seconds(), min_pause
        )

    def get_needed_position(self, since: float) -> LogPosition | None:
        """Return what shows all that was acknowledged before a time, if proven."""
        return self._decider.get_needed_position(since)

    def has_answered_since(self, database: str, since: float) -> bool:
        """Return whether a database has answered any statement after a time."""
        return self._pace.has_answered_since(database, since)

    def suspect(self, database: str, since: float) -> None:
        """Take in a sign that a database may be lost: look closely for a while.

        Parameters
        ----------
        database : str
            The database.
        since : float
            When it was asked what it has not answered, by the node's clock.
        """
        if not self._watches.is_watched(database):
            return
        now = self._seconds()
        if database == self.view.primary:
            if self._decider.heard_at > since:
                # It has answered others that came later, so that it is only slow.
                return
            self._decider.observe_primary_asked(since)
            if self._pace.note_suspicion(now):
                self._watches.wake_all()
        elif now - self.get_sent_at(database) > self._policy.suspect_interval:
            self.wake(database)

    def observe_sample(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Take in a primary's position from an answer to a request of `sent_at`."""
        self._decider.observe_sample(database, position, sent_at, self._seconds())

    def sample_primary(self) -> Deferred:
        """Return a position sampled, and its term confirmed, after this call.

        All who wait share the requests that are made.

        Returns
        -------
        Deferred
            Fires with a `LogPosition`. It has no timeout of its own; cancel it.
        """
        answer = self._waiters.wait_sample(self.get_time())
        self._note_use()
        if self.view.primary:
            self.wake(self.view.primary)
        else:
            self._watches.wake_all()
        return answer

    def confirm_leadership(self) -> Deferred:
        """Have it proven that no later term had a primary before this call.

        All who wait share the questions that are made.

        Returns
        -------
        Deferred
            Fires with None. It has no timeout of its own; cancel it.
        """
        self._note_use()
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
            Where it ran, if known. A position of a term that another database
            leads says nothing of this commit, so its outcome is `UNKNOWN`.

        Returns
        -------
        Deferred
            Fires with a `CommitOutcome`.
        """
        self._note_use()
        answer = self._commits.wait(position, timeout, database)
        if answer.called:
            return answer
        if self._policy.is_poll_only:
            self._pace.begin_confirming(self._seconds())
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
        """Wait until a database's readers see all that a token stands for.

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
        self._note_use()
        answer = self._waiters.wait_applied(database, token, timeout)
        self._waiters.answer_applied(self.view)
        if not answer.called:
            self.wake(database)
        return answer

    def get_time(self) -> float:
        """Return the time, later than any time that was returned before."""
        self._last_time = max(self._seconds(), self._last_time + TIME_STEP)
        return self._last_time

    def begin_request(self, database: str) -> float:
        """Return the send time of the next request to a database.

        A sample is proven by answers to requests that were sent after it, so
        the others are asked once more when the primary is asked for one.
        """
        sent_at = self.get_time()
        self._watches.note_sent(database, sent_at)
        if not self.view.primary:
            # Whoever was to give the group another one may be gone itself.
            self._decider.observe_primary_asked(sent_at)
        if database == self.view.primary:
            self._decider.observe_primary_asked(sent_at)
            if self._waiters.has_samples and not self._policy.is_poll_only:
                self._watches.wake_replicas(self.view)
        return sent_at

    def get_wait(self, database: str) -> WatchWait | None:
        """Return the long poll that is wanted of a database, if any.

        While the group may get a new primary its replicas are polled too: the
        answer comes at once when one of them is promoted or hears a primary.
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
        wait = make_wait(item, received, tokens)
        return WatchWait(wait, compute_slice(self._policy, self._get_until_lost(item)))

    def get_delay(self, database: str) -> float:
        """Return the seconds until a database is asked again."""
        item = get_database(self.view, database)
        if item is None:
            return self._policy.idle_interval
        sent_at = self.get_sent_at(database)
        is_asked = self._waiters.wants_sample_after(sent_at)
        if (is_asked or self._confirmations.wants(database)) and item.reachable:
            return 0.0
        if self._failover.busy:
            return self._policy.suspect_interval
        if self.get_wait(database) is not None:
            return 0.0
        if self._policy.is_poll_only:
            facts = PollContext(
                self._is_awaited(item),
                self._failover.is_suspect(self.view),
                self._failover.is_first,
                self._decider.heard_at,
            )
            return self._pace.compute_delay(self.view, item, facts, self._seconds())
        if self._failover.is_suspect(self.view):
            return self._policy.suspect_interval
        in_use = self._seconds() < self._used_at + self._policy.use_time
        return compute_delay(self._policy, item, self._get_until_lost(item), in_use)

    def take_result(self, database: str, result: StatusResult, sent_at: float) -> None:
        """Take in the result of a request to a database."""
        self._awake.record_tick()
        if isinstance(result, Success):
            self.observe_status(result.unwrap(), sent_at)
            if self._pace.turns_to_all(self._seconds()):
                self._watches.wake_replicas(self.view)
            return
        if result.failure().is_answered:
            self._decider.observe_answer(database, self._seconds())
            return
        if self.has_answered_since(database, sent_at):
            # It works and only has no slot for this: to break its connections would
            # make it open them all again, each for 12 to 30 ms of a slot.
            return
        self._decider.observe_failure(database, self._seconds())
        self._report_view()

    def observe_status(self, status: DatabaseStatus, sent_at: float) -> None:
        """Take in a status, and answer all who waited for what it shows."""
        if self._decider.observe_status(status, sent_at, self._seconds()):
            self._commits.reset_database(status.name)
            self._note_restart(status.name)
        if status.name == self.view.primary:
            self._pace.note_primary_status(sent_at)
        if not self._decider.is_recovering(status.name):
            self._note_receipts(status)
        self._waiters.answer_applied(self.view)
        self._answer_samples()
        self._report_view()

    def _note_receipts(self, status: DatabaseStatus) -> None:
        """Take in what a database has received, and answer whose commit that is."""
        if self._commits.observe_status(status):
            self._pace.note_receipt(self._seconds())

    def _note_restart(self, database: str) -> None:
        """Note that a database has started again, and learn what it may have lost.

        Whoever may have to act for the group asks the primary while it lives.
        """
        log.warning(
            "groups: %s of %s has started again; it counts once it has caught up.",
            database,
            self.view.group,
        )
        if self._failover.is_candidate and self.view.primary:
            self.wake(self.view.primary)

    def report_failover(self, report: FailoverReport) -> None:
        """Tell the subscribers of a change of primary that this node made."""
        self._watches.wake_all()
        for callback in tuple(self._failover_subscribers):
            callback(report)

    def _is_awaited(self, item: DatabaseView) -> bool:
        """Return whether somebody waits for the progress of a replica."""
        if item.role == PRIMARY or not item.reachable:
            return False
        if self._waiters.get_tokens(item.name):
            return True
        if self._commits.get_wait_offset(item.name) is None:
            return False
        return self._pace.asks_all or item.name == get_witness(self.view)

    def _end_confirming(self, result: object) -> object:
        """Note that a commit is waited for no longer."""
        if self._commits.pending <= 1:
            self._pace.end_confirming()
        return result

    def _take_pause(self, pause: Pause) -> None:
        """Count no pause of the whole process as a silence of the primary.

        After such a pause the answers of replicas may be read before that of the
        primary, which would then be replaced without need. Of pauses one soon after
        the other the first alone forgives what was before, or they would hide the
        loss of a primary for good.
        """
        if pause.ran_for >= FORGIVING_TIME:
            self._decider.observe_primary_heard(pause.resumed_at)
        else:
            self._decider.observe_pause(pause.length)

    def _get_until_lost(self, item: DatabaseView) -> float:
        """Return after how much more silence a replica will have lost its primary."""
        return self._detector.get_timeout(item.name) - item.heard_age

    def _answer_samples(self) -> None:
        """Answer those who wait for a sample, or for the proof of a term."""
        self._waiters.answer_samples(self._decider.get_confirmed_sample)
        self._confirmations.answer(self._decider.confirmed_at)

    def _report_view(self) -> None:
        """Let failover look at the view, and tell the subscribers of changes."""
        if not self._running:
            return
        stalled_since = self._pace.stalled_since
        self._failover.observe_view(self.view._replace(stalled_since=stalled_since))
        before, self._reported = self._reported, self.view
        if get_outline(before) == get_outline(self.view):
            return
        if self._policy.is_poll_only:
            # They may rest for long: what has changed may concern them too.
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

    def _note_use(self) -> None:
        """Keep the ages exact while requests come; wake an idle watch once."""
        now = self._seconds()
        was_idle = now >= self._used_at + self._policy.use_time
        self._used_at = now
        if was_idle and not self._policy.is_poll_only:
            self._watches.wake_all()


def get_draining(group_settings: GroupSettings) -> frozenset[str]:
    """Return the names of the databases that are to get no new work."""
    return frozenset(item.name for item in group_settings.databases if item.draining)
