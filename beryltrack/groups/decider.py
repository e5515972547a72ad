"""The state of a group as one instance knows it from the answers of its databases.

The decider holds the last status of each database, the samples of the primary's
position, and the time up to which the primary's term is confirmed. It reads no clock:
the instance's time is passed as an argument.

A database that restarts empty becomes a member of which nothing is known. It counts in
no majority until it has received what it may have held before; see `DatabaseView`.
"""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from beryltrack.groups.lagging import is_presumed_behind, record_applied, record_refusal
from beryltrack.groups.messages import (
    PRIMARY,
    DatabaseStatus,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.restarts import ReceivedStatus, has_regressed
from beryltrack.groups.samples import Sample, SampleLog
from beryltrack.groups.view import (
    NEVER,
    DatabaseView,
    GroupView,
    compute_age,
    compute_majority,
    get_database,
    has_applied,
)
from beryltrack.settings.incarnations import find_restarted, get_identifier

DEPARTURE_RETENTION = 600.0
"""Seconds for which the departure of a database that is no member any more is known."""


class _Departure(NamedTuple):
    """Since when a database leaves at the earliest, and when that was first known."""

    since: float
    known_at: float


class GroupDecider:
    """State machine for what one instance knows of one group.

    Parameters
    ----------
    group : str
        The group's name.
    databases : tuple of str
        Names of all members, in the order of the settings.
    draining : frozenset of str
        Names of the members that an operator drains.
    proof : LeadershipProof
        Evidence that proves the term of a primary.
    drain_limit : float
        Seconds for which a leaving primary gets new work; infinite for no limit.
    leaving_since : mapping of str to float
        For draining members, the earliest time at which they can have reported it.
    now : float
        The current time.
    """

    def __init__(
        self,
        group: str,
        databases: tuple[str, ...],
        draining: frozenset[str] = frozenset(),
        proof: LeadershipProof = LeadershipProof.MAJORITY,
        drain_limit: float = math.inf,
        leaving_since: Mapping[str, float] = MappingProxyType({}),
        now: float = 0.0,
    ):
        self._drain_limit = drain_limit
        self._leaving_since = leaving_since
        self._departures: dict[str, _Departure] = {}
        self._proof = proof
        self._leaders: dict[int, str] = {}
        self._last_statuses: dict[str, ReceivedStatus] = {}
        self._group = group
        self._draining = draining
        self._samples = SampleLog()
        self._databases = {name: self._make_database(name, now) for name in databases}
        self._confirmed_at = NEVER
        self._unanswered_since: float | None = None
        self._heard_at = NEVER
        self._reports_heard_age = True
        self._hint = GroupView(group)
        self._view: GroupView | None = None

    @property
    def view(self) -> GroupView:
        """The current view of the group."""
        if self._view is None:
            self._view = self._make_view()
        return self._view

    @property
    def draining(self) -> frozenset[str]:
        """Names of the members that an operator drains."""
        return self._draining

    @property
    def heard_at(self) -> float:
        """Time at which this instance last heard from the primary, by its own clock."""
        return self._heard_at

    @property
    def newest_sample(self) -> Sample | None:
        """The newest confirmed sample of the primary's position."""
        return self._samples.newest

    @property
    def confirmed_at(self) -> float:
        """No higher term had a primary before this time of the instance's clock."""
        return self._confirmed_at

    @property
    def witness_count(self) -> int:
        """Number of databases besides the primary that have to confirm its term."""
        return self.majority - 1

    @property
    def majority(self) -> int:
        """Number of databases that form a majority."""
        return compute_majority(len(self._databases))

    @property
    def _last_led_term(self) -> int:
        """The highest term that is known to have had a primary.

        That primary may have restarted without its log and its role. A log with an
        entry of its term shows it to an instance that has started since.
        """
        logged = (item.received.term for item in self._databases.values())
        return max((*self._leaders, *logged), default=0)

    def is_recovering(self, database: str) -> bool:
        """Return whether a database has yet to receive again what it may have lost."""
        item = self._databases.get(database)
        return item is not None and item.recovering_since is not None

    def observe_status(
        self, status: DatabaseStatus, sent_at: float, now: float
    ) -> bool:
        """Record a status that a database reported.

        Parameters
        ----------
        status : DatabaseStatus
            The answer.
        sent_at : float
            Send time of the request, by the instance's clock.
        now : float
            Arrival time of the answer.

        Returns
        -------
        bool
            True if the status shows that the database has restarted empty.
        """
        before = self._databases.get(status.name)
        if before is None or sent_at < before.seen_at:
            return False
        has_restarted = has_regressed(
            self._last_statuses.get(status.name), status, sent_at
        )
        if has_restarted:
            before = self._restart(status.name, now)
        elif status.term < before.term and not before.is_held:
            return False
        self._last_statuses[status.name] = ReceivedStatus(status, now)
        leaving = status.leaving or status.name in self._draining
        before = self._set_leaving(before, leaving, now)
        self._databases[status.name] = before._replace(
            role=status.role,
            term=status.term,
            received=status.received,
            applied=status.applied,
            history=status.history,
            reachable=True,
            reports_leaving=status.leaving,
            seen_at=sent_at,
            heard_age=self._get_heard_age(status, sent_at),
            is_held=status.is_held,
            is_role_fenced=status.is_role_fenced,
            lag=record_applied(before.lag, status.applied),
        )
        if status.role == PRIMARY:
            self._leaders[status.term] = status.name
            self.observe_sample(status.name, status.received, sent_at, now)
        if status.role == PRIMARY and self._proof is LeadershipProof.SELF_REPORT:
            self._confirm_until(status.term, sent_at)
        self._confirm_term(status.term)
        self._update_fresh_at(status.name)
        self._view = None
        # A database that leads while most others are held for a later term does not
        # count as primary: the instance that holds them may have failed, and then the
        # group needs another primary.
        if status.role == PRIMARY and status.name == self.view.primary:
            self.observe_primary_heard(now)
        self._end_recoveries()
        return has_restarted

    def observe_sample(
        self, database: str, position: LogPosition, sent_at: float, now: float
    ) -> None:
        """Record a position that the primary reported in answer to a request.

        Parameters
        ----------
        database : str
            The database that answered. The position is ignored unless this is the
            primary of the position's term.
        position : LogPosition
            A position of its log at some time after `sent_at`.
        sent_at : float
            Send time of the request, by the instance's clock.
        now : float
            The current time.
        """
        item = self._databases.get(database)
        if item is None or item.role != PRIMARY or item.term != position.term:
            return
        self._samples.add(Sample(position, sent_at))

    def observe_position(
        self, database: str, position: LogPosition, now: float
    ) -> None:
        """Record an applied position that came with the answer to a statement.

        Parameters
        ----------
        database : str
            The database that answered.
        position : LogPosition
            A position that its readers saw at least.
        now : float
            The current time.
        """
        if database == self.view.primary:
            self.observe_primary_heard(now)
        item = self._databases.get(database)
        if item is None or position.term != item.applied.term:
            # A new term has to come with a status, which has the history that the
            # comparison of positions needs.
            return
        if position.offset <= item.applied.offset:
            return
        received = max(item.received, position)
        self._databases[database] = item._replace(
            applied=position, received=received, lag=record_applied(item.lag, position)
        )
        self._update_fresh_at(database)
        self._view = None

    def observe_failure(self, database: str, now: float) -> None:
        """Record that a database did not answer."""
        item = self._databases.get(database)
        if item is not None and item.reachable:
            self._databases[database] = item._replace(reachable=False)
            self._view = None

    def observe_answer(self, database: str, now: float) -> None:
        """Record that a database works, although it returned no status."""
        if database == self.view.primary:
            self.observe_primary_heard(now)

    def observe_leadership(
        self, database: str, position: LogPosition, sent_at: float, now: float
    ) -> None:
        """Record that a database reported to be primary as it answered a statement.

        Parameters
        ----------
        database : str
            The database.
        position : LogPosition
            The position that its readers saw then.
        sent_at : float
            Send time of the statement, by the instance's clock.
        now : float
            The current time.
        """
        item = self._databases.get(database)
        if item is None or item.role != PRIMARY or item.term != position.term:
            return
        self._databases[database] = item._replace(
            received=max(item.received, position),
            applied=max(item.applied, position),
            seen_at=max(item.seen_at, sent_at),
            reachable=True,
        )
        self.observe_primary_heard(now)
        self._samples.add(Sample(position, sent_at))
        if self._proof is LeadershipProof.SELF_REPORT:
            self._confirm_until(position.term, sent_at)
        self._view = None
        self._end_recoveries()

    def observe_read_position(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Record the position that the primary showed in answer to a read.

        The primary of a term shows all that was acknowledged in it. Where witnesses
        confirm the term later, the position is a sample that needs no extra request.
        """
        if self._proof is LeadershipProof.WITNESSES:
            self.observe_sample(database, position, sent_at, sent_at)

    def observe_proof(self, proof: Sample, now: float) -> None:
        """Record a proven position of the primary from another instance."""
        self.observe_leadership(self.view.primary, proof.position, proof.sent_at, now)
        if self._leaders.get(proof.position.term) == self.view.primary:
            self._confirm_until(proof.position.term, proof.sent_at)
        self._end_recoveries()

    def observe_lagging(self, database: str, position: LogPosition, now: float) -> None:
        """Record that a replica refused a read, as it had not applied a position."""
        item = self._databases.get(database)
        if item is not None:
            lag = record_refusal(item.lag, position, now)
            self._databases[database] = item._replace(lag=lag)
            self._view = None

    def is_presumed_behind(
        self, database: str, position: LogPosition, now: float, min_pause: float
    ) -> bool:
        """Return whether a replica refused a position too recently to be retried."""
        item = self._databases.get(database)
        if item is None or has_applied(item, position):
            return False
        return is_presumed_behind(item.lag, position, now, min_pause)

    def get_needed_position(self, since: float) -> LogPosition | None:
        """Return a position that covers all that was acknowledged before `since`.

        None if no confirmed sample proves one.
        """
        return self._samples.get_position_since(since)

    def observe_primary_asked(self, since: float) -> None:
        """Record that the primary has not answered a request sent at `since`.

        Its silence begins no earlier than its last answer: one of several requests
        may stay unanswered while others are answered.
        """
        if self._unanswered_since is None:
            self._unanswered_since = max(since, self._heard_at)

    def observe_pause(self, length: float) -> None:
        """Exclude a pause of this process from the measured silence of the primary.

        Parameters
        ----------
        length : float
            Length of the pause, in seconds.
        """
        if self._unanswered_since is not None:
            self._unanswered_since += length

    def observe_primary_heard(self, now: float) -> None:
        """Record an answer of the primary, and end its measured silence.

        Also called after a pause of the whole process, in which answers of the
        primary may have been missed.
        """
        self._heard_at = now
        if self._unanswered_since is None or self._reports_heard_age:
            self._unanswered_since = None
            return
        self._unanswered_since = None
        # Replicas were assumed to have not heard from the primary for as long as this
        # instance has not; that silence is over.
        self._databases = {
            name: item._replace(heard_age=0.0) for name, item in self._databases.items()
        }
        self._view = None

    def set_databases(self, databases: tuple[str, ...], now: float) -> frozenset[str]:
        """Replace the members by those of new settings; common ones keep their state.

        Parameters
        ----------
        databases : tuple of str
            Names of all members, in the order of the settings.
        now : float
            The current time.

        Returns
        -------
        frozenset of str
            Members that are later incarnations of former ones.
        """
        restarted = find_restarted(self._databases, databases)
        self._databases = {
            name: self._databases.get(name) or self._make_database(name, now)
            for name in databases
        }
        self._forget_departures(now)
        self._last_statuses = {
            name: last
            for name, last in self._last_statuses.items()
            if name in databases
        }
        for name in restarted:
            self._restart(name, now)
        self._view = None
        return restarted

    def _restart(self, name: str, now: float) -> DatabaseView:
        """Reset the state of a database that has restarted empty."""
        item = self._make_database(name, now)._replace(recovering_since=now)
        self._databases[name] = item
        self._last_statuses.pop(name, None)
        self._view = None
        return item

    def _end_recoveries(self) -> None:
        """End the recovery of databases that have received what they may have lost."""
        for name, item in tuple(self._databases.items()):
            if item.recovering_since is None:
                continue
            needed = item.recovery_position or self._samples.get_position_since(
                item.recovering_since
            )
            if needed is None:
                continue
            is_caught_up = item.received >= needed
            self._databases[name] = (
                item._replace(recovering_since=None, recovery_position=None)
                if is_caught_up
                else item._replace(recovery_position=needed)
            )
            self._view = None

    def set_draining(
        self,
        draining: frozenset[str],
        now: float,
        leaving_since: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Set which members an operator drains.

        Parameters
        ----------
        draining : frozenset of str
            Their names.
        now : float
            The current time.
        leaving_since : mapping of str to float
            The earliest time at which they can have reported it; `now` for members
            that are not listed.
        """
        self._draining = draining
        self._leaving_since = leaving_since
        self._databases = {
            name: self._set_leaving(item, item.reports_leaving or name in draining, now)
            for name, item in self._databases.items()
        }
        self._view = None

    def _make_database(self, name: str, now: float) -> DatabaseView:
        """Return the view of a member of which nothing is known but its settings."""
        item = DatabaseView(name)
        if name not in self._draining:
            return item
        # Its report may be of any age, unless the settings date it.
        return self._start_leaving(item, NEVER, now)

    def _set_leaving(
        self, item: DatabaseView, leaving: bool, now: float
    ) -> DatabaseView:
        """Return a member that leaves, or no longer does, from now on."""
        if leaving:
            return item if item.leaving else self._start_leaving(item, now, now)
        self._departures.pop(get_identifier(item.name), None)
        return item._replace(leaving=False, works_until=math.inf)

    def _start_leaving(
        self, item: DatabaseView, default_since: float, now: float
    ) -> DatabaseView:
        """Return a member that leaves, with the end of its time as the primary.

        A member that was dropped or has restarted since its report gets no more time
        than before.
        """
        identifier = get_identifier(item.name)
        before = self._departures.get(identifier)
        since = self._leaving_since.get(
            item.name, default_since if before is None else before.since
        )
        if before is None:
            self._departures[identifier] = _Departure(since, now)
        else:
            since = min(since, before.since)
        is_limited = self._drain_limit < math.inf
        works_until = since + self._drain_limit if is_limited else math.inf
        return item._replace(leaving=True, works_until=works_until)

    def _forget_departures(self, now: float) -> None:
        """Forget the departures of databases that were dropped long ago."""
        members = set(map(get_identifier, self._databases))
        self._departures = {
            identifier: departure
            for identifier, departure in self._departures.items()
            if identifier in members or now < departure.known_at + DEPARTURE_RETENTION
        }

    def learn_view(self, view: GroupView) -> None:
        """Use another instance's view as a hint of the primary, not as a proof.

        Parameters
        ----------
        view : GroupView
            A view of the same group. Its positions and times are not used, since
            the times are those of the other instance's clock.
        """
        if view.term > self._hint.term and view.primary in self._databases:
            self._hint = view
            self._view = None

    def get_age(self, database: str, now: float) -> float:
        """Return a proven upper bound of the staleness of reads at a database.

        Parameters
        ----------
        database : str
            The database's name.
        now : float
            The current time of the instance's clock.

        Returns
        -------
        float
            Seconds; infinite if nothing is proven.
        """
        item = self._databases.get(database)
        return math.inf if item is None else compute_age(item, now)

    def get_confirmed_sample(self, since: float) -> LogPosition | None:
        """Return the newest confirmed position; None if requested before `since`."""
        newest = self._samples.newest
        if newest is None or newest.sent_at < since:
            return None
        return newest.position

    def _get_heard_age(self, status: DatabaseStatus, sent_at: float) -> float:
        """Return the seconds since a database last heard from its primary.

        Where databases do not report it, this instance's own silence is used.
        """
        self._reports_heard_age = status.heard_age is not None
        if self._reports_heard_age:
            return status.heard_age
        if self._unanswered_since is None:
            return 0.0
        return max(0.0, sent_at - self._unanswered_since)

    def _confirm_term(self, term: int) -> None:
        """Confirm the samples of a term that enough databases have now proven."""
        needed, excluded = self.majority, ""
        if self._proof is LeadershipProof.WITNESSES and self.witness_count:
            needed, excluded = self.witness_count, self._leaders.get(term)
            if excluded is None or term < self._last_led_term:
                # Any database in the term may be its primary, or the term is over.
                return
        times = sorted(
            (
                item.seen_at
                for item in self._databases.values()
                if item.term == term
                and item.name != excluded
                # A recovering database may have lost its promise of a later term.
                and item.recovering_since is None
            ),
            reverse=True,
        )
        if len(times) >= needed:
            self._confirm_until(term, times[needed - 1])

    def _confirm_until(self, term: int, confirmed_until: float) -> None:
        """Confirm the samples of a term that were sent up to a time."""
        if confirmed_until > self._confirmed_at:
            self._confirmed_at = confirmed_until
            self._view = None
        if self._samples.confirm(term, confirmed_until):
            for name in self._databases:
                self._update_fresh_at(name)

    def _update_fresh_at(self, name: str) -> None:
        """Recompute the time up to which a database is proven to be fresh."""
        item = self._databases[name]
        found = self._samples.get_fresh_at(item.history, item.applied)
        if found > item.fresh_at:
            self._databases[name] = item._replace(fresh_at=found)

    def _make_view(self) -> GroupView:
        databases = tuple(self._databases.values())
        leaders = [item for item in databases if item.role == PRIMARY]
        term = max((item.term for item in leaders), default=0)
        later = sum(item.term > term for item in databases)
        primary = next((item.name for item in leaders if item.term == term), "")
        if later >= self.majority or self._leads_superseded_term(primary):
            primary = ""
        if self._proof is LeadershipProof.WITNESSES and term < self._last_led_term:
            # A replaced primary continues to lead its own term.
            term, primary = self._last_led_term, ""
        is_newer = self._hint.term > max(item.term for item in databases)
        if is_newer and self._hint.primary in self._databases:
            term, primary = self._hint.term, self._hint.primary
        view = GroupView(self._group, term, primary, databases=databases)
        leader = get_database(view, primary) if primary else None
        head = leader.received if leader else view.head
        last_primary = self._leaders[max(self._leaders)] if self._leaders else primary
        return view._replace(
            head=head, confirmed_at=self._confirmed_at, last_primary=last_primary
        )

    def _leads_superseded_term(self, name: str) -> bool:
        """Return whether a database that lost its log leads an earlier term."""
        item = self._databases.get(name)
        if item is None or item.recovering_since is None:
            return False
        return item.term < max(self._leaders)
