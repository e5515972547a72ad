"""After the loss of an owner, its accounts have their full limit again within seconds.

The member list, which drops a lost instance after 8 s, does not change while the store
is unavailable. Guards against lenders that keep lending to a lost owner meanwhile:
those without requests for it did not notice the loss, and the others avoided it for 2 s
at a time and lent to it again in between. With one of six owners lost, a quarter of all
requests was refused for nine seconds.
"""

import pytest

from beryltrack.accounts.lending import LOAN_TIME
from beryltrack.relay.avoided import MAX_PROBE_INTERVAL
from tests.accounts.network import Network

LIMIT = 1.0 + LOAN_TIME
"""Seconds after a loss within which the next owner has the other instances' shares."""

COUNT = 12
OTHERS = (COUNT - 1) / COUNT
"""The shares of all instances but the lost one."""


@pytest.fixture
def network():
    return Network(COUNT)


def ask_often(network, slots):
    """Return a function that sends requests for some slots, 50 a second in all."""

    def ask():
        live = [each for each in network.instances.values() if not each.is_lost]
        if network.rng.random() < 0.5:
            network.rng.choice(live).ask(network.rng.choice(slots))

    return ask


def get_min_share(network, slots):
    return min(network.get_shares(slots).values())


@pytest.mark.parametrize("has_requests", [False, True])
def test_its_accounts_have_their_limit_again_in_time_and_keep_it(network, has_requests):
    owner, slots = network.list_owners()[0]
    ask = ask_often(network, slots) if has_requests else lambda: None
    assert get_min_share(network, slots) == pytest.approx(1.0)
    network.instances[owner].is_lost = True
    network.run(LIMIT, ask)
    shares = []
    for _ in range(100):
        network.run(0.1, ask)
        shares.append(get_min_share(network, slots))
    assert min(shares) == pytest.approx(OTHERS)


def test_the_loss_of_two_owners_together_takes_no_more_time(network):
    (first, slots), (second, others), *_ = network.list_owners()
    for name in (first, second):
        network.instances[name].is_lost = True
    slots = (*slots, *others)
    network.run(LIMIT)
    assert get_min_share(network, slots) == pytest.approx((COUNT - 2) / COUNT)


def test_an_owner_that_answers_again_has_its_slots_again(network):
    owner, slots = network.list_owners()[0]
    network.instances[owner].paused_until = network.now + 6.0
    network.run(LIMIT)
    assert get_min_share(network, slots) == pytest.approx(OTHERS)
    network.run(6.0 + MAX_PROBE_INTERVAL)
    shares = [network.instances[owner].get_share(slot) for slot in slots]
    assert min(shares) == pytest.approx(1.0)


def test_an_owner_cut_off_from_some_instances_is_avoided_by_these_only(network):
    owner, slots = network.list_owners()[0]
    cut_off = [name for name in network.instances if name != owner][:4]
    network.cut_paths |= {(name, owner) for name in cut_off}
    network.run(LIMIT)
    assert network.instances[owner].get_share(slots[0]) == pytest.approx(8 / COUNT)
    network.cut_paths.clear()
    network.run(MAX_PROBE_INTERVAL + LIMIT)
    assert network.instances[owner].get_share(slots[0]) == pytest.approx(1.0)


def test_an_instance_that_was_paused_itself_avoids_no_owner(network):
    """The answers have arrived, but its timers fire before it reads them."""
    name = next(iter(network.instances))
    one, avoided = network.instances[name], []
    one.directory.avoid = lambda *args: avoided.append(args)
    one.accounts._task._on_owner_lost = one.directory.avoid
    for _ in range(5):
        one.paused_until = network.now + 1.1
        network.run(3.0)
    assert avoided == []


def test_after_failed_probes_no_request_is_sent_to_the_owner(network):
    """Without it, requests of callers are delayed by 0.3 s every 2 s."""
    owner, slots = network.list_owners()[0]
    network.instances[owner].is_lost = True
    network.run(LIMIT)
    asked = []
    for each in network.instances.values():
        each.directory.avoid = lambda name, *_: asked.append(name)
    network.run(10.0, ask_often(network, slots))
    assert asked == []


def test_a_leaving_owner_accepts_no_links(network):
    """Otherwise it answers probes, and receives requests that it refuses."""
    port = next(iter(network.instances.values())).port
    port.leave()
    assert port.buildProtocol(None) is None


def test_without_probes_a_lost_owner_is_retried_every_two_seconds():
    network = Network(COUNT, probes=False)
    owner, slots = network.list_owners()[0]
    network.instances[owner].is_lost = True
    network.run(LIMIT)
    shares = []
    for _ in range(60):
        network.run(0.1)
        shares.append(get_min_share(network, slots))
    assert max(shares) == pytest.approx(OTHERS) and min(shares) < 0.8
