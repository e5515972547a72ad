"""What a node concludes about a group from the answers of its databases.

The decider holds the last status of each database, the samples of the
primary's position, and the times until which a majority has confirmed a term.
It reads no clock: the node's time comes in as an argument.

A database that starts again empty is a member with nothing known of it, which counts in
no majority until it has received what it may have held before; see `DatabaseView`.
"""

import math

from beryltrack.groups.lagging import is_presumed_behind, note_refusal, note_shown
from beryltrack.groups.messages import (
    PRIMARY,
    DatabaseStatus,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.restarts import Told, has_fallen_back
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
from beryltrack.settings.incarnations import find_restarted


class GroupDecider:
    """The state of one group as far as one node knows it.

    Parameters
    ----------
    group : str
        The group's name.
    databases : tuple of str
        Names of all members, in the order of the settings.
    draining : frozenset of str
        Names of the members that an operator drains.
    proof : LeadershipProof
        What proves the term of a primary.
    """

    def __init__(
        self,
        group: str,
        databases: tuple[str, ...],
        draining: frozenset[str] = frozenset(),
        proof: LeadershipProof = LeadershipProof.MAJORITY,
    ):
        self._proof = proof
        self._leaders: dict[int, str] = {}
        self._told: dict[str, Told] = {}
        self._group = group
        self._draining = draining
        self._samples = SampleLog()
        self._databases = {
            name: DatabaseView(name, leaving=name in draining) for name in databases
        }
        self._confirmed_at = NEVER
        self._asked_at: float | None = None
        self._heard_at = NEVER
        self._tells_hearing = True
        self._hint = GroupView(group)
        self._view: GroupView | None = None

    @property
    def view(self) -> GroupView:
        """The group as it is known now."""
        if self._view is None:
            self._view = self._make_view()
        return self._view

    @property
    def draining(self) -> frozenset[str]:
        """Names of the members that an operator drains."""
        return self._draining

    @property
    def heard_at(self) -> float:
        """When this node last heard from the primary, by its own clock."""
        return self._heard_at

    @property
    def newest_sample(self) -> Sample | None:
        """The newest position of the primary that is proven."""
        return self._samples.newest

    @property
    def confirmed_at(self) -> float:
        """No higher term had a primary before this time of the node's clock."""
        return self._confirmed_at

    @property
    def witness_count(self) -> int:
        """How many databases beside the primary have to confirm its term."""
        return self.majority - 1

    @property
    def majority(self) -> int:
        """How many databases are a majority."""
        return compute_majority(len(self._databases))

    def is_recovering(self, database: str) -> bool:
        """Return whether a database has yet to receive what it may have lost."""
        item = self._databases.get(database)
        return item is not None and item.recovering_since is not None

    def observe_status(
        self, status: DatabaseStatus, sent_at: float, now: float
    ) -> bool:
        """Take in what a database said of itself.

        Parameters
        ----------
        status : DatabaseStatus
            The answer.
        sent_at : float
            When the request was sent, by the node's clock.
        now : float
            When the answer came.

        Returns
        -------
        bool
            True if the status shows that the database has started again empty.
        """
        before = self._databases.get(status.name)
        if before is None or sent_at < before.seen_at:
            return False
        has_restarted = has_fallen_back(self._told.get(status.name), status, sent_at)
        if has_restarted:
            before = self._restart(status.name, now)
        elif status.term < before.term and not before.is_held:
            return False
        self._told[status.name] = Told(status, now)
        self._databases[status.name] = before._replace(
            role=status.role,
            term=status.term,
            received=status.received,
            applied=status.applied,
            history=status.history,
            reachable=True,
            leaving=status.leaving or status.name in self._draining,
            said_leaving=status.leaving,
            seen_at=sent_at,
            heard_age=self._get_heard_age(status, sent_at),
            is_held=status.is_held,
            is_role_fenced=status.is_role_fenced,
            lag=note_shown(before.lag, status.applied),
        )
        if status.role == PRIMARY:
            self._leaders[status.term] = status.name
            self.observe_sample(status.name, status.received, sent_at, now)
        if status.role == PRIMARY and self._proof is LeadershipProof.SELF_REPORT:
            self._confirm_until(status.term, sent_at)
        self._confirm_term(status.term)
        self._update_fresh(status.name)
        self._view = None
        # One that leads while most others are held for a later term is no primary:
        # whoever holds them may be gone, and then the group needs another one.
        if status.role == PRIMARY and status.name == self.view.primary:
            self.observe_primary_heard(now)
        self._end_recoveries()
        return has_restarted

    def observe_sample(
        self, database: str, position: LogPosition, sent_at: float, now: float
    ) -> None:
        """Take in a position that the primary gave in answer to a request.

        Parameters
        ----------
        database : str
            The database that answered. Others than the primary of the
            position's term are left out.
        position : LogPosition
            A position of its log at some time after `sent_at`.
        sent_at : float
            When the request was sent, by the node's clock.
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
        """Take in an applied position that came with an answer to a statement.

        Parameters
        ----------
        database : str
            The database that answered.
        position : LogPosition
            What its readers saw at least.
        now : float
            The current time.
        """
        if database == self.view.primary:
            self.observe_primary_heard(now)
        item = self._databases.get(database)
        if item is None or position.term != item.applied.term:
            # A term that is new here comes with the next status, which has the
            # history that the comparison needs.
            return
        if position.offset <= item.applied.offset:
            return
        received = max(item.received, position)
        self._databases[database] = item._replace(
            applied=position, received=received, lag=note_shown(item.lag, position)
        )
        self._update_fresh(database)
        self._view = None

    def observe_failure(self, database: str, now: float) -> None:
        """Take in that a database did not answer."""
        item = self._databases.get(database)
        if item is not None and item.reachable:
            self._databases[database] = item._replace(reachable=False)
            self._view = None

    def observe_answer(self, database: str, now: float) -> None:
        """Take in that a database is at work, although it gave no status."""
        if database == self.view.primary:
            self.observe_primary_heard(now)

    def observe_leadership(
        self, database: str, position: LogPosition, sent_at: float, now: float
    ) -> None:
        """Take in that a database led, by its own word, when it answered a statement.

        Parameters
        ----------
        database : str
            The database.
        position : LogPosition
            What its readers saw then.
        sent_at : float
            When the statement was sent, by the node's clock.
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

    def observe_shown(
        self, database: str, position: LogPosition, sent_at: float
    ) -> None:
        """Take in what the primary showed in answer to a read.

        Whoever led a term shows all that was acknowledged in it. Where others
        confirm the term later on, that is a sample without a question of its own.
        """
        if self._proof is LeadershipProof.WITNESSES:
            self.observe_sample(database, position, sent_at, sent_at)

    def observe_proof(self, proof: Sample, now: float) -> None:
        """Take in a proven position of the primary from another instance."""
        self.observe_leadership(self.view.primary, proof.position, proof.sent_at, now)
        if self._leaders.get(proof.position.term) == self.view.primary:
            self._confirm_until(proof.position.term, proof.sent_at)
        self._end_recoveries()

    def observe_lagging(self, database: str, position: LogPosition, now: float) -> None:
        """Take in that a replica did not show a position that it was asked for."""
        item = self._databases.get(database)
        if item is not None:
            lag = note_refusal(item.lag, position, now)
            self._databases[database] = item._replace(lag=lag)
            self._view = None

    def is_presumed_behind(
        self, database: str, position: LogPosition, now: float, min_pause: float
    ) -> bool:
        """Return whether a replica has refused a position too lately to be asked."""
        item = self._databases.get(database)
        if item is None or has_applied(item, position):
            return False
        return is_presumed_behind(item.lag, position, now, min_pause)

    def get_needed_position(self, since: float) -> LogPosition | None:
        """Return what shows all that was acknowledged before a time, if proven."""
        return self._samples.get_oldest(since)

    def observe_primary_asked(self, since: float) -> None:
        """Take in that the primary was asked something that it has not answered.

        Its silence begins only after it was last heard: of several questions one
        may stay without an answer while others are answered.
        """
        if self._asked_at is None:
            self._asked_at = max(since, self._heard_at)

    def observe_pause(self, length: float) -> None:
        """Take in that this process was paused: that was no silence of the primary.

        Parameters
        ----------
        length : float
            Seconds.
        """
        if self._asked_at is not None:
            self._asked_at += length

    def observe_primary_heard(self, now: float) -> None:
        """Take in that this node has heard from the primary, or may have missed it.

        Called also after a pause of the whole process, whose silence says
        nothing of the primary.
        """
        self._heard_at = now
        if self._asked_at is None or self._tells_hearing:
            self._asked_at = None
            return
        self._asked_at = None
        # The silence that replicas were taken to have heard is over.
        self._databases = {
            name: item._replace(heard_age=0.0) for name, item in self._databases.items()
        }
        self._view = None

    def set_databases(self, databases: tuple[str, ...], now: float) -> frozenset[str]:
        """Take the members from new settings; those that stay keep their state.

        Parameters
        ----------
        databases : tuple of str
            Names of all members, in the order of the settings.
        now : float
            The current time.

        Returns
        -------
        frozenset of str
            The members that are later incarnations of earlier ones.
        """
        restarted = find_restarted(self._databases, databases)
        self._databases = {
            name: self._databases.get(name)
            or DatabaseView(name, leaving=name in self._draining)
            for name in databases
        }
        self._told = {
            name: told for name, told in self._told.items() if name in databases
        }
        for name in restarted:
            self._restart(name, now)
        self._view = None
        return restarted

    def _restart(self, name: str, now: float) -> DatabaseView:
        """Forget what was known of a database that has started again empty."""
        item = DatabaseView(name, leaving=name in self._draining, recovering_since=now)
        self._databases[name] = item
        self._told.pop(name, None)
        self._view = None
        return item

    def _end_recoveries(self) -> None:
        """Let databases count again that have received what they may have lost."""
        for name, item in tuple(self._databases.items()):
            if item.recovering_since is None:
                continue
            needed = item.needed or self._samples.get_oldest(item.recovering_since)
            if needed is None:
                continue
            is_whole = item.received >= needed
            self._databases[name] = (
                item._replace(recovering_since=None, needed=None)
                if is_whole
                else item._replace(needed=needed)
            )
            self._view = None

    def set_draining(self, draining: frozenset[str]) -> None:
        """Take the members that an operator drains from new settings."""
        self._draining = draining
        self._databases = {
            name: item._replace(leaving=item.said_leaving or name in draining)
            for name, item in self._databases.items()
        }
        self._view = None

    def learn_view(self, view: GroupView) -> None:
        """Take in another node's view: a hint where the primary is, not a proof.

        Parameters
        ----------
        view : GroupView
            A view of the same group. Positions and times in it are not used:
            times are of the other node's clock.
        """
        if view.term > self._hint.term and view.primary in self._databases:
            self._hint = view
            self._view = None

    def get_age(self, database: str, now: float) -> float:
        """Return a proven bound of the age of what a database's readers see.

        Parameters
        ----------
        database : str
            The database's name.
        now : float
            The current time of the node's clock.

        Returns
        -------
        float
            Seconds; infinite if nothing is proven.
        """
        item = self._databases.get(database)
        return math.inf if item is None else compute_age(item, now)

    def get_confirmed_sample(self, since: float) -> LogPosition | None:
        """Return a position sampled at or after `since` in a confirmed term."""
        newest = self._samples.newest
        if newest is None or newest.sent_at < since:
            return None
        return newest.position

    def _get_heard_age(self, status: DatabaseStatus, sent_at: float) -> float:
        """Return for how long a database, or else this node, has not heard."""
        self._tells_hearing = status.heard_age is not None
        if self._tells_hearing:
            return status.heard_age
        if self._asked_at is None:
            return 0.0
        return max(0.0, sent_at - self._asked_at)

    def _confirm_term(self, term: int) -> None:
        """Mark the samples that enough databases have now confirmed."""
        needed, left_out = self.majority, ""
        if self._proof is LeadershipProof.WITNESSES and self.witness_count:
            needed, left_out = self.witness_count, self._leaders.get(term)
            if left_out is None or term < max(self._leaders):
                # Any of those in the term may be its primary, or it is over.
                return
        times = sorted(
            (
                item.seen_at
                for item in self._databases.values()
                if item.term == term
                and item.name != left_out
                # It may have forgotten that it promised a later term.
                and item.recovering_since is None
            ),
            reverse=True,
        )
        if len(times) >= needed:
            self._confirm_until(term, times[needed - 1])

    def _confirm_until(self, term: int, confirmed_until: float) -> None:
        """Mark the samples of a term that are proven up to a time."""
        if confirmed_until > self._confirmed_at:
            self._confirmed_at = confirmed_until
            self._view = None
        if self._samples.confirm(term, confirmed_until):
            for name in self._databases:
                self._update_fresh(name)

    def _update_fresh(self, name: str) -> None:
        """Set again until when a database is proven to be fresh."""
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
        if later >= self.majority or self._leads_in_vain(primary):
            primary = ""
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

    def _leads_in_vain(self, name: str) -> bool:
        """Return whether a database leads a term of before, as it has lost its log."""
        item = self._databases.get(name)
        if item is None or item.recovering_since is None:
            return False
        return item.term < max(self._leaders)
