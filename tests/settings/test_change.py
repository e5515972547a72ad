"""Changes with lost answers and concurrent writers, against a store with faults."""

import random
from itertools import product

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject
from beryltrack.settings.change import (
    ChangeDone,
    FailureKind,
    Resolution,
    SettingsChange,
    resolve_change,
)
from beryltrack.settings.stored import (
    MAX_HISTORY,
    MAX_VALUE_BYTES,
    ChangeRequest,
    build_value,
    get_records,
)
from tests.settings.examples import RULE_PATH

LOST_AFTER = "lost after the effect"
LOST_BEFORE = "lost before the effect"
REFUSED = "refused"
RIVAL_FIRST = "a rival's change comes first"
RIVAL_AFTER = "lost after the effect, then a rival's change follows"
FINE = "fine"
FAULTS = (LOST_AFTER, LOST_BEFORE, REFUSED, RIVAL_FIRST, RIVAL_AFTER, FINE)


def make_request(change_id="mine", settings=None, **changes):
    settings = {"max_age": 5} if settings is None else settings
    return ChangeRequest(
        RULE_PATH, settings, "ana", "test", "2026-01-01", change_id
    )._replace(**changes)


class FaultyStore:
    """A store of one object, with a scripted fault for each update."""

    def __init__(self, puts=(), gets=()):
        self.version = 0
        self.value = None
        self.puts = list(puts)
        self.gets = list(gets)
        self.effects = []

    async def get(self, path):
        if self.gets and self.gets.pop(0) != FINE:
            return fail(ErrorKind.REFUSED)
        if not self.version:
            return Success(None)
        return Success(PlatformObject(path, self.version, self.value, False))

    async def put(self, path, value, if_version):
        fault = self.puts.pop(0) if self.puts else FINE
        if fault == REFUSED:
            return fail(ErrorKind.REFUSED)
        if fault == LOST_BEFORE:
            return fail(ErrorKind.UNKNOWN)
        if fault == RIVAL_FIRST:
            self.write_as_rival()
        if if_version != self.version:
            return fail(ErrorKind.CONFLICT, self.version)
        self.write(value)
        if fault == RIVAL_AFTER:
            self.write_as_rival()
        return (
            Success(self.version)
            if fault in (FINE, RIVAL_FIRST)
            else fail(ErrorKind.UNKNOWN)
        )

    def write(self, value):
        self.version += 1
        self.value = value
        self.effects.append(value["audit"]["change_id"])

    def write_as_rival(self):
        request = make_request(f"rival {self.version}", {"reads": "primary"})
        self.write(build_value(request, self.version, self.value))


def fail(kind, version=0):
    return Failure(PlatformError(kind, kind.value, version))


def run_change(store, request=None):
    clock = Clock()
    outcomes = []
    change = SettingsChange(clock, store, request or make_request(), random.Random(1))
    Deferred.fromCoroutine(change.run()).addCallback(outcomes.append)
    clock.pump([1.0] * 60)
    return outcomes[0]


def get_kind(result):
    return result.failure().kind


def test_change_whose_answer_is_lost_after_the_effect_is_made_once():
    store = FaultyStore([LOST_AFTER])
    assert run_change(store) == Success(ChangeDone(1))
    assert store.effects == ["mine"]


def test_change_whose_update_is_lost_is_sent_again():
    store = FaultyStore([LOST_BEFORE, LOST_BEFORE])
    assert run_change(store) == Success(ChangeDone(1))
    assert store.effects == ["mine"]


def test_change_replaced_after_its_answer_was_lost_is_reported_as_made():
    store = FaultyStore([RIVAL_AFTER])
    assert run_change(store) == Success(ChangeDone(2, replaced=True))
    assert store.effects == ["mine", "rival 1"]


def test_lost_race_is_a_conflict_with_the_current_version():
    store = FaultyStore([RIVAL_FIRST])
    result = run_change(store)
    assert get_kind(result) is FailureKind.CONFLICT
    assert result.failure().version == 1
    assert store.effects == ["rival 0"]


def test_lost_race_after_a_lost_update_is_a_conflict():
    result = run_change(FaultyStore([LOST_BEFORE, RIVAL_FIRST]))
    assert get_kind(result) is FailureKind.CONFLICT


def test_change_refused_at_each_attempt_is_not_done():
    store = FaultyStore([REFUSED] * 9)
    assert get_kind(run_change(store)) is FailureKind.NOT_DONE
    assert store.effects == []


def test_unresolved_outcome_is_reported_as_unknown():
    for fault in (LOST_AFTER, LOST_BEFORE):
        store = FaultyStore([fault] + [REFUSED] * 9, [FINE] + [REFUSED] * 9)
        assert get_kind(run_change(store)) is FailureKind.UNKNOWN


def test_version_other_than_the_required_one_is_a_conflict():
    store = FaultyStore()
    store.write_as_rival()
    request = make_request(if_version=7)
    assert get_kind(run_change(store, request)) is FailureKind.CONFLICT
    assert run_change(store, request._replace(if_version=1)) == Success(ChangeDone(2))


def test_unchanged_settings_are_not_written_again():
    store = FaultyStore()
    run_change(store)
    again = make_request("again")
    assert run_change(store, again) == Success(ChangeDone(1, changed=False))


def test_change_is_not_done_if_the_store_cannot_be_read():
    store = FaultyStore(gets=[REFUSED])
    assert get_kind(run_change(store)) is FailureKind.NOT_DONE


@pytest.mark.parametrize("length", [1, 2, 3])
def test_reported_outcome_is_true_after_every_sequence_of_faults(length):
    for script in product(FAULTS, repeat=length):
        for gets in product((FINE, REFUSED), repeat=length):
            store = FaultyStore(script, (FINE, *gets))
            result = run_change(store)
            made = store.effects.count("mine")
            assert made <= 1
            match result:
                case Success(ChangeDone(changed=True)):
                    assert made == 1
                case Failure(failure) if failure.kind is not FailureKind.UNKNOWN:
                    assert made == 0


def test_truncated_history_leaves_the_outcome_unresolved():
    store = FaultyStore()
    for _ in range(MAX_HISTORY + 2):
        store.write_as_rival()
    present = PlatformObject(RULE_PATH, store.version, store.value, False)
    assert resolve_change("mine", 1, present) is Resolution.UNRESOLVED
    assert resolve_change("mine", 5, present) is Resolution.CONFLICT
    assert resolve_change("mine", 1, None) is Resolution.UNRESOLVED


def test_audit_records_hold_the_replaced_settings():
    store = FaultyStore()
    run_change(store)
    run_change(store, make_request("second", {"max_age": 7}, why="more"))
    newest, oldest = get_records(store.value)
    assert (newest["why"], newest["from_version"]) == ("more", 1)
    assert newest["before"] == {"max_age": 5}
    assert (oldest["change_id"], oldest["before"]) == ("mine", None)
    assert store.value["created"] == "2026-01-01"


def test_history_is_bounded_in_bytes():
    request = make_request(settings={"statement": "x" * (MAX_VALUE_BYTES // 4)})
    value = None
    for version in range(4):
        value = build_value(request, version, value)
    assert len(get_records(value)) == 2
