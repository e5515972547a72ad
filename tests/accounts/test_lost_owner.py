"""Accounts have their rights again soon after their owner was lost.

The members, which tell 8 s after a loss that an instance is gone, tell nothing while
the store is away. An instance that had no request for the owner lent to it on; the
others passed it over for 2 s at a time, and gave their parts back to it in between. So
the accounts ran by a part of their limit until the store was back: a quarter of all
requests was refused for nine seconds, of six owners one being gone.
"""

import pytest

from beryltrack.accounts.lending import LOAN_TIME
from beryltrack.relay.avoided import MAX_PROBE_INTERVAL
from tests.accounts.network import Network

LIMIT = 1.0 + LOAN_TIME
"""Seconds after a loss within which the others' parts are with the next owner."""

COUNT = 12
OTHERS = (COUNT - 1) / COUNT
"""The parts of all but the one that was lost."""


@pytest.fixture
def network():
    return Network(COUNT)


def ask_often(network, slots):
    """Return what sends requests of a lost owner's accounts, 50 a second in all."""

    def ask():
        live = [each for each in network.instances.values() if not each.is_lost]
        if network.rng.random() < 0.5:
            network.rng.choice(live).ask(network.rng.choice(slots))

    return ask


def least(network, slots):
    return min(network.get_shares(slots).values())


@pytest.mark.parametrize("has_requests", [False, True])
def test_its_accounts_have_their_rights_in_time_and_for_good(network, has_requests):
    owner, slots = network.list_owners()[0]
    ask = ask_often(network, slots) if has_requests else lambda: None
    assert least(network, slots) == pytest.approx(1.0)
    network.instances[owner].is_lost = True
    network.run(LIMIT, ask)
    parts = []
    for _ in range(100):
        network.run(0.1, ask)
        parts.append(least(network, slots))
    assert min(parts) == pytest.approx(OTHERS)


def test_two_that_are_lost_together_cost_no_more_time(network):
    (first, slots), (second, others), *_ = network.list_owners()
    for name in (first, second):
        network.instances[name].is_lost = True
    slots = (*slots, *others)
    network.run(LIMIT)
    assert least(network, slots) == pytest.approx((COUNT - 2) / COUNT)


def test_an_owner_that_answers_again_has_its_slots_again(network):
    owner, slots = network.list_owners()[0]
    network.instances[owner].paused_until = network.now + 6.0
    network.run(LIMIT)
    assert least(network, slots) == pytest.approx(OTHERS)
    network.run(6.0 + MAX_PROBE_INTERVAL)
    parts = [network.instances[owner].get_share(slot) for slot in slots]
    assert min(parts) == pytest.approx(1.0)


def test_one_that_is_cut_off_from_some_is_passed_over_by_these_only(network):
    owner, slots = network.list_owners()[0]
    cut = [name for name in network.instances if name != owner][:4]
    network.cut |= {(name, owner) for name in cut}
    network.run(LIMIT)
    assert network.instances[owner].get_share(slots[0]) == pytest.approx(8 / COUNT)
    network.cut.clear()
    network.run(MAX_PROBE_INTERVAL + LIMIT)
    assert network.instances[owner].get_share(slots[0]) == pytest.approx(1.0)


def test_one_that_was_paused_itself_passes_over_nobody(network):
    """The answers are there: its timers only run before it reads them."""
    name = next(iter(network.instances))
    one, avoided = network.instances[name], []
    one.directory.avoid = lambda *args: avoided.append(args)
    one.accounts._task._on_owner_lost = one.directory.avoid
    for _ in range(5):
        one.paused_until = network.now + 1.1
        network.run(3.0)
    assert avoided == []


def test_a_probe_stands_for_all_requests(network):
    """Callers' requests each cost a third of a second, each 2 s."""
    owner, slots = network.list_owners()[0]
    network.instances[owner].is_lost = True
    network.run(LIMIT)
    asked = []
    for each in network.instances.values():
        each.directory.avoid = lambda name, *_: asked.append(name)
    network.run(10.0, ask_often(network, slots))
    assert asked == []


def test_one_that_leaves_takes_no_link_any_more(network):
    """It would answer probes, and be given requests that it refuses."""
    port = next(iter(network.instances.values())).port
    port.leave()
    assert port.buildProtocol(None) is None


def test_without_probes_it_is_asked_again_each_two_seconds():
    network = Network(COUNT, probes=False)
    owner, slots = network.list_owners()[0]
    network.instances[owner].is_lost = True
    network.run(LIMIT)
    parts = []
    for _ in range(60):
        network.run(0.1)
        parts.append(least(network, slots))
    assert max(parts) == pytest.approx(OTHERS) and min(parts) < 0.8
