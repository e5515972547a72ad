"""The page by which the platform asks whether an instance takes callers."""

from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import Site

from beryltrack.daemon.pages import make_site, render_live

PATH = (b"api", b"readiness")


def build_ready_site(is_ready: Callable[[], bool]) -> Site:
    """Return the HTTP site; the platform reads the status code alone."""
    root = Resource()
    folder = Resource()
    root.putChild(PATH[0], folder)
    folder.putChild(PATH[1], render_live(is_ready))
    return make_site(root)
