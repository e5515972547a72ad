"""Counts by account, and the account with the largest count."""

import random
from collections import Counter

from beryltrack.load.counts import AccountCounts


def test_the_largest_count_is_right_after_each_change():
    counts, model, rng = AccountCounts(), Counter(), random.Random(1)
    for _ in range(2000):
        account = rng.choice("abcdef")
        if rng.random() < 0.5:
            counts.add(account)
            model[account] += 1
        elif model[account]:
            counts.remove(account)
            model[account] -= 1
        assert counts.get(account) == model[account]
        if any(model.values()):
            largest, count = counts.get_largest()
            assert model[largest] == count == max(model.values())
