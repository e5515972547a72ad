"""An example status for the tests of the daemon's pages and of the operators' tool."""

from beryltrack.daemon.status import (
    DatabaseReport,
    GroupReport,
    InstanceStatus,
    ObjectVersion,
)
from beryltrack.findings import Finding
from beryltrack.metrics.messages import Counters

DATABASES = (
    DatabaseReport("db0", "primary", "2/7", "2/7", 0.0, True, False),
    DatabaseReport("db1", "replica", "2/7", "2/6", 0.25, True, False),
    DatabaseReport("db2", "", "", "", None, False, True),
)
STATUS = InstanceStatus(
    "p1",
    "a",
    "live",
    9,
    (ObjectVersion("settings/shop/groups/orders", 9),),
    (Finding("settings/shop/rules/x", "/group", "not in force"),),
    (GroupReport("orders", 2, "db0", DATABASES),),
    Counters(3, 1, 2, 0, 0, 0, 1),
)
