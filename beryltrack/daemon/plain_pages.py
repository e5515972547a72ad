"""Pages over HTTP for processes whose memory and start are paid for.

The sites and resources of ``twisted.web.server`` take 50 ms of each start and 4 MB;
a few fixed pages need none of them.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from twisted.web.http import (
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
    HTTPChannel,
    HTTPFactory,
    Request,
)

TEXT = b"text/plain; charset=utf-8"
JSON = b"application/json"


class Page(NamedTuple):
    """An answer to a request for a page.

    Parameters
    ----------
    code : int
        Status code.
    body : bytes
        What it shows.
    content_type : bytes
        The form of that.
    """

    code: int
    body: bytes = b""
    content_type: bytes = TEXT


RenderPage = Callable[[], Page]
"""Returns a page as it is now."""


class PlainPages(HTTPFactory):
    """Serves pages by their paths.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    pages : mapping of bytes to callable
        What renders each page, by its path.
    """

    noisy = False

    def __init__(self, reactor, pages: Mapping[bytes, RenderPage]):
        super().__init__(reactor=reactor)
        self.pages = pages

    def buildProtocol(self, addr) -> HTTPChannel:  # noqa: N802
        """Return a connection whose requests are answered here."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = PlainRequest
        return channel

    def log(self, request: Request) -> None:
        """Log no request: they come each second."""


class PlainRequest(Request):
    """One request for a page."""

    def process(self) -> None:
        """Answer it."""
        render = self.channel.factory.pages.get(self.path)
        page = render() if render is not None else Page(NOT_FOUND)
        self.setResponseCode(page.code)
        self.setHeader(b"content-type", page.content_type)
        self.setHeader(b"content-length", b"%d" % len(page.body))
        self.write(page.body)
        self.finish()


def make_ready_page(is_ready: Callable[[], bool]) -> RenderPage:
    """Return the page that says whether an instance takes callers."""

    def render() -> Page:
        return Page(OK, b"ready\n") if is_ready() else Page(SERVICE_UNAVAILABLE)

    return render
