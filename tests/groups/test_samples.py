"""Samples of a primary's position."""

from beryltrack.groups.messages import LogPosition
from beryltrack.groups.samples import Sample, confirm_samples


def test_confirmation_before_the_first_sample_changes_nothing():
    assert confirm_samples((), 1, 10.0) == ()


def test_samples_of_the_term_are_confirmed_up_to_the_time():
    first, second = Sample(LogPosition(1, 3), 8.0), Sample(LogPosition(1, 4), 11.0)
    assert confirm_samples((first, second), 1, 10.0) == (
        first._replace(confirmed=True),
        second,
    )
    assert confirm_samples((first, second), 2, 10.0) == (first, second)
