"""Typed settings, as the other packages read them.

The JSON objects that operators write are converted to these tuples once, when
they are accepted, so that no other package handles untyped maps.

A group is a primary database and its replicas; a target is a database that the
proxy connects to; a caller is a client account.
"""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP address and a TCP port.

    Parameters
    ----------
    host : str
        IP address, not a host name.
    port : int
        TCP port.
    """

    host: str
    port: int


class DatabaseSettings(NamedTuple):
    """One database of a group: a target.

    Parameters
    ----------
    name : str
        Name of the database, unique in its group.
    endpoint : Endpoint
        Address at which it listens.
    zone : str
        Its availability zone.
    max_connections : int
        Maximum number of connections to it from all proxies together.
    slots : int
        Number of statements that it runs concurrently.
    draining : bool
        True if it must receive no new work and must not be the primary.
    leaving_since : float or None
        If it drains, the earliest time of the instance's clock at which it can have
        reported that; None if that is not known.
    """

    name: str
    endpoint: Endpoint
    zone: str
    max_connections: int
    slots: int
    draining: bool
    leaving_since: float | None = None


class GroupSettings(NamedTuple):
    """One database group.

    Parameters
    ----------
    name : str
        Name of the group; the database name that callers connect to.
    team : str
        The team whose subtree holds it.
    databases : tuple of DatabaseSettings
        Its members.
    user : str
        The user with which proxies log on to the databases.
    password : str
        That user's password; empty if the databases trust it.
    max_age : float
        Default staleness that reads accept, seconds; zero for none.
    lost_after : float
        Failure detection timeout: seconds without a message from the primary
        after which it counts as lost.
    ledger_retention : float
        Seconds for which the ledger row of an at-most-once request is retained.
    """

    name: str
    team: str
    databases: tuple[DatabaseSettings, ...]
    user: str
    password: str
    max_age: float
    lost_after: float
    ledger_retention: float = 604800.0


class RuleSettings(NamedTuple):
    """One routing rule; the first rule that matches a request applies.

    Parameters
    ----------
    name : str
        Name of the rule; rules are tried in the order of their names.
    team : str
        The team whose subtree holds it.
    group : str
        Group that it applies to; empty for all groups of the team.
    user : str
        User of the caller that it applies to; empty for all users.
    statement : str
        Text that the statement must contain; empty for all statements.
    max_age : float or None
        Staleness that the read accepts, seconds; None for the group's default.
    reads : str
        ``any`` or ``primary``: the databases that may run the reads.
    idempotent : bool or None
        False declares the request non-idempotent; None keeps the caller's choice.
    """

    name: str
    team: str
    group: str
    user: str
    statement: str
    max_age: float | None
    reads: str
    idempotent: bool | None


class RouteSettings(NamedTuple):
    """A database name that callers connect to, and how its requests are run.

    Parameters
    ----------
    name : str
        The name that callers connect to.
    group : str
        The group that serves it.
    reads : str
        ``any`` or ``primary``: the databases that may run the reads.
    max_age : float
        Staleness that its reads accept, seconds.
    reads_own_writes : bool
        True for the read-your-writes guarantee: a read also sees all that its own
        session has written.
    statement_timeout : float
        Maximum duration of one statement, seconds.
    target_latency : float
        Time within which callers want an operation to complete, seconds.
    priority : int
        Priority of its requests; zero is the highest.
    is_public : bool
        True if it also serves clients without an account.
    """

    name: str
    group: str
    reads: str
    max_age: float
    reads_own_writes: bool
    statement_timeout: float
    target_latency: float
    priority: int
    is_public: bool = False


class UserSettings(NamedTuple):
    """One user that callers may log on as.

    Parameters
    ----------
    name : str
        Name of the user.
    team : str
        The team; the user may use only the groups of this team.
    secret : str
        SCRAM-SHA-256 secret in the form that PostgreSQL stores; empty for log-on
        without a password, which the settings must allow with ``trust``.
    """

    name: str
    team: str
    secret: str


class SiteSettings(NamedTuple):
    """All settings in force on a proxy.

    Parameters
    ----------
    revision : int
        The highest version among the objects that they were built from.
    groups : tuple of GroupSettings
        All groups.
    rules : tuple of RuleSettings
        All rules, in order.
    users : tuple of UserSettings
        All users.
    routes : tuple of RouteSettings
        All routes. Without any, callers connect to groups by their names.
    transaction_idle : float
        Seconds after which an idle transaction may be ended; zero for the
        daemon's own limit.
    """

    revision: int
    groups: tuple[GroupSettings, ...]
    rules: tuple[RuleSettings, ...]
    users: tuple[UserSettings, ...]
    routes: tuple[RouteSettings, ...] = ()
    transaction_idle: float = 0.0


class InstanceSettings(NamedTuple):
    """Settings that one proxy process reads from its settings file.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the fleet.
    zone : str
        Its availability zone.
    listen : Endpoint
        Listen address for callers.
    peer_listen : Endpoint
        Listen address for peers.
    health_listen : Endpoint
        Listen address for health checks and metrics.
    platform_url : str
        Base URL of the platform's service.
    peer_key : str
        Shared key with which peers authenticate each other.
    certificate : str
        File of the TLS certificate and key for callers; empty for no TLS.
    drain_limit : float
        Maximum time that a graceful shutdown waits for work in flight, seconds.
    peer_seeds : tuple of Endpoint
        Addresses at which to look for other instances while the platform is
        unavailable.
    seats : int
        Number of seats: shares into which the connections are divided.
    """

    name: str
    zone: str
    listen: Endpoint
    peer_listen: Endpoint
    health_listen: Endpoint
    platform_url: str
    peer_key: str
    certificate: str
    drain_limit: float
    peer_seeds: tuple[Endpoint, ...] = ()
    seats: int = 8
