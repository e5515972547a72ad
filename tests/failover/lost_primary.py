"""Creates a failover task that detects a lost primary, for the tests here."""

from random import Random

from beryltrack.failover.detector import FixedTimeoutDetector
from beryltrack.failover.task import FailoverTask
from beryltrack.groups.messages import PRIMARY, REPLICA, LogPosition
from beryltrack.groups.view import DatabaseView, GroupView
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings

NAMES = ("a", "b", "c")
END = LogPosition(1, 5)


class Delegate:
    """The group's task; records reports."""

    draining = frozenset()

    def __init__(self, clock):
        self.get_time = clock.seconds
        self.task = None
        self.reports = []

    def observe_status(self, status, sent_at):
        pass

    def report_failover(self, report):
        self.reports.append(report)


def lose_primary(clock, databases, authority, policy, view=None):
    """Give a task a view in which ``a`` is lost, or `view`; return its delegate."""
    members = tuple(
        DatabaseSettings(name, Endpoint("10.0.0.1", 1), "z", 9, 3, False)
        for name in NAMES
    )
    delegate = Delegate(clock)
    task = FailoverTask(
        clock,
        GroupSettings("main", "", members, "", "", 0.0, 0.5),
        databases,
        "node",
        Random(1),
        delegate,
        FixedTimeoutDetector(0.5),
        policy,
        authority,
    )
    delegate.task = task
    lost = [
        DatabaseView(name, REPLICA, 1, END, END, (), True, seen_at=0.0, heard_age=0.6)
        for name in "bc"
    ]
    primary = DatabaseView("a", PRIMARY, 1, END, END)
    task.observe_view(
        view or GroupView("main", 1, "a", databases=(primary, *lost), last_primary="a")
    )
    return delegate
