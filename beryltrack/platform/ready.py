"""The page by which the platform asks whether an instance takes callers."""

from collections.abc import Callable

from twisted.web.http import (
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
    HTTPChannel,
    HTTPFactory,
    Request,
)

PATH = b"/api/readiness"


class ReadyFactory(HTTPFactory):
    """Answers the platform, which reads the status code alone.

    The site and resources of ``twisted.web.server`` would take 50 ms of each start
    and 4 MB.

    Parameters
    ----------
    is_ready : callable
        Returns whether the instance takes callers.
    """

    noisy = False

    def __init__(self, is_ready: Callable[[], bool], reactor):
        super().__init__(reactor=reactor)
        self.is_ready = is_ready

    def buildProtocol(self, addr) -> HTTPChannel:  # noqa: N802
        """Return a connection whose requests are answered here."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = ReadyRequest
        return channel

    def log(self, request: Request) -> None:
        """Log no request: one comes each second."""


class ReadyRequest(Request):
    """One question of the platform."""

    def process(self) -> None:
        """Answer it."""
        if self.path != PATH:
            self.setResponseCode(NOT_FOUND)
        else:
            is_ready = self.channel.factory.is_ready()
            self.setResponseCode(OK if is_ready else SERVICE_UNAVAILABLE)
        self.setHeader(b"content-length", b"0")
        self.finish()
