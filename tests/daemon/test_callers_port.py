"""An instance whose port for callers is taken while it learns the settings."""

from functools import partial

import pytest
from twisted.internet.error import CannotListenError

from beryltrack.daemon.node import CALLERS_PORT_RETRY_DELAY, NodeState
from tests.daemon import test_silent_store as silent_store


class Reactor(silent_store.Reactor):
    """Refuses to listen on one port until the test frees it."""

    taken = 84

    def listenTCP(self, port, factory, **options):  # noqa: N802
        if port == self.taken:
            raise CannotListenError(options["interface"], port, OSError())
        return super().listenTCP(port, factory, **options)


@pytest.fixture
def make_site(monkeypatch):
    monkeypatch.setattr(silent_store, "Reactor", Reactor)
    return partial(silent_store.Site, monkeypatch)


def test_callers_are_accepted_once_their_port_is_free(make_site):
    """Guards against an instance that never gets ready because it does not retry."""
    site = make_site()
    site.advance(3 * CALLERS_PORT_RETRY_DELAY)
    assert site.node.state is NodeState.STARTING
    site.clock.taken = None
    site.advance(2 * CALLERS_PORT_RETRY_DELAY)
    assert site.node.state is NodeState.LIVE
