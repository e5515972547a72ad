"""The policies of an instance with each mechanism switched off."""

import pytest

from beryltrack.daemon import node_options as options
from beryltrack.daemon.node_policies import make_policies
from beryltrack.settings.mechanisms import Mechanism


def test_with_all_mechanisms_the_values_of_the_options_apply():
    policies = make_policies(True)
    assert policies.pools == options.POOLS
    assert policies.routing == options.ROUTING
    assert policies.failover == options.FAILOVER
    assert policies.uses_indirect_paths and policies.uses_snapshots


def test_without_fencing_other_values_apply():
    policies = make_policies(False)
    assert policies.routing == options.UNFENCED_ROUTING
    assert policies.failover == options.UNFENCED_FAILOVER


@pytest.mark.parametrize("mechanism", Mechanism)
def test_each_switch_changes_something(mechanism):
    assert make_policies(True, frozenset({mechanism})) != make_policies(True)


def test_switches_combine():
    both = {Mechanism.LONG_QUEUE, Mechanism.DEADLINE_ORDER}
    pools = make_policies(True, frozenset(both)).pools
    assert pools.max_wait < options.POOLS.max_wait and not pools.by_deadline


def test_without_early_refusals_owners_refuse_none_early_either():
    policies = make_policies(True, frozenset({Mechanism.EARLY_REFUSAL}))
    assert not (policies.load.refuses_early or policies.pools.refuses_early)


def test_limit_and_order_are_switched_off_separately():
    limit = make_policies(True, frozenset({Mechanism.STATEMENT_LIMIT})).load
    order = make_policies(True, frozenset({Mechanism.PRIORITY_ORDER})).load
    assert (limit.is_limited, limit.is_ordered) == (False, True)
    assert (order.is_limited, order.is_ordered) == (True, False)
