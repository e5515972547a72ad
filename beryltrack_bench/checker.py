"""Checks of the invariants over a recorded history, one function each.

The checks read only `beryltrack_bench.history` and share no code with the
package under test. Each yields all violations that it finds.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import pairwise
from math import inf
from typing import NamedTuple, TypeVar

from beryltrack_bench.history import (
    ChangeAccepted,
    ChangeAnswered,
    Event,
    Executed,
    FinalLog,
    History,
    Promoted,
    ProxyCrashed,
    ReadAnswered,
    Refusal,
    RequestAnswered,
    RequestStarted,
    ShutdownBegun,
    TargetLeft,
    TargetReturned,
    VersionInForce,
    WorkStarted,
    WriteAcknowledged,
    WriteRefused,
    WriteRequested,
)

LEAVING_LIMIT = 3.0
"""Seconds after a target starts leaving from which it must get no new work."""

IN_FORCE_LIMIT = 5.0
"""Seconds within which an accepted change must be in force on every proxy."""

E = TypeVar("E", bound=Event)


class Violation(NamedTuple):
    """One violation of an invariant.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    text : str
        What was observed.
    """

    invariant: str
    text: str


def check_history(history: History) -> tuple[Violation, ...]:
    """Return every violation of every invariant in a history."""
    return tuple(
        Violation(name, text)
        for name, check in CHECKS.items()
        for text in check(history)
    )


def count_violations(violations: tuple[Violation, ...]) -> dict[str, int]:
    """Return the number of violations of each invariant, zeros included."""
    found = Counter(violation.invariant for violation in violations)
    return {name: found[name] for name in CHECKS}


def check_read_your_writes(history: History) -> Iterator[str]:
    """A read sees each write acknowledged to its session before the read was sent."""
    written = list(_select(history, WriteAcknowledged))
    for read in _select(history, ReadAnswered):
        missing = [
            key
            for write in written
            if (write.session, write.group) == (read.session, read.group)
            and write.at <= read.started_at
            for key in write.keys
            if key not in read.keys
        ]
        if missing:
            yield f"session {read.session} did not see {missing}"


def check_no_acknowledged_write_lost(history: History) -> Iterator[str]:
    """An acknowledged write is in the log of each later primary and the final log."""
    logs = _get_final_keys(history)
    promotions = list(_select(history, Promoted))
    for write in _select(history, WriteAcknowledged):
        final_keys = logs.get(write.group)
        if final_keys is not None and not final_keys.issuperset(write.keys):
            yield f"{write.keys} was acknowledged and is not in the last log"
        led = [each for each in promotions if each.group == write.group]
        term = max((each.term for each in led if each.at <= write.at), default=0)
        for promoted in led:
            if _lacks_write(promoted, write, term):
                yield f"{write.keys} is not in the log of term {promoted.term}"


def check_transactions_apart(history: History) -> Iterator[str]:
    """A commit contains exactly the statements of one transaction, in order."""
    requested = {request.keys for request in _select(history, WriteRequested)}
    for entry in _get_commits(history):
        if entry not in requested:
            yield f"the commit {entry} is not one transaction"


def check_own_answer(history: History) -> Iterator[str]:
    """A caller gets the complete answer to its own request, exactly once."""
    answered = Counter()
    for answer in _select(history, RequestAnswered):
        answered[answer.request] += 1
        if answer.rows != answer.expected:
            yield f"{answer.request} got {answer.rows}, not {answer.expected}"
    for request, times in answered.items():
        if times > 1:
            yield f"{request} got {times} answers"


def check_refusals_true(history: History) -> Iterator[str]:
    """A request refused as not run did not run; one rolled back has no effect.

    A caller may send a refused request again, so only executions between the
    refused attempt and the next one count. An earlier attempt, whose outcome was
    reported as unknown, may have run.
    """
    requests = list(_select(history, WriteRequested))
    commits = list(_select(history, Executed))
    final_keys = _get_final_keys(history)
    for refused in _select(history, WriteRefused):
        same = [each for each in requests if each.keys == refused.keys]
        until = min((each.at for each in same if each.at >= refused.at), default=inf)
        since = max((each.at for each in same if each.at < refused.at), default=-inf)
        runs = [each.at for each in commits if each.keys == refused.keys]
        ran = any(since <= at < until for at in runs)
        is_in_final_log = bool(final_keys.get(refused.group, set()) & set(refused.keys))
        # An effect of an earlier attempt remains and does not belong to this one.
        persists = (
            until == inf and is_in_final_log and not any(at < since for at in runs)
        )
        untrue = {Refusal.NOT_RUN: ran or persists, Refusal.ROLLED_BACK: persists}
        if untrue.get(refused.refusal):
            yield f"{refused.keys} was said to be {refused.refusal.value}"
    made = {change.change_id for change in _select(history, ChangeAccepted)}
    for answer in _select(history, ChangeAnswered):
        if answer.refusal is Refusal.NOT_RUN and answer.change_id in made:
            yield f"change {answer.change_id} was said not to be made"


def check_at_most_once(history: History) -> Iterator[str]:
    """An at-most-once request is in the final log at most once.

    Any other request is there at most once for each attempt.
    """
    allowed = Counter()
    for request in _select(history, WriteRequested):
        for key in request.keys:
            sent = allowed[request.group, key] + 1
            allowed[request.group, key] = 1 if request.at_most_once else sent
    for log in _select(history, FinalLog):
        found = Counter(key for entry in log.entries for key in entry)
        for key, times in found.items():
            if times > max(1, allowed[log.group, key]):
                yield f"{key} is {times} times in the last log"


def check_leaving_targets(history: History) -> Iterator[str]:
    """A leaving target gets no new work after `LEAVING_LIMIT` seconds."""
    left_at: dict[str, float] = {}
    for event in history:
        match event:
            case TargetLeft(target, at):
                left_at.setdefault(target, at)
            case TargetReturned(target):
                left_at.pop(target, None)
            case WorkStarted(target, at) if (
                at > left_at.get(target, at) + LEAVING_LIMIT
            ):
                since = at - left_at[target]
                yield f"{target} got work {since:.1f} s after it was leaving"


def check_shutdowns(history: History) -> Iterator[str]:
    """Each request in flight at the start of a graceful shutdown is answered."""
    answered = {answer.request for answer in _select(history, RequestAnswered)}
    crashed = {crash.proxy for crash in _select(history, ProxyCrashed)}
    begun_at = {begun.proxy: begun.at for begun in _select(history, ShutdownBegun)}
    for request in _select(history, RequestStarted):
        leaving = request.proxy in begun_at and request.proxy not in crashed
        if leaving and request.request not in answered:
            yield f"{request.request} was cut off by the shutdown of {request.proxy}"


def check_settings(history: History) -> Iterator[str]:
    """Accepted settings are in force on all proxies in time and never revert."""
    accepted = list(_select(history, ChangeAccepted))
    made = Counter(change.change_id for change in accepted if change.change_id)
    yield from (f"change {key} was made twice" for key in made if made[key] > 1)
    for answer in _select(history, ChangeAnswered):
        if answer.refusal is None and answer.change_id not in made:
            yield f"change {answer.change_id} was said to be made and was not"
    for (proxy, path), seen in _group_versions(history).items():
        for before, after in pairwise(seen):
            if after.version < before.version:
                yield f"{proxy} went back to version {after.version} of {path}"
        for change in accepted:
            if change.path == path and _is_late(change, seen):
                yield f"{proxy} has not version {change.version} of {path} in time"


CHECKS: dict[str, Callable[[History], Iterator[str]]] = {
    "read_your_writes": check_read_your_writes,
    "no_acknowledged_write_lost": check_no_acknowledged_write_lost,
    "transactions_apart": check_transactions_apart,
    "own_answer": check_own_answer,
    "refusals_true": check_refusals_true,
    "at_most_once": check_at_most_once,
    "leaving_targets": check_leaving_targets,
    "shutdowns": check_shutdowns,
    "settings": check_settings,
}


def _select(history: History, kind: type[E]) -> Iterator[E]:
    """Return the events of one type, in order."""
    return (event for event in history if isinstance(event, kind))


def _get_final_keys(history: History) -> dict[str, frozenset[str]]:
    """Return the keys in the final log of each group."""
    return {
        log.group: frozenset(key for entry in log.entries for key in entry)
        for log in _select(history, FinalLog)
    }


def _get_commits(history: History) -> Iterator[tuple[str, ...]]:
    """Return the keys of each commit at any database."""
    yield from (commit.keys for commit in _select(history, Executed))
    for log in _select(history, FinalLog):
        yield from log.entries


def _lacks_write(promoted: Promoted, write: WriteAcknowledged, term: int) -> bool:
    """Return whether a later primary lacks a previously acknowledged write.

    Parameters
    ----------
    promoted : Promoted
        The primary.
    write : WriteAcknowledged
        The write.
    term : int
        The highest term that had a primary when the write was acknowledged. A
        primary of a lower term, promoted late by a delayed message, is not a
        later primary. A primary promoted earlier may receive the write after its
        promotion; the final log shows whether it did.
    """
    is_later = promoted.term > term and promoted.at >= write.at
    return is_later and not promoted.keys.issuperset(write.keys)


def _group_versions(
    history: History,
) -> dict[tuple[str, str], list[VersionInForce]]:
    """Return the versions seen in force by proxy and path, in order."""
    found: dict[tuple[str, str], list[VersionInForce]] = {}
    for seen in _select(history, VersionInForce):
        found.setdefault((seen.proxy, seen.path), []).append(seen)
    return found


def _is_late(change: ChangeAccepted, seen: list[VersionInForce]) -> bool:
    """Return whether a proxy was seen without a change after it was due."""
    due = max(change.at, seen[0].at) + IN_FORCE_LIMIT
    return any(each.at > due and each.version < change.version for each in seen)
