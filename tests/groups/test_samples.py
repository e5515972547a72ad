"""Samples of a primary's position: confirmation, freshness and thinning."""

from beryltrack.groups.messages import LogPosition, TermStart
from beryltrack.groups.samples import MAX_SAMPLES, THIN_RATIO, Sample, SampleLog
from beryltrack.groups.view import NEVER

HISTORY = (TermStart(1, 0),)


def make_log(*samples):
    log = SampleLog()
    for offset, sent_at in samples:
        log.add(Sample(LogPosition(1, offset), sent_at))
    return log


def get_fresh_at(log, offset):
    return log.get_fresh_at(HISTORY, LogPosition(1, offset))


def test_confirmation_before_the_first_sample_changes_nothing():
    log = make_log()
    assert not log.confirm(1, 10.0)
    assert log.newest is None
    assert len(log) == 0


def test_samples_of_the_term_are_confirmed_up_to_the_time():
    log = make_log((3, 8.0), (4, 11.0))
    assert not log.confirm(2, 10.0)
    assert log.newest is None
    assert log.confirm(1, 10.0)
    assert log.newest == Sample(LogPosition(1, 3), 8.0)
    assert len(log) == 2


def test_only_a_confirmed_sample_proves_freshness():
    log = make_log((3, 8.0), (4, 11.0))
    assert get_fresh_at(log, 9) == NEVER
    log.confirm(1, 10.0)
    assert get_fresh_at(log, 9) == 8.0
    assert get_fresh_at(log, 2) == NEVER


def test_of_one_position_the_newest_sample_is_kept():
    log = make_log((3, 8.0), (3, 9.0), (3, 12.0))
    log.confirm(1, 10.0)
    assert get_fresh_at(log, 3) == 9.0
    assert len(log) == 2


def test_a_late_sample_is_ignored():
    log = make_log((3, 8.0), (2, 7.0))
    assert len(log) == 1


def test_many_samples_are_thinned_and_old_ages_stay_known():
    log = SampleLog()
    for number in range(4 * MAX_SAMPLES):
        log.add(Sample(LogPosition(1, number), number * 0.1))
        log.confirm(1, number * 0.1)
    assert len(log) <= MAX_SAMPLES
    now = log.newest.sent_at
    for offset in (40 * number for number in range(1, 50)):
        age, true_age = now - get_fresh_at(log, offset), now - offset * 0.1
        assert true_age <= age <= true_age * (1 + 2 * THIN_RATIO) + 0.2
