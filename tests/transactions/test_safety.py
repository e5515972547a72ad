"""Whatever fails, a confirmed commit is in every later primary's log.

The databases are real stand-in logs. Grants, promotions, replication and the
answers to status requests happen in any order that hypothesis finds; answers
reach the nodes late and out of order, candidates vanish half-way, and cut-off
primaries go on writing.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from beryltrack.failover.decider import choose_primary
from beryltrack.groups.messages import LogPosition
from beryltrack.transactions.decider import CommitDecider, CommitOutcome
from beryltrack_standins.database.replica_log import ReplicaLog

NODES = 2
index = st.integers(min_value=0, max_value=4)
# Any part of five databases, by a bit for each.
some = st.sampled_from(
    [frozenset(n for n in range(5) if mask >> n & 1) for mask in range(1, 32)]
)
node_index = st.integers(min_value=0, max_value=NODES - 1)


class Candidate(NamedTuple):
    """One attempt at a term and the replies to it so far."""

    name: str
    term: int
    replies: dict
    chosen: list


class Promotion(NamedTuple):
    """A primary's log when it began to lead."""

    term: int
    entries: tuple


class SafetyMachine(RuleBasedStateMachine):
    """A group of three or five databases and two nodes that confirm commits."""

    @initialize(size=st.sampled_from((3, 5)))
    def start(self, size):
        self.logs = [ReplicaLog(f"d{number}") for number in range(size)]
        self.nodes = [CommitDecider(size) for _ in range(NODES)]
        self.mail = []
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
        """Let one of those who believe that they lead commit."""
        leaders = self.get_leaders()
        for _ in range(times if leaders else 0):
            key = len(self.commits)
            position = leaders[leader % len(leaders)].append((key,))
            self.commits[key] = position
            decisions = (node.add(key, position) for node in self.nodes)
            self.take(filter(None, decisions))

    @rule(leader=index, replicas=some, limit=st.sampled_from((1, 9)))
    def replicate(self, leader, replicas, limit):
        leaders = self.get_leaders()
        for replica in self.get_logs(replicas):
            source = leaders[leader % len(leaders)] if leaders else replica
            if source is not replica:
                replica.receive(source, 0.0, limit)

    @rule(leader=index, node=node_index)
    def work_in_the_dark(self, leader, node):
        """Let a commit reach one replica at most."""
        self.work(leader, frozenset((leader,)), node)

    @rule(databases=some)
    def ask(self, databases):
        """Let databases answer; the answers are on their way."""
        self.mail += [log.get_status(0.0) for log in self.get_logs(databases)]

    @rule(letters=st.lists(st.integers(0, 9), min_size=1), node=node_index)
    def answer(self, letters, node):
        """Deliver answers in any order, perhaps old ones, perhaps again."""
        for letter in letters if self.mail else ():
            status = self.mail[-1 - letter % len(self.mail)]
            self.take(self.nodes[node].observe_status(status))

    @rule(leader=index, databases=some, node=node_index)
    def work(self, leader, databases, node):
        """Let a commit go its usual way, as far as some databases see it."""
        self.write(leader, 1)
        self.replicate(leader, databases, 9)
        self.ask(databases)
        self.answer(list(range(len(databases))), node)

    @rule(left_out=index)
    def replace_leader(self, left_out):
        """Let all databases but one elect, as after a crash of that one."""
        self.election("elect", frozenset(range(5)) - {left_out})

    @rule(action=st.sampled_from(("elect", "begin", "continue")), databases=some)
    def election(self, action, databases):
        """Let a candidate get grants; it may vanish then, or wake up later."""
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
    """A scripted run: a commit that lasts and one that a failover undoes."""
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
    machine.answer([0, 1], 0)
    assert list(machine.outcomes[0]) == [CommitOutcome.CONFIRMED]
    assert list(machine.outcomes[1]) == [CommitOutcome.ROLLED_BACK]
    assert machine.commits[1] == LogPosition(1, 3)
