"""A local site with proxies in the reactor's thread, for tests that use psycopg."""

import contextlib

import psycopg
from twisted.internet import reactor

from beryltrack.daemon.local_site import GROUP, USER, LocalProxies
from beryltrack_standins.site import LocalSite, SiteOptions
from tests.reactor_thread import run


@contextlib.contextmanager
def run_proxies(count=2, options=None, seats=0, era=None):
    """Run stand-ins and proxies; yield the `LocalProxies`.

    With an era, the store's answers contain it.
    """
    site = LocalSite(reactor, options or SiteOptions())
    site.platform.store.era = era
    local = LocalProxies(reactor, site, count, seats)
    run(local.start)
    try:
        yield local
    finally:
        run(local.stop)


def connect(proxy, token=None, **options):
    """Return a psycopg connection to a proxy, with a session token if given."""
    if token is not None:
        options["options"] = f"-c beryltrack.session={token}"
    return psycopg.connect(
        host=proxy.endpoint.host,
        port=proxy.endpoint.port,
        dbname=GROUP,
        user=USER,
        autocommit=options.pop("autocommit", True),
        **options,
    )


def get_token(connection):
    """Return the session token of a connection."""
    return connection.info.parameter_status("beryltrack.session")


def get_primary(local):
    """Return the primary's server, None while no database is primary."""
    servers = local.site.servers
    primaries = [s for s in servers.values() if s.database.status.role == "primary"]
    return max(primaries, key=lambda s: s.database.status.term, default=None)


def set_request_id(connection, request_id):
    """Set the identifier of a connection's next request, so it runs at most once."""
    connection.execute(f"SET beryltrack.request_id = '{request_id}'")
    connection.execute("SET beryltrack.idempotent = off")
