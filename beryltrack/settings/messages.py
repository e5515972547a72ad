"""The settings in force, as the other slices read them.

The JSON objects that operators write are turned into these tuples once, when
they are accepted, so that no other slice handles bare maps.
"""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """A TCP address by number.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    """

    host: str
    port: int


class DatabaseSettings(NamedTuple):
    """One database of a group, a target.

    Parameters
    ----------
    name : str
        Name of the database, unique in its group.
    endpoint : Endpoint
        Where it listens.
    zone : str
        Its availability zone.
    max_connections : int
        Most connections to it over all proxies together.
    slots : int
        Statements that it runs at once.
    draining : bool
        True if an operator wants it to get no new work and not to lead.
    """

    name: str
    endpoint: Endpoint
    zone: str
    max_connections: int
    slots: int
    draining: bool


class GroupSettings(NamedTuple):
    """One database group.

    Parameters
    ----------
    name : str
        Name of the group; the database name that callers ask for.
    team : str
        The team whose subtree describes it.
    databases : tuple of DatabaseSettings
        Its members.
    user : str
        The user by which proxies log on to the databases.
    password : str
        That user's password; empty if the databases trust it.
    max_age : float
        Staleness that reads accept by default, seconds. Zero: none.
    lost_after : float
        Seconds without a word after which a primary counts as lost.
    ledger_retention : float
        Seconds for which the row of a marked request is kept.
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
        Group that it applies to; empty for each group of the team.
    user : str
        User of the caller that it applies to; empty for all.
    statement : str
        Text that the statement must contain; empty for all.
    max_age : float or None
        Staleness that the read accepts, seconds; None leaves the default.
    reads : str
        ``any`` or ``primary``: where the reads may go.
    idempotent : bool or None
        False marks the request as non-idempotent; None leaves the mark.
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
    """A database name that callers ask for, and how its requests are run.

    Parameters
    ----------
    name : str
        The name that callers ask for.
    group : str
        The group that serves it.
    reads : str
        ``any`` or ``primary``: where the reads may go.
    max_age : float
        Staleness that its reads accept, seconds.
    reads_own_writes : bool
        True if a read must also show all that its own session has written.
    statement_timeout : float
        Seconds that one statement may take.
    target_latency : float
        Seconds within which callers want a whole operation done.
    priority : int
        Zero is the highest.
    is_public : bool
        True if it serves callers of no account, too.
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
        The team; the user may use the groups of this team only.
    secret : str
        SCRAM-SHA-256 secret in the form that PostgreSQL stores; empty means
        trust, which must be asked for in the settings.
    """

    name: str
    team: str
    secret: str


class SiteSettings(NamedTuple):
    """All settings in force on a proxy.

    Parameters
    ----------
    revision : int
        The highest version among the objects it was made of.
    groups : tuple of GroupSettings
        All groups.
    rules : tuple of RuleSettings
        All rules, in order.
    users : tuple of UserSettings
        All users.
    routes : tuple of RouteSettings
        All routes. Without any, callers ask for groups by their names.
    transaction_idle : float
        Seconds after which a transaction that rests may be ended; zero for
        the daemon's own limit.
    """

    revision: int
    groups: tuple[GroupSettings, ...]
    rules: tuple[RuleSettings, ...]
    users: tuple[UserSettings, ...]
    routes: tuple[RouteSettings, ...] = ()
    transaction_idle: float = 0.0


class InstanceSettings(NamedTuple):
    """What one proxy process learns from its settings file.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the fleet.
    zone : str
        Its availability zone.
    listen : Endpoint
        Where callers connect.
    peer_listen : Endpoint
        Where peers connect.
    health_listen : Endpoint
        Where the balancer asks for health and the scraper for metrics.
    platform_url : str
        Base address of the platform's service.
    peer_key : str
        Key that peers prove to each other.
    certificate : str
        File of the TLS certificate and key for callers; empty for none.
    drain_limit : float
        Seconds that a graceful shutdown waits for work in flight.
    peer_seeds : tuple of Endpoint
        Where other instances may be found while the platform cannot tell.
    seats : int
        Number of shares into which connections are divided.
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
