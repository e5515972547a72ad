"""Decisions that depend on the options of an instance on the users' platform."""

import pytest

from beryltrack.daemon import node_options as options
from beryltrack.groups.messages import PRIMARY, LogPosition
from beryltrack.groups.poll_schedule import PollContext, PollSchedule
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.routing.decider import choose_target
from beryltrack.routing.messages import NeedSample, UseTarget, WriteRequest

END = LogPosition(1, 5)
PRIMARY_VIEW = DatabaseView("a", PRIMARY, 1, END, END, reachable=True, seen_at=10.0)


def make_view(confirmed_at):
    return GroupView("g", 1, "a", END, confirmed_at, (PRIMARY_VIEW,))


@pytest.mark.parametrize(
    ("routing", "age", "kind"),
    [
        (options.ROUTING, 4.0, UseTarget),
        (options.ROUTING, 6.0, NeedSample),
        (options.UNFENCED_ROUTING, 1.0, UseTarget),
        (options.UNFENCED_ROUTING, 2.0, NeedSample),
    ],
)
def test_a_write_needs_a_recent_proof_where_a_replaced_primary_would_take_it(
    routing, age, kind
):
    choice = choose_target(make_view(10.0 - age), WriteRequest(10.0), (), 10.0, routing)
    assert type(choice) is kind


def test_a_primary_that_has_just_answered_is_not_probed():
    schedule = PollSchedule(options.PROBES)
    delays = [
        schedule.compute_delay(
            make_view(9.0),
            PRIMARY_VIEW,
            PollContext(False, False, True, heard_at),
            10.0,
        )
        for heard_at in (10.0, 9.5, 9.0)
    ]
    assert delays == [1.0, 0.5, options.PROBES.poll_interval]
