"""HTTP endpoint of one instance: health, metrics and status.

The load balancer reads ``/health``, the metrics scraper ``/metrics``, and the
operators' tool ``/status``. All pages are read-only.
"""

import json
from collections.abc import Callable

from twisted.web.http import OK
from twisted.web.resource import Resource
from twisted.web.server import Site

from beryltrack.daemon.pages import JSON, TEXT, Page, make_live_page, make_site
from beryltrack.daemon.status import InstanceStatus, encode_status


def build_health_site(
    is_live: Callable[[], bool],
    render_metrics: Callable[[], bytes],
    get_status: Callable[[], InstanceStatus],
) -> Site:
    """Return the HTTP site of one instance.

    Parameters
    ----------
    is_live : callable
        Returns False before the instance can serve and once it is leaving; the
        balancer then sends no new callers.
    render_metrics : callable
        Returns the metrics in the text format of Prometheus.
    get_status : callable
        Returns the instance's status.

    Returns
    -------
    Site
        The protocol factory to listen with.
    """

    def render_status() -> tuple[int, bytes]:
        return OK, json.dumps(encode_status(get_status())).encode()

    root = Resource()
    root.putChild(b"health", make_live_page(is_live))
    root.putChild(b"metrics", Page(TEXT, lambda: (OK, render_metrics())))
    root.putChild(b"status", Page(JSON, render_status))
    return make_site(root)
