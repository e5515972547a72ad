"""Pages over HTTP for processes whose memory and start are paid for.

The sites and resources of ``twisted.web.server`` take 50 ms of each start and 4 MB;
a few fixed pages need none of them.
"""

from collections.abc import Callable, Mapping

from twisted.web.http import (
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
    HTTPChannel,
    HTTPFactory,
    Request,
)

RenderPage = Callable[[], tuple[int, bytes]]
"""Returns the status code and the body of a page."""


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
        code, body = render() if render is not None else (NOT_FOUND, b"")
        self.setResponseCode(code)
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


def make_ready_page(is_ready: Callable[[], bool]) -> RenderPage:
    """Return the page that says whether an instance takes callers."""

    def render() -> tuple[int, bytes]:
        return (OK, b"ready\n") if is_ready() else (SERVICE_UNAVAILABLE, b"")

    return render
