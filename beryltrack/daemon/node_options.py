"""Time-outs, limits and policy values of an instance on the users' platform."""

from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.failover.decider import FailoverPolicy
from beryltrack.groups.adapter import ControlLimits
from beryltrack.groups.policy import ProbePolicy
from beryltrack.load.messages import LOWEST_PRIORITY
from beryltrack.requests.losses import LossPolicy
from beryltrack.requests.protocol import RequestPolicy
from beryltrack.routing.decider import RoutingPolicy
from beryltrack.settings.messages import RouteSettings
from beryltrack.wire.sockets import SocketLimits

LOST_AFTER = 0.5
"""Seconds without an answer of a primary after which it is replaced: twice the probe
interval, and more than a status request waits in a full queue (0.2 s)."""

CONTROL_IDLE_TIMEOUT = 1.0
"""Seconds after which an idle control connection is closed. It is opened only while the
pool has no connection free, and counts against the database's limit."""

ASSUMED_INSTANCES = 8
"""Number of instances assumed to share the connections while the members are unknown:
that of the largest site."""

# A database that does not answer is probed four times a second, and all databases of a
# suspect group ten times: a status takes 1 to 4 ms, and a loss counts after 0.5 s.
# Overdue statements reveal a lost primary within 0.2 s, so the first candidate probes
# an idle one each second only; at 0.4 s it sent 345 requests in 46 s.
PROBES = ProbePolicy(
    interval=0.25,
    idle_interval=0.25,
    suspect_interval=0.1,
    is_poll_only=True,
    idle_primary_interval=1.0,
)

FAILOVER = FailoverPolicy(
    stagger=0.3,
    # Databases in other availability zones answer in 4 ms.
    grant_timeout=0.15,
    # Longer than a promotion takes to be in force, 0.3 to 1 s.
    settle_time=1.5,
    # A promotion in progress holds replicas while the former primary still leads.
    reclaim_after=2.5,
    # The holder of the permit notices a loss within 0.25 s of the others.
    non_holder_delay=0.7,
    # As long as a silence that counts as a loss, and less than a statement may take: a
    # receipt takes 1 to 4 ms. Without it no write is acknowledged for as long as a
    # primary is partitioned from its replicas only.
    stalled_after=0.5,
    rotates_ranks=False,
    has_authority=True,
)
# Without fencing no instance holds a permit in advance, so the next in rank need not
# wait for a holder: a hold on the databases shows that another instance is promoting.
UNFENCED_FAILOVER = FAILOVER._replace(former_accepts_writes=True, non_holder_delay=0.0)

# A control request fails after 0.4 s, so that requests at a silent database are aborted
# with the first one that fails. Answers of a replaced primary are useless.
LOSSES = LossPolicy(grace=0.4, replaced_grace=0.1)

# Waiting for a replica costs probes, and the primary has capacity for the reads that
# replicas cannot serve yet. A replaced primary refuses writes: they need no recent
# proof, a position of the primary shown to include all acknowledged writes.
ROUTING = RoutingPolicy(
    max_wait=0.0,
    refresh_share=0.95,
    checks_positions=True,
    confirmed_within=5.0,
    runs_unproven=True,
)
# Without fencing a replaced primary accepts writes that are never confirmed: a proof
# more recent than a change of primary, which takes 1.5 to 2 s, avoids the unknown
# outcome.
UNFENCED_ROUTING = ROUTING._replace(
    samples_position=False, confirmed_within=1.5, proves_transactions=True
)

# Opening a connection occupies a slot of its database for 12 to 30 ms: at most two are
# opened at a time, and only for requests that wait longer than most statements run. An
# open one counts against the database's limit for 3 s after its instance loses power:
# surplus ones are closed soon. Callers wait 1 s or more for an answer, so that a queue
# of 0.6 s is served in time after a restart, when each instance has one connection. A
# queue of 0.25 s gave callers up to 0.04 less of their entitlement, and never more.
POOLS = PoolPolicy(max_wait=0.6, idle_timeout=0.5, max_opening=2, open_delay=0.03)

# Accounts outnumber the connections, and opening one costs as much as a statement: an
# idle one is retained for its account's next request until another account needs it.
# Not all for long: after a power loss of all instances databases count the open ones
# for 3 s. In a run with such a loss callers got 0.884 of their entitlement with an
# idle time-out of 4 s, and 0.893 with 1 s; in the two seconds after the restart 0.463
# and 0.667. So a fraction stays idle longer: accounts that use each database of a group
# once in 1 or 2 s opened a connection for nearly each operation. The rest is spare
# capacity after such a loss.
RETAINED_IDLE_TIMEOUT = 20.0
"""Seconds that connections of the most active accounts may be idle: retaining one for a
less active account saves next to nothing."""

RETAINED_FRACTION = 0.6
"""Fraction of a pool's connections that are retained so long: 5 of an owner's 9. The
others leave capacity for 24 of 54 new connections while the database still counts the
retained ones of a lost instance."""

ACCOUNT_POOLS = POOLS._replace(
    idle_timeout=1.0,
    retained_idle_timeout=RETAINED_IDLE_TIMEOUT,
    retained_fraction=RETAINED_FRACTION,
    warm=0,
    max_opening=4,
)

# A session at another instance occupies no slot: it is opened at once and retained.
RELAYED_POOLS = POOLS._replace(idle_timeout=10.0, open_delay=0.0)

# Control requests detect an unreachable database within 0.5 s; the kernel closes the
# remaining sockets after 2 to 4 s.
TARGET_SOCKETS = SocketLimits(idle=2, interval=1, count=2, user_timeout=2_000)
# Callers may be idle for long; a vanished one costs only a descriptor.
CALLER_SOCKETS = SocketLimits(idle=15, interval=5, count=3, user_timeout=10_000)

# A status request takes 1 to 4 ms, and 0.2 s behind a full queue of its database; the
# time left after that is enough to open a new connection in 12 to 30 ms.
# An owner may run two such requests before a relayed one. With 0.4 s for these too,
# instances took an overloaded primary for lost and closed the connections to it.
CONTROL_LIMITS = ControlLimits(
    request_timeout=0.4, reconnect_after=0.2, relayed_factor=3.0
)

CONTROL_CONNECT_TIMEOUT = 0.4
"""Seconds until a new control connection counts as failed; it takes 12 to 30 ms."""

REACH_TIMEOUT = 0.1
"""Seconds within which a database or an owner must acknowledge a packet: the round trip
takes 1 to 4 ms. A lost packet is repeated after a second, so that on a link that loses
2.5% one of 20 opened connections takes an indirect path for a while."""

RELAY_CONNECT_TIMEOUT = 0.3
"""Seconds until an owner counts as unreachable; it answers in 1 to 4 ms."""

RELAY_TIMEOUT = 2.0
"""Seconds within which a relayed statement must be done: the longest time-out of a
statement, as the receiving instance applies the route's own. A pool refuses requests
that it cannot serve in time by its mean hold time, which transactions make long: with
0.5 s, 72 healthy instances logged 2,327 such refusals in ten seconds."""

MAX_RELAY_SESSIONS = 16
"""Maximum sessions of an instance at the owners of each database. They occupy no slot
of the database; instances of the largest site use about 10 at once."""

RELAY_STALL_LIMIT = 10.0
"""Seconds that another instance may leave an answer unread."""

CONNECT_TIMEOUT = 1.0
"""Seconds until a new connection to a database counts as failed; it takes 12 to
30 ms."""

STORE_TIMEOUT = 2.0
"""Seconds until a call to the store counts as failed; it takes 4 ms, and up to 0.3 s
when the store is slow."""

READ_TIMEOUT = 0.4
"""Seconds after which the answer to a read counts as lost and it is repeated on another
database: reads run for 0.22 s at most, and a full queue of a database lasts 0.2 s."""

MAX_TARGET_WAIT = 0.35
"""Maximum seconds that a request waits for a database that can serve it: most of a
change of primary. After that its caller is told when to retry."""

SETTINGS_BATCH_DELAY = 0.1
"""Seconds between two watches of the settings, which must be in force within 3 s."""

DATABASES_BATCH_DELAY = 1.0
"""Seconds from a change of the databases until the next watch. Nine to twelve databases
register within two seconds of a start, each change costs a call of each instance, and a
draining one still serves for 7 s."""

MAX_DATABASES_WATCH = 3.0
"""Upper bound of the wait of a watch of the databases, seconds. The report that one
leaves counts from the end of the watch before: a longer wait leaves it less time."""

DRAIN_MARGIN = 0.5
"""Seconds before the limit of draining from which a leaving primary gets no new work: a
statement may be under way, or the instance be busy, for a while."""

STALL_LIMIT = 10.0
"""Seconds that a caller may leave an answer unread."""

MAX_PIPELINED_STATEMENTS = 64
"""Maximum statements that a caller may pipeline; known callers send one at a time."""


def make_request_policy(route: RouteSettings) -> RequestPolicy:
    """Return the time limits of the requests of a route."""
    timeout = route.statement_timeout
    return RequestPolicy(
        timeout,
        min(MAX_TARGET_WAIT, timeout / 2),
        timeout,
        READ_TIMEOUT,
        min(route.priority, LOWEST_PRIORITY),
        route.target_latency,
    )
