"""Means that single outliers do not spoil."""

import pytest

from beryltrack.load.estimate import BoundedEstimate


@pytest.fixture
def estimate():
    made = BoundedEstimate(0.005)
    for _ in range(50):
        made.observe(0.01)
    return made


def test_statements_that_ran_while_the_process_was_frozen_hardly_count(estimate):
    for _ in range(3):
        estimate.observe(5.0)
    assert 0.01 < estimate.mean < 0.02


def test_what_takes_longer_from_now_on_is_learned(estimate):
    for _ in range(150):
        estimate.observe(0.5)
    assert estimate.mean > 0.4


def test_a_mean_of_nothing_is_left_again():
    estimate = BoundedEstimate(0.0)
    for _ in range(50):
        estimate.observe(0.0)
    for _ in range(500):
        estimate.observe(0.05)
    assert estimate.mean > 0.04


def test_the_first_samples_count_as_they_are():
    estimate = BoundedEstimate(0.005)
    estimate.observe(0.3)
    assert estimate.mean == 0.3 and estimate.count == 1
