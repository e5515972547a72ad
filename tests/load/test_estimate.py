"""Smoothed means on which single outliers have a bounded effect."""

import pytest

from beryltrack.load.estimate import BoundedEstimate


@pytest.fixture
def estimate():
    made = BoundedEstimate(0.005)
    for _ in range(50):
        made.observe(0.01)
    return made


def test_outliers_from_a_suspended_process_hardly_count(estimate):
    for _ in range(3):
        estimate.observe(5.0)
    assert 0.01 < estimate.mean < 0.02


def test_the_mean_follows_a_lasting_rise(estimate):
    for _ in range(150):
        estimate.observe(0.5)
    assert estimate.mean > 0.4


def test_a_mean_of_zero_can_rise():
    estimate = BoundedEstimate(0.0)
    for _ in range(50):
        estimate.observe(0.0)
    for _ in range(500):
        estimate.observe(0.05)
    assert estimate.mean > 0.04


def test_the_first_samples_count_in_full():
    estimate = BoundedEstimate(0.005)
    estimate.observe(0.3)
    assert estimate.mean == 0.3 and estimate.count == 1
