"""Quota shares: their sum over time, and which slots are lent to which instance."""

import pytest

from beryltrack.accounts.lending import LOAN_TIME, MEMBER_EXPIRY, LendingDecider
from beryltrack.accounts.shares import Loan, QuotaShareLedger
from beryltrack.accounts.slots import (
    ALL_SLOTS,
    SLOT_COUNT,
    get_slot,
    list_slots,
    make_slot_set,
)


def test_an_account_has_one_slot():
    slots = {get_slot(f"account-{each}") for each in range(2000)}
    assert slots == set(range(SLOT_COUNT))
    assert list(list_slots(make_slot_set([3, 0, 3]))) == [0, 3]


def test_shares_add_up_over_time():
    ledger = QuotaShareLedger()
    ledger.set_loan("a", Loan(make_slot_set([1, 2]), 0.25, 10.0), 0.0)
    ledger.set_loan("b", Loan(make_slot_set([1]), 0.5, 10.0), 2.0)
    assert ledger.get_share(1, 3.0) == 0.75 and ledger.get_share(2, 3.0) == 0.25
    assert ledger.get_integral(1, 4.0) == pytest.approx(0.25 * 4 + 0.5 * 2)
    assert ledger.get_share(0, 4.0) == 0.0


def test_an_expired_loan_counts_until_its_expiry_only():
    """Also without a call at that moment, for example in a paused process."""
    ledger = QuotaShareLedger()
    ledger.set_loan("a", Loan(ALL_SLOTS, 0.5, 2.0), 0.0)
    assert ledger.get_share(7, 9.0) == 0.0
    assert ledger.get_integral(7, 9.0) == pytest.approx(1.0)


def test_a_new_loan_replaces_the_previous_one():
    ledger = QuotaShareLedger()
    ledger.set_loan("a", Loan(make_slot_set([1]), 0.5, 2.0), 0.0)
    ledger.set_loan("a", Loan(make_slot_set([2]), 0.5, 3.0), 1.0)
    assert ledger.get_share(1, 1.0) == 0.0 and ledger.get_share(2, 1.0) == 0.5


def test_the_sum_of_shares_is_at_most_one():
    ledger = QuotaShareLedger()
    for name in "abc":
        ledger.set_loan(name, Loan(ALL_SLOTS, 0.5, 9.0), 0.0)
    assert ledger.get_share(0, 1.0) == 1.0
    assert ledger.get_integral(0, 2.0) == pytest.approx(2.0)


class Lender:
    """One instance that chooses `owner` for all slots."""

    def __init__(self, is_new=True):
        self.owner = "first"
        self.lending = LendingDecider(lambda slot: self.owner, 0.0, is_new)
        self.lending.set_members(["a", "b", "c", "d"], 0.0)

    def send(self, now):
        plan = self.lending.plan(now)
        for name, offer in plan.items():
            self.lending.observe_sent(name, offer, now)
        return {name: offer.slots for name, offer in plan.items()}


def test_each_instance_has_an_even_share():
    lender = Lender()
    assert lender.lending.share == 0.25
    lender.lending.set_members(["a", "b"], 1.0)
    assert lender.lending.share == 0.25
    lender.lending.set_members(["a", "b"], MEMBER_EXPIRY + 1.0)
    assert lender.lending.share == 0.5


def test_a_slot_is_lent_to_another_instance_only_after_its_return():
    lender = Lender()
    assert lender.send(0.0) == {"first": ALL_SLOTS}
    lender.owner = "second"
    plan = lender.lending.plan(0.5)
    assert {name: each.slots for name, each in plan.items()} == {"first": 0}
    assert lender.lending.observe_accepted("first", plan["first"])
    assert lender.send(0.6) == {"second": ALL_SLOTS}


def test_without_an_answer_a_slot_is_free_at_the_expiry_of_its_loan():
    lender = Lender()
    lender.send(0.0)
    lender.owner = "second"
    assert lender.send(LOAN_TIME - 0.1) == {"first": 0}
    assert lender.send(LOAN_TIME) == {"second": ALL_SLOTS}


def test_an_ended_instance_holds_no_slots():
    lender = Lender()
    lender.send(0.0)
    lender.owner = "second"
    lender.lending.observe_ended("first")
    assert lender.send(0.1) == {"second": ALL_SLOTS}


def test_a_restarted_lender_waits_until_its_earlier_loans_have_expired():
    lender = Lender(is_new=False)
    lender.lending.plan(0.0)
    # The first choice could not be reached, and may hold an earlier loan.
    lender.owner = "second"
    assert lender.send(0.5) == {}
    assert lender.send(LOAN_TIME) == {"second": ALL_SLOTS}


def test_a_restarted_lender_does_not_wait_if_the_first_choice_has_ended():
    lender = Lender(is_new=False)
    lender.lending.plan(0.0)
    lender.owner = "second"
    lender.lending.observe_ended("first")
    assert lender.send(0.5) == {"second": ALL_SLOTS}
