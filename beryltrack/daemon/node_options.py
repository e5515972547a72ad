"""The figures that steer a node on the users' platform, with where they come from."""

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
"""Seconds without a word of a primary after which it is replaced: twice the time
between two probes, and more than a status waits in a full queue (0.2 s)."""

CONTROL_IDLE = 1.0
"""Seconds after which a control connection that nothing needs is closed. It is opened
only while the pool has no connection free; a database's limit counts it."""

FIRST_INSTANCES = 8
"""Instances that share the connections for as long as the members are not known:
the most of today's sites."""

# A database that does not answer is asked four times a second, and all of a suspect
# group ten times: a status takes 1 to 4 ms there, and a loss counts after 0.5 s.
# Requests that are late show a lost primary within 0.2 s; one that nobody uses is asked
# each second by the first to act, instead of each 0.4 s for 345 requests in 46 s.
PROBES = ProbePolicy(
    interval=0.25,
    idle_interval=0.25,
    suspect_interval=0.1,
    is_poll_only=True,
    idle_primary_interval=1.0,
)

FAILOVER = FailoverPolicy(
    stagger=0.3,
    # Databases across availability zones answer in 4 ms.
    grant_timeout=0.15,
    # Longer than a promotion takes until it is in force, 0.3 to 1 s.
    settle_time=1.5,
    # A promotion under way holds replicas while the former primary still leads.
    reclaim_after=2.5,
    # A holder of the permit notices a loss within 0.25 s of the others.
    non_holder_delay=0.7,
    # As long as a silence that counts as a loss, and less than a statement may take: a
    # receipt takes 1 to 4 ms. A primary that was cut off from its replicas alone had no
    # write acknowledged for as long as that lasted.
    stalled_after=0.5,
    rotates_ranks=False,
    has_authority=True,
)
# Nobody holds a permit beforehand there, so that the next in rank need not wait for a
# holder: databases that are held show that another one is at work.
UNFENCED_FAILOVER = FAILOVER._replace(former_accepts_writes=True, non_holder_delay=0.0)

# A control request fails after 0.4 s, so that what runs at a silent database is given
# up with the first one that fails; at a replaced primary no answer can be of use.
LOSSES = LossPolicy(grace=0.4, replaced_grace=0.1)

# A wait for a replica costs probes; the primary has room for what replicas miss. A
# primary that was replaced refuses writes by itself: they need no recent proof.
ROUTING = RoutingPolicy(
    max_wait=0.0,
    refresh_share=0.95,
    checks_positions=True,
    confirmed_within=5.0,
    runs_unproven=True,
)
# One that goes on takes writes that nobody confirms: a proof in each change of primary,
# which takes 1.5 to 2 s, keeps callers from an unknown outcome.
UNFENCED_ROUTING = ROUTING._replace(
    samples_position=False, confirmed_within=1.5, proves_transactions=True
)

# A connection costs its database 12 to 30 ms of a slot, so that two are opened at a
# time, and only for requests that wait longer than most statements run. One that is
# open counts against the database's limit for 3 s after its instance has lost power: a
# surplus one is closed soon. Callers wait 1 s and more for an answer, so that a queue
# of 0.6 s is still served in time after a restart, when each has one connection.
# A queue of 0.25 s earned up to 0.04 less of what callers were owed, and never more.
POOLS = PoolPolicy(max_wait=0.6, idle_timeout=0.5, max_opening=2, open_delay=0.03)

# Accounts outnumber the connections, and a new one costs as much as a statement: one
# that rests is kept for its account's next request, until another account needs it. Not
# all for long: a loss of all power leaves databases counting what was open for 3 s. On
# a day with such a loss callers got 0.884 of what they were owed with 4 s of rest, and
# 0.893 with 1 s; in the two seconds after the restart 0.463 and 0.667. So a part rests
# on: accounts that ask each database of a group once in 1 or 2 s opened a new one for
# nearly each operation. The other part is room after such a loss.
KEPT_TIME = 20.0
"""Seconds that connections of the accounts that ask most often rest: one that asks less
often than that spares next to nothing."""

KEPT_PART = 0.6
"""Part of a pool's connections that rest for so long: 5 of an owner's 9. The others are
room for 24 of 54 new connections while the database still counts those."""

ACCOUNT_POOLS = POOLS._replace(
    idle_timeout=1.0,
    retained_idle_timeout=KEPT_TIME,
    retained_fraction=KEPT_PART,
    warm=0,
    max_opening=4,
)

# A session at another instance takes no slot: it is opened at once and kept.
RELAYED_POOLS = POOLS._replace(idle_timeout=10.0, open_delay=0.0)

# A database that is cut off is noticed by its control requests within 0.5 s; the
# kernel clears up what they leave after 2 to 4 s.
TARGET_SOCKETS = SocketLimits(idle=2, interval=1, count=2, user_timeout=2_000)
# Callers rest for long. One that is gone holds a descriptor and no more.
CALLER_SOCKETS = SocketLimits(idle=15, interval=5, count=3, user_timeout=10_000)

# A status takes 1 to 4 ms, and 0.2 s behind a full queue of its database. What is
# left for a new connection after that is enough for its 12 to 30 ms.
# An owner may be at two such requests before it comes to that of another instance. With
# 0.4 s for these too, instances took a full primary for lost and broke what ran on it.
CONTROL = ControlLimits(request_timeout=0.4, reconnect_after=0.2, relayed_factor=3.0)

CONTROL_CONNECT = 0.4
"""Seconds until a new control connection counts as failed; it takes 12 to 30 ms."""

REACH_TIME = 0.1
"""Seconds within which a packet must come back from a database or an owner: they are 1
to 4 ms away. A lost packet is repeated after a second, so that one of 20 opens over a
link that loses 2.5% goes another way for a while."""

RELAY_CONNECT_TIMEOUT = 0.3
"""Seconds until an owner counts as out of reach; it answers in 1 to 4 ms."""

RELAY_TIME = 2.0
"""Seconds within which a statement of another instance must be done, by the longest
limit of a statement; the instance that took it gives it up by its own limit. A pool
refuses what cannot be done in time by its usual hold, which transactions make long: at
0.5 s, 72 instances logged 2,327 such refusals in ten seconds without any trouble."""

RELAY_STREAMS = 16
"""Connections of an instance to the owners for each database. They cost no slot of the
database; more than an instance of today's sites ever uses at once (about 10)."""

RELAY_STALL = 10.0
"""Seconds that another instance may leave an answer unread."""

CONNECT_TIMEOUT = 1.0
"""Seconds until a new connection to a database counts as failed; it takes 12 to
30 ms."""

STORE_TIMEOUT = 2.0
"""Seconds until a call to the store counts as failed; it takes 4 ms, and up to
0.3 s when the store is slow."""

READ_LIMIT = 0.4
"""Seconds after which the answer to a read counts as lost and another database is
asked: reads run for 0.22 s at most, and a full queue of a database lasts 0.2 s."""

MOST_HOLD = 0.35
"""Seconds that a request waits for a database that can take it. Longer than most
of a change of primary is not held: the caller is told when to come back."""

SETTINGS_GAP = 0.1
"""Seconds between two watches of the settings, which are to be in force within 3 s."""

DATABASES_GAP = 1.0
"""Seconds from a change of the databases until the next one is asked for. Nine to
twelve register within two seconds of a start, each change is a call of each instance,
and one that is to leave serves on for 7 s."""

STALL_LIMIT = 10.0
"""Seconds that a caller may leave an answer unread."""

MOST_WAITING = 64
"""Statements that a caller may send ahead; callers of today send one at a time."""


def make_request_policy(route: RouteSettings) -> RequestPolicy:
    """Return the times that bound the requests of a route."""
    timeout = route.statement_timeout
    return RequestPolicy(
        timeout,
        min(MOST_HOLD, timeout / 2),
        timeout,
        READ_LIMIT,
        min(route.priority, LOWEST_PRIORITY),
        route.target_latency,
    )
