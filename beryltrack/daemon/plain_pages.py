"""A minimal HTTP server for a few fixed pages, with low memory use and start-up time.

The sites and resources of ``twisted.web.server`` would take 50 ms of each start and
4 MB.
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
    """The response to a request for a page.

    Parameters
    ----------
    code : int
        Status code.
    body : bytes
        The content.
    content_type : bytes
        Media type of the body.
    """

    code: int
    body: bytes = b""
    content_type: bytes = TEXT


RenderPage = Callable[[], Page]
"""Renders the current state of a page."""


class PlainPages(HTTPFactory):
    """Serves pages by their paths.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    pages : mapping of bytes to callable
        Functions that render the pages, by path.
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
        """Log nothing, as health checks arrive each second."""


class PlainRequest(Request):
    """A request for a page; unknown paths are answered with 404."""

    def process(self) -> None:
        """Render the page and send it."""
        render = self.channel.factory.pages.get(self.path)
        page = render() if render is not None else Page(NOT_FOUND)
        self.setResponseCode(page.code)
        self.setHeader(b"content-type", page.content_type)
        self.setHeader(b"content-length", b"%d" % len(page.body))
        self.write(page.body)
        self.finish()


def make_ready_page(is_ready: Callable[[], bool]) -> RenderPage:
    """Return the ready page: 200 if an instance accepts callers, else 503."""

    def render() -> Page:
        return Page(OK, b"ready\n") if is_ready() else Page(SERVICE_UNAVAILABLE)

    return render
