"""Opens connections to targets within a time limit, with errors of the usual types."""

from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused
from beryltrack.settings.messages import Endpoint


class OpeningConnection(Protocol):
    """A connection whose `ready` fires with it once a target has taken it."""

    ready: Deferred
    transport: object

    def close(self) -> None:
        """Close the connection."""


def open_within(
    reactor, endpoint: Endpoint, connection: OpeningConnection, timeout: float
) -> Deferred:
    """Open a connection and wait until it is ready.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens it.
    endpoint : Endpoint
        Where the target listens.
    connection : OpeningConnection
        The connection.
    timeout : float
        Seconds within which it must be ready.

    Returns
    -------
    Deferred
        Fires with the connection. Fails with `ConnectRefused` if the target answered
        and refused, with `ConnectionError` if it cannot be reached.
    """
    opening = TCP4ClientEndpoint(reactor, endpoint.host, endpoint.port, timeout)
    connecting = connectProtocol(opening, connection)
    connecting.addCallback(lambda _: connection.ready)
    timer = reactor.callLater(timeout, _give_up, connection, connecting)

    def stop_timer(result: object) -> object:
        is_late = not timer.active()
        if not is_late:
            timer.cancel()
        if isinstance(result, Failure):
            return _translate(result, is_late)
        return result

    return connecting.addBoth(stop_timer)


def _translate(failure: Failure, is_late: bool) -> Failure:
    """Return why a connection could not be opened, in the usual types.

    Twisted's own errors of connections are no `OSError`. A cancellation from
    outside stays one, so that whoever stops is not taken to have failed.
    """
    if failure.check(ConnectRefused):
        return failure
    if failure.check(CancelledError, ConnectingCancelledError) and not is_late:
        return Failure(CancelledError())
    return Failure(ConnectionError(failure.getErrorMessage()))


def _give_up(connection: OpeningConnection, connecting: Deferred) -> None:
    """End an attempt that takes too long."""
    if connection.transport is not None:
        connection.close()
    else:
        connecting.cancel()
