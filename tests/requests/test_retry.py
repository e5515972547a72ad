"""Retries: only of requests that did not run, within budget, attempts and deadline."""

import random

from returns.maybe import Nothing

from beryltrack.requests.retry import FailedAttempt, RetryBudget, RetryPolicy

NOT_RUN = FailedAttempt(1, True)


def make_budget(requests=100, **policy):
    budget = RetryBudget(RetryPolicy(**policy), random.Random(1))
    for _ in range(requests):
        budget.observe_request()
    return budget


def test_a_request_that_may_have_run_is_not_retried():
    attempt = FailedAttempt(1, is_not_run=False)
    assert make_budget().choose_retry(attempt, 9.0, 0.0, 0.0) is Nothing


def test_retries_are_a_fraction_of_the_requests():
    budget = make_budget(requests=0)
    retries = 0
    for _ in range(1000):
        budget.observe_request()
        retries += budget.choose_retry(NOT_RUN, 9.0, 0.0, 0.0) is not Nothing
    assert 95 <= retries <= 100


def test_the_retry_budget_is_bounded():
    budget = make_budget(requests=10_000, max_tokens=5.0)
    chosen = [budget.choose_retry(NOT_RUN, 9.0, 0.0, 0.0) for _ in range(20)]
    assert sum(each is not Nothing for each in chosen) == 5


def test_delays_double_with_jitter_and_respect_the_refusal():
    budget = make_budget(first_delay=0.1)
    first = budget.choose_retry(NOT_RUN, 9.0, 0.0, 0.0).unwrap()
    third = budget.choose_retry(FailedAttempt(3, True), 9.0, 0.0, 0.0).unwrap()
    asked = budget.choose_retry(FailedAttempt(1, True, 2.0), 9.0, 0.0, 0.0).unwrap()
    assert 0.05 <= first <= 0.1 and 0.2 <= third <= 0.4 and asked == 2.0


def test_no_retry_that_would_miss_the_deadline_or_exceeds_the_attempts():
    budget = make_budget(max_attempts=2)
    assert budget.choose_retry(NOT_RUN, 0.2, 0.3, 0.0) is Nothing
    assert budget.choose_retry(FailedAttempt(2, True), 9.0, 0.0, 0.0) is Nothing
    assert budget.tokens > 9


def test_direct_draws_and_retries_share_one_budget():
    budget = make_budget(initial_tokens=2.0, requests=0)
    assert [budget.draw() for _ in range(3)] == [True, True, False]
    assert budget.choose_retry(NOT_RUN, 9.0, 0.0, 0.0) is Nothing
