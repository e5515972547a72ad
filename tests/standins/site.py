"""A local site of stand-ins for tests, and blocking clients for it."""

import json
import urllib.error
import urllib.request
from contextlib import contextmanager
from typing import NamedTuple

import psycopg
from twisted.internet import reactor

from beryltrack_standins.site import DEFAULT_OPTIONS, LocalSite
from tests.reactor_thread import run


class HttpAnswer(NamedTuple):
    """The HTTP status and the JSON object of an answer."""

    code: int
    body: dict


@contextmanager
def running_site(options=DEFAULT_OPTIONS):
    """Start a site, and stop it at the end."""
    site = run(LocalSite, reactor, options)
    run(site.start)
    try:
        yield site
    finally:
        run(site.stop)


def connect(site, name, **options):
    """Open a psycopg connection to a database of the site."""
    endpoint = site.servers[name].endpoint
    return psycopg.connect(
        host=endpoint.host,
        port=endpoint.port,
        dbname="main",
        **{"user": "tester", "autocommit": True, **options},
    )


def call(url, method="GET", body=None):
    """Call an HTTP interface of the stand-ins and return its answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return HttpAnswer(answer.status, json.load(answer))
    except urllib.error.HTTPError as error:
        return HttpAnswer(error.code, json.load(error))
