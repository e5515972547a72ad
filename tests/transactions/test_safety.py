"""A confirmed commit is in every later primary's log, whichever components fail.

The databases are the logs of the stand-ins. Hypothesis orders grants, promotions,
replication and answers to status requests; answers reach the instances late and out of
order, candidates fail midway, and cut-off primaries keep accepting writes.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from beryltrack.failover.decider import choose_primary
from beryltrack.groups.messages import LogPosition
from beryltrack.transactions.decider import CommitDecider, CommitOutcome
from beryltrack_standins.database.replica_log import ReplicaLog

INSTANCES = 2
index = st.integers(min_value=0, max_value=4)
# Any non-empty subset of five databases, by a bit for each.
subsets = st.sampled_from(
    [frozenset(n for n in range(5) if mask >> n & 1) for mask in range(1, 32)]
)
instance_index = st.integers(min_value=0, max_value=INSTANCES - 1)


class Candidate(NamedTuple):
    """One attempt at a term, the replies to it and the database it chose."""

    name: str
    term: int
    replies: dict
    chosen: list


class Promotion(NamedTuple):
    """A primary's log when it was promoted."""

    term: int
    entries: tuple


class SafetyMachine(RuleBasedStateMachine):
    """A group of three or five databases and two instances that confirm commits."""

    @initialize(size=st.sampled_from((3, 5)))
    def start(self, size):
        self.logs = [ReplicaLog(f"d{number}") for number in range(size)]
        self.nodes = [CommitDecider(size) for _ in range(INSTANCES)]
        self.answers_in_flight = []
        self.candidates = []
        self.promotions = []
        self.commits = {}
        self.outcomes = {}
        self.election("elect", frozenset(range(size)))

    def get_logs(self, numbers):
        return [self.logs[number] for number in numbers if number < len(self.logs)]

    def get_leaders(self):
        return [log for log in self.logs if log.can_write()]

    @rule(leader=index, times=st.integers(1, 2))
    def write(self, leader, times):
        """Let one of the databases that consider themselves primary commit."""
        leaders = self.get_leaders()
        for _ in range(times if leaders else 0):
            key = len(self.commits)
            position = leaders[leader % len(leaders)].append((key,))
            self.commits[key] = position
            decisions = (node.add(key, position) for node in self.nodes)
            self.take(filter(None, decisions))

    @rule(leader=index, replicas=subsets, limit=st.sampled_from((1, 9)))
    def replicate(self, leader, replicas, limit):
        leaders = self.get_leaders()
        for replica in self.get_logs(replicas):
            source = leaders[leader % len(leaders)] if leaders else replica
            if source is not replica:
                replica.receive(source, 0.0, limit)

    @rule(leader=index, node=instance_index)
    def write_with_one_receipt(self, leader, node):
        """Let a commit reach at most one replica."""
        self.write_and_report(leader, frozenset((leader,)), node)

    @rule(databases=subsets)
    def ask(self, databases):
        """Let databases answer; the answers stay in flight."""
        self.answers_in_flight += [
            log.get_status(0.0) for log in self.get_logs(databases)
        ]

    @rule(choices=st.lists(st.integers(0, 9), min_size=1), node=instance_index)
    def deliver_answers(self, choices, node):
        """Deliver answers in any order, possibly old or repeated ones."""
        for choice in choices if self.answers_in_flight else ():
            status = self.answers_in_flight[-1 - choice % len(self.answers_in_flight)]
            self.take(self.nodes[node].observe_status(status))

    @rule(leader=index, databases=subsets, node=instance_index)
    def write_and_report(self, leader, databases, node):
        """Let a commit be replicated and reported by some databases."""
        self.write(leader, 1)
        self.replicate(leader, databases, 9)
        self.ask(databases)
        self.deliver_answers(list(range(len(databases))), node)

    @rule(left_out=index)
    def replace_leader(self, left_out):
        """Let all databases but one hold an election, as after a crash of that one."""
        self.election("elect", frozenset(range(5)) - {left_out})

    @rule(action=st.sampled_from(("elect", "begin", "continue")), databases=subsets)
    def election(self, action, databases):
        """Let a candidate collect grants; it may fail then, or continue later."""
        if action != "continue":
            term = max(log.term for log in self.logs) + 1
            name = f"c{len(self.candidates)}"
            self.candidates.append(Candidate(name, term, {}, []))
        number = len(databases) if action == "continue" else 1
        candidate = self.candidates[-min(number, len(self.candidates))]
        self.ask_grants(candidate, databases)
        if action != "begin":
            self.promote(candidate)

    def ask_grants(self, candidate, databases):
        for log in self.get_logs(databases):
            reply = log.grant(candidate.term, candidate.name, 0.0, 0.0)
            candidate.replies.setdefault(log.name, reply)

    def promote(self, candidate):
        if not candidate.chosen:
            replies = candidate.replies.values()
            unwanted = frozenset(("d0",))
            name = choose_primary(replies, len(self.logs), "", unwanted)
            candidate.chosen.extend(log for log in self.logs if log.name == name)
        for log in candidate.chosen:
            before = tuple(log.entries)
            led = log.can_write()
            if log.promote(candidate.term, candidate.name) and not led:
                self.promotions.append(Promotion(candidate.term, before))

    def take(self, decisions):
        for key, outcome, term in decisions:
            self.outcomes.setdefault(key, {}).setdefault(outcome, term)

    def holds(self, entries, key):
        position = self.commits[key]
        return len(entries) >= position.offset and entries[
            position.offset - 1
        ].statements == (key,)

    @invariant()
    def decisions_hold_in_all_later_terms(self):
        for key, found in self.outcomes.items():
            for outcome, term in found.items():
                kept = outcome is CommitOutcome.CONFIRMED
                assert all(
                    self.holds(promotion.entries, key) == kept
                    for promotion in self.promotions
                    if promotion.term > term
                )

    @invariant()
    def nodes_agree(self):
        assert all(len(found) == 1 for found in self.outcomes.values())

    @invariant()
    def no_two_confirmed_commits_stand_in_one_place(self):
        confirmed = [
            self.commits[key].offset
            for key, found in self.outcomes.items()
            if CommitOutcome.CONFIRMED in found
        ]
        assert len(confirmed) == len(set(confirmed))


TestSafety = SafetyMachine.TestCase
TestSafety.settings = settings(
    max_examples=70, stateful_step_count=50, derandomize=True, deadline=None
)


def test_the_machine_reaches_both_outcomes():
    """A scripted run: one commit is confirmed, a failover rolls back another."""
    machine = SafetyMachine()
    machine.start(3)
    leads = machine.logs.index(machine.get_leaders()[0])
    others = frozenset(range(3)) - {leads}
    machine.write(0, 1)
    machine.replicate(0, others, 9)
    machine.write(0, 1)
    machine.election("elect", others)
    for leader in (0, 1):
        machine.replicate(leader, others, 9)
    machine.ask(others)
    machine.deliver_answers([0, 1], 0)
    assert list(machine.outcomes[0]) == [CommitOutcome.CONFIRMED]
    assert list(machine.outcomes[1]) == [CommitOutcome.ROLLED_BACK]
    assert machine.commits[1] == LogPosition(1, 3)
