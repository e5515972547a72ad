"""Explores all orders in which elections, their calls and commits can interleave.

Three databases, of which one leads; two instances that elect another one. Calls between
them wait as long as the rules in force allow. A commit is acknowledged once two
databases have it. A trace that ends with a promotion without an acknowledged commit is
a counterexample to the rules; see docs/notes/failover.md, "Ends of holds".

The model abstracts from time: instead of limits in seconds, a rule says which calls can
still arrive once another instance has begun an election.
"""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

DATABASES = range(3)
INSTANCES = range(2)
QUORUM = 2
PAUSE, RESUME, PROMOTE = "PAUSE", "RESUME", "PROMOTE"

Log = tuple[tuple[int, int], ...]
"""The commits of a log, each with the term in which it was written."""


class Rules(NamedTuple):
    """What instances and the platform ensure.

    Parameters
    ----------
    is_fenced : bool
        True if the platform refuses a promotion with a lower token than it has seen.
    releases_under_permit : bool
        True if holds are ended only by the holder of the permit, after a look at them.
    has_late_releases : bool
        True if the end of a hold may arrive once another election has begun.
    has_late_promotions : bool
        True if a promotion may be carried out once another election has begun.
    has_paused_candidates : bool
        True if a candidate may go on after another instance has taken the permit.
    confirms_promotions : bool
        True if a candidate that has been paused confirms its permit before it asks for
        a promotion, also where promotions are fenced.
    """

    is_fenced: bool
    releases_under_permit: bool = True
    has_late_releases: bool = False
    has_late_promotions: bool = False
    has_paused_candidates: bool = False
    confirms_promotions: bool = True

    @property
    def late_kinds(self) -> frozenset[str]:
        """Kinds of the calls that may arrive once another election has begun.

        A hold is harmless then, as it votes only in the election that it was sent for.
        """
        releases_late = self.has_late_releases or not self.releases_under_permit
        may_be_late = {
            PAUSE: True,
            RESUME: releases_late,
            PROMOTE: self.has_late_promotions,
        }
        return frozenset(kind for kind, is_late in may_be_late.items() if is_late)


class Limits(NamedTuple):
    """The size of the explored space: commits and elections in a trace."""

    commits: int = 2
    elections: int = 3


class Call(NamedTuple):
    """A call to a database, or for a promotion to the platform, that is under way."""

    kind: str
    sender: int
    database: int
    term: int
    token: int


class Attempt(NamedTuple):
    """An instance's election: its permit, its term, and the logs that voted for it."""

    token: int
    term: int
    votes: tuple[tuple[int, Log], ...] = ()
    is_promoting: bool = False


class State(NamedTuple):
    """All databases, instances, calls under way, and what callers were told."""

    logs: tuple[Log, ...] = ((),) * len(DATABASES)
    held: tuple[int, ...] = (0,) * len(DATABASES)
    primary: int = 0
    term: int = 1
    token: int = 0
    holder: int = -1
    seen_token: int = 0
    attempts: tuple[Attempt | None, ...] = (None,) * len(INSTANCES)
    calls: frozenset[Call] = frozenset()
    acknowledged: frozenset[tuple[int, int]] = frozenset()
    commits: int = 0
    elections: int = 0
    is_lost: bool = False


Step = tuple[str, State]


def find_loss(rules: Rules, limits: Limits = Limits()) -> tuple[str, ...] | None:  # noqa: B008
    """Return the shortest trace that loses an acknowledged commit, None if none does.

    Parameters
    ----------
    rules : Rules
        The rules in force.
    limits : Limits
        The size of the explored space.
    """
    first = State()
    origins: dict[State, tuple[State, str] | None] = {first: None}
    waiting = deque((first,))
    while waiting:
        state = waiting.popleft()
        for name, following in list_steps(state, rules, limits):
            if following in origins:
                continue
            origins[following] = (state, name)
            if following.is_lost:
                return _make_trace(origins, following)
            waiting.append(following)
    return None


def _make_trace(origins: dict, state: State) -> tuple[str, ...]:
    """Return the names of the steps that lead to a state."""
    names = []
    while origins[state] is not None:
        state, name = origins[state]
        names.append(name)
    return tuple(reversed(names))


def list_steps(state: State, rules: Rules, limits: Limits) -> Iterator[Step]:
    """Return each step that is possible in a state, with the state after it."""
    if state.commits < limits.commits:
        yield f"commit {state.commits} at db-{state.primary}", _write(state)
    for database in DATABASES:
        if _may_receive(state, database):
            yield f"db-{database} receives a commit", _receive(state, database)
    for instance in INSTANCES:
        yield from _list_instance_steps(state, instance, rules, limits)
    for call in sorted(state.calls):
        name = f"{call.kind} by {call.sender} reaches db-{call.database}"
        yield f"{name}, token {call.token}", _carry_out(state, call, rules)


def _write(state: State) -> State:
    """Return the state after a commit at the primary."""
    log = (*state.logs[state.primary], (state.term, state.commits))
    logs = _replace_at(state.logs, state.primary, log)
    return state._replace(logs=logs, commits=state.commits + 1)


def _may_receive(state: State, database: int) -> bool:
    """Return whether a replica lacks a commit and is not held."""
    is_replica = database != state.primary and not state.held[database]
    return is_replica and state.logs[database] != state.logs[state.primary]


def _receive(state: State, database: int) -> State:
    """Return the state after a replica has received the next commit.

    It is the second database to have the commit, which is then acknowledged.
    """
    source = state.logs[state.primary]
    log = source[: len(state.logs[database]) + 1]
    return state._replace(
        logs=_replace_at(state.logs, database, log),
        acknowledged=state.acknowledged | set(log),
    )


def _list_instance_steps(
    state: State, instance: int, rules: Rules, limits: Limits
) -> Iterator[Step]:
    """Return what an instance may do."""
    attempt = state.attempts[instance]
    if attempt is None:
        if state.elections < limits.elections:
            yield f"{instance} begins an election", _begin(state, instance, rules)
    elif not attempt.is_promoting:
        yield f"{instance} gives up", _end(state, instance, rules)
        if len(attempt.votes) >= QUORUM and _may_promote(state, instance, rules):
            yield f"{instance} asks for a promotion", _promote(state, instance)


def _begin(state: State, instance: int, rules: Rules) -> State:
    """Return the state after an instance has taken the permit and asks for votes."""
    others = tuple(
        attempt if index != instance and _goes_on(attempt, rules) else None
        for index, attempt in enumerate(state.attempts)
    )
    token, term = state.token + 1, state.term + 1
    calls = {call for call in state.calls if call.kind in rules.late_kinds}
    calls |= {
        Call(PAUSE, instance, database, term, token)
        for database in DATABASES
        if database != state.primary
    }
    return state._replace(
        token=token,
        holder=instance,
        attempts=_replace_at(others, instance, Attempt(token, term)),
        calls=frozenset(calls),
        elections=state.elections + 1,
    )


def _goes_on(attempt: Attempt | None, rules: Rules) -> bool:
    """Return whether a candidate goes on though another instance has the permit."""
    if attempt is not None and attempt.is_promoting:
        return rules.has_late_promotions
    return rules.has_paused_candidates


def _may_promote(state: State, instance: int, rules: Rules) -> bool:
    """Return whether an instance still asks for the promotion it has the votes for.

    No later primary may be known, and its permit must be valid.
    """
    is_superseded = state.term >= state.attempts[instance].term
    is_unchecked = rules.is_fenced and not rules.confirms_promotions
    return not is_superseded and (is_unchecked or state.holder == instance)


def _promote(state: State, instance: int) -> State:
    """Return the state after an instance has asked for a promotion."""
    attempt = state.attempts[instance]
    chosen, _ = max(attempt.votes, key=lambda vote: (vote[1][-1:], len(vote[1])))
    call = Call(PROMOTE, instance, chosen, attempt.term, attempt.token)
    asking = attempt._replace(is_promoting=True)
    return state._replace(
        attempts=_replace_at(state.attempts, instance, asking),
        calls=state.calls | {call},
    )


def _end(state: State, instance: int, rules: Rules) -> State:
    """Return the state after an election has ended; its holds are to end too."""
    attempt = state.attempts[instance]
    state = state._replace(attempts=_replace_at(state.attempts, instance, None))
    if rules.releases_under_permit and state.holder != instance:
        return state
    calls = {
        Call(RESUME, instance, database, attempt.term, attempt.token)
        for database in DATABASES
        if not rules.releases_under_permit or 0 < state.held[database] <= attempt.term
    }
    return state._replace(calls=state.calls | calls)


def _carry_out(state: State, call: Call, rules: Rules) -> State:
    """Return the state after a call has arrived."""
    state = state._replace(calls=state.calls - {call})
    if call.kind == PAUSE:
        return _hold(state, call)
    if call.kind == RESUME:
        return state._replace(held=_replace_at(state.held, call.database, 0))
    return _carry_out_promotion(state, call, rules)


def _hold(state: State, call: Call) -> State:
    """Return the state after a replica has been held, and has voted."""
    is_behind = call.term <= state.term or call.term < state.held[call.database]
    if is_behind or call.database == state.primary:
        return state
    state = state._replace(held=_replace_at(state.held, call.database, call.term))
    attempt = state.attempts[call.sender]
    if attempt is None or attempt.token != call.token or attempt.is_promoting:
        return state
    vote = (call.database, state.logs[call.database])
    voted = attempt._replace(votes=tuple(sorted((*attempt.votes, vote))))
    return state._replace(attempts=_replace_at(state.attempts, call.sender, voted))


def _carry_out_promotion(state: State, call: Call, rules: Rules) -> State:
    """Return the state after the platform has carried out or refused a promotion."""
    attempt = state.attempts[call.sender]
    is_awaited = attempt is not None and attempt.token == call.token
    if rules.is_fenced and call.token < state.seen_token:
        cleared = _replace_at(state.attempts, call.sender, None)
        return state._replace(attempts=cleared) if is_awaited else state
    log = state.logs[call.database]
    promoted = state._replace(
        primary=call.database,
        term=state.term + 1,
        logs=tuple(_cut_back(each, log) for each in state.logs),
        held=State().held,
        seen_token=max(state.seen_token, call.token),
        is_lost=not state.acknowledged <= set(log),
    )
    return _end(promoted, call.sender, rules) if is_awaited else promoted


def _cut_back(log: Log, leading: Log) -> Log:
    """Return the part of a log that the new primary's log has, too."""
    same = 0
    while same < min(len(log), len(leading)) and log[same] == leading[same]:
        same += 1
    return log[:same]


def _replace_at(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with another value at an index."""
    return (*values[:index], value, *values[index + 1 :])
