"""Pages that are rendered at each request, and the HTTP sites that serve them."""

from collections.abc import Callable

from twisted.web.http import OK, SERVICE_UNAVAILABLE
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"


class Page(Resource):
    """A page whose body a function renders at each request.

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


def make_live_page(is_live: Callable[[], bool]) -> Page:
    """Return the health page: 200 if an instance accepts callers, else 503."""

    def render() -> tuple[int, bytes]:
        if is_live():
            return OK, b"live\n"
        return SERVICE_UNAVAILABLE, b"not live\n"

    return Page(TEXT, render)


def make_site(root: Resource) -> Site:
    """Return a site that, unlike a plain `Site`, does not log each request."""
    site = Site(root)
    site.noisy = False
    site.log = lambda request: None
    return site
