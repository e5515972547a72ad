"""HTTP endpoint of one instance: health, metrics and status.

The balancer asks ``/health``, the scraper ``/metrics``, and the operators' tool
``/status``. Nothing here changes anything.
"""

import json
from collections.abc import Callable

from twisted.web.http import OK, SERVICE_UNAVAILABLE
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from beryltrack.daemon.status import InstanceStatus, encode_status

TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"


class _Page(Resource):
    """A page whose body a function makes at each request.

    Parameters
    ----------
    content_type : bytes
        Type of the body.
    render_body : callable
        Returns status code and body.
    """

    isLeaf = True

    def __init__(
        self, content_type: bytes, render_body: Callable[[], tuple[int, bytes]]
    ):
        super().__init__()
        self._content_type = content_type
        self._render_body = render_body

    def render_GET(self, request: Request) -> bytes:
        """Answer one request."""
        code, body = self._render_body()
        request.setResponseCode(code)
        request.setHeader(b"content-type", self._content_type)
        return body


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
        Returns the metrics in the text form of Prometheus.
    get_status : callable
        Returns the instance's status.

    Returns
    -------
    Site
        The protocol factory to listen with.
    """

    def render_health() -> tuple[int, bytes]:
        if is_live():
            return OK, b"live\n"
        return SERVICE_UNAVAILABLE, b"not live\n"

    def render_status() -> tuple[int, bytes]:
        return OK, json.dumps(encode_status(get_status())).encode()

    root = Resource()
    root.putChild(b"health", _Page(TEXT, render_health))
    root.putChild(b"metrics", _Page(TEXT, lambda: (OK, render_metrics())))
    root.putChild(b"status", _Page(JSON, render_status))
    # A Site of this kind logs each request unless it is told not to.
    site = Site(root)
    site.noisy = False
    site.log = lambda request: None
    return site
