"""A confirmed commit survives databases that restart empty, one at a time.

Three databases as in the line protocol and two instances, each with its own view of the
group and its own confirmed commits. Hypothesis orders replication, answers, elections,
outages and empty restarts; the store reports each restart at once. A database restarts
empty only after the previous one has caught up: entries that two lose at the same time
may be nowhere else.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from beryltrack.failover.decider import choose_primary
from beryltrack.groups.decider import GroupDecider
from beryltrack.groups.messages import (
    PRIMARY,
    REPLICA,
    DatabaseStatus,
    GrantReply,
    LeadershipProof,
    LogPosition,
)
from beryltrack.groups.view import (
    compute_election_quorum,
    get_known_primary_term,
    get_recovering,
)
from beryltrack.transactions.decider import CommitDecider, CommitOutcome

SIZE = 3
place = st.integers(min_value=0, max_value=SIZE - 1)
number = st.integers(min_value=0, max_value=1)


class Database:
    """One database; `starts` counts its starts."""

    def __init__(self, place):
        self.place = place
        self.starts = 0
        self.is_up = True
        self.clear()

    def clear(self):
        self.role, self.term, self.held, self.log = REPLICA, 0, 0, []
        self.starts += 1

    @property
    def name(self):
        return f"d{self.place}@{self.starts}"

    @property
    def received(self):
        return self.log[-1] if self.log else LogPosition(0, 0)

    def get_status(self):
        is_held = self.held > self.term
        return DatabaseStatus(
            self.name,
            self.role,
            max(self.term, self.held),
            self.received,
            self.received,
            (),
            None,
            False,
            is_held,
            True,
        )


class Node:
    """One instance: its view of the group and its pending commits."""

    def __init__(self, names):
        self.group = GroupDecider("main", names, proof=LeadershipProof.SELF_REPORT)
        self.commits = CommitDecider(SIZE)

    def observe_status(self, status, sent_at, now):
        if self.group.observe_status(status, sent_at, now):
            self.commits.reset_database(status.name)
        if not self.group.is_recovering(status.name):
            self.commits.observe_status(status)

    def set_databases(self, names, now):
        self.group.set_databases(names, now)
        self.commits.set_databases(names)


class RestartMachine(RuleBasedStateMachine):
    """A group, two instances, and the acknowledged commits."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.databases = [Database(place) for place in range(SIZE)]
        for each in self.databases:
            each.term = 1
        self.databases[0].role = PRIMARY
        self.term = 1
        self.nodes = [Node(self.names) for _ in range(2)]
        self.answers_in_flight = []
        self.acknowledged = set()
        self.last_cleared = None
        # Most losses need a working group, which random steps alone seldom reach.
        for place in (0, 1, 2):
            for number in (0, 1):
                self.ask(number, place)

    @property
    def names(self):
        return tuple(each.name for each in self.databases)

    @property
    def primary(self):
        return next((each for each in self.databases if each.role == PRIMARY), None)

    def tick(self):
        self.now += 1.0
        return self.now

    @rule()
    def write(self):
        primary = self.primary
        if primary is not None and primary.is_up:
            offset = primary.received.offset + 1
            primary.log.append(LogPosition(primary.term, offset))

    @rule(place=place, max_entries=st.integers(min_value=0, max_value=3))
    def replicate(self, place, max_entries):
        primary, replica = self.primary, self.databases[place]
        if primary is None or replica is primary or replica.held:
            return
        if primary.is_up and replica.is_up:
            replica.term = primary.term
            replica.log = primary.log[: len(replica.log) + max_entries]

    @rule(number=number, place=place)
    def ask(self, number, place):
        sent_at, database = self.tick(), self.databases[place]
        if database.is_up:
            self.nodes[number].observe_status(
                database.get_status(), sent_at, self.tick()
            )

    @rule(number=number, place=place)
    def ask_with_late_answer(self, number, place):
        if self.databases[place].is_up:
            status = self.databases[place].get_status()
            self.answers_in_flight.append((number, status, self.tick()))

    @precondition(lambda self: self.answers_in_flight)
    @rule(data=st.data())
    def deliver_late_answer(self, data):
        index = data.draw(
            st.integers(min_value=0, max_value=len(self.answers_in_flight) - 1)
        )
        number, status, sent_at = self.answers_in_flight.pop(index)
        self.nodes[number].observe_status(status, sent_at, self.tick())

    @rule(number=number, place=place)
    def write_and_confirm(self, number, place):
        """A caller commits, one replica receives it and reports to an instance."""
        self.write()
        self.replicate(place, 3)
        self.ask(number, place)
        self.confirm(number)

    @rule(number=number)
    def confirm(self, number):
        """Acknowledge the last commit at the primary if it is confirmed."""
        primary = self.primary
        if primary is None or not primary.log or primary.log[-1].term != primary.term:
            return
        commits = self.nodes[number].commits
        decision = commits.add(0, primary.log[-1])
        if decision is None:
            commits.remove(0)
        elif decision.outcome is CommitOutcome.CONFIRMED:
            self.acknowledged.add(primary.log[-1])

    @rule(number=number, first=place, second=place, all_answer=st.booleans())
    def elect(self, number, first, second, all_answer):
        """Let an instance hold replicas for the next term and have one promoted."""
        node = self.nodes[number]
        view = node.group.view
        term = max(get_known_primary_term(item) for item in view.databases) + 1
        places = range(SIZE) if all_answer else sorted({first, second})
        replies, sent_at = [], self.tick()
        for database in (self.databases[place] for place in places):
            if not database.is_up:
                continue
            if database.role == REPLICA and term > database.term:
                database.held = term
            status = database.get_status()
            granted = status.is_held and status.term >= term
            replies.append(GrantReply(granted, status))
        for reply in replies:
            node.observe_status(reply.status, sent_at, self.tick())
        chosen = choose_primary(
            replies,
            SIZE,
            "",
            frozenset(),
            compute_election_quorum(SIZE),
            "",
            get_recovering(node.group.view),
        )
        if chosen is not None:
            self.promote(chosen)
        for database in self.databases:
            database.held = 0

    def promote(self, name):
        chosen = next(each for each in self.databases if each.name == name)
        kept = set(chosen.log)
        assert self.acknowledged <= kept, f"{name} lacks {self.acknowledged - kept}"
        self.term += 1
        for each in self.databases:
            each.role = REPLICA
            each.log = [entry for entry in each.log if entry in kept]
        chosen.role, chosen.term, chosen.held = PRIMARY, self.term, 0

    @rule(place=place)
    def toggle_outage(self, place):
        self.databases[place].is_up = not self.databases[place].is_up

    @rule(place=place)
    def restart_empty(self, place):
        if self.last_cleared is not None:
            database, needed = self.last_cleared
            if database.received < needed:
                return
        database = self.databases[place]
        longest = max(each.received for each in self.databases)
        database.clear()
        database.is_up = True
        self.last_cleared = (database, longest)
        for node in self.nodes:
            node.set_databases(self.names, self.tick())


RestartMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestarts = RestartMachine.TestCase
