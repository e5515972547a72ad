"""A graceful shutdown cuts off no transaction and removes the instance's status."""

import urllib.error
import urllib.request

import psycopg
import pytest
from twisted.internet.defer import Deferred

from tests.local_proxies import connect, run_proxies
from tests.reactor_thread import run


def get_health(endpoint):
    try:
        url = f"http://{endpoint.host}:{endpoint.port}/health"
        return urllib.request.urlopen(url).status
    except urllib.error.HTTPError as error:
        return error.code


def test_transaction_in_flight_ends_before_the_instance_does():
    with run_proxies() as local:
        proxy = local.proxies.pop(0)
        entry, health = proxy.endpoint, proxy.health_endpoint
        with connect(proxy, autocommit=False) as caller:
            caller.execute("CREATE TABLE t (n int)")
            caller.commit()
            caller.execute("INSERT INTO t VALUES (1)")
            assert get_health(health) == 200
            leaving = run(lambda: [Deferred.fromCoroutine(proxy.leave())])
            assert get_health(health) == 503
            with pytest.raises(psycopg.OperationalError):
                psycopg.connect(host=entry.host, port=entry.port)
            caller.commit()
        run(lambda: leaving[0])
        with pytest.raises(urllib.error.URLError):
            get_health(health)
        path = f"status/instances/{proxy.settings.name}"
        assert local.site.platform.store.get(path) is None
        with connect(local.proxies[0]) as caller:
            assert caller.execute("SELECT n FROM t").fetchall() == [(1,)]
