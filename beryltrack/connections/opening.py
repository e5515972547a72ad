"""Opens connections to targets within a time limit, with errors of the usual types."""

from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError, NoRouteError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused, TargetUnreachable
from beryltrack.settings.messages import Endpoint


class OpeningConnection(Protocol):
    """A connection whose `ready` fires with it once a target has taken it."""

    ready: Deferred
    transport: object

    def close(self) -> None:
        """Close the connection."""


def open_within(
    reactor,
    endpoint: Endpoint,
    connection: OpeningConnection,
    timeout: float,
    reach_timeout: float | None = None,
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
    reach_timeout : float, optional
        Seconds within which the target must be reached at all; it may be ready later.

    Returns
    -------
    Deferred
        Fires with the connection. Fails with `ConnectRefused` if the target answered
        and refused, with `TargetUnreachable` if nothing came back in time, and with
        another `ConnectionError` if it is not ready in time or breaks off.
    """
    reach = timeout if reach_timeout is None else min(reach_timeout, timeout)
    opening = TCP4ClientEndpoint(reactor, endpoint.host, endpoint.port, reach)
    connecting = connectProtocol(opening, connection)
    connecting.addCallback(lambda _: connection.ready)
    timer = reactor.callLater(timeout, _give_up, connection, connecting)

    def stop_timer(result: object) -> object:
        is_late = not timer.active()
        if not is_late:
            timer.cancel()
        if isinstance(result, Failure):
            return _translate(result, is_late, connection.transport is not None)
        return result

    return connecting.addBoth(stop_timer)


def _translate(failure: Failure, is_late: bool, is_reached: bool) -> Failure:
    """Return why a connection could not be opened, in the usual types.

    Twisted's own errors of connections are no `OSError`. A cancellation from
    outside stays one, so that whoever stops is not taken to have failed.
    """
    if failure.check(ConnectRefused):
        return failure
    if failure.check(CancelledError, ConnectingCancelledError) and not is_late:
        return Failure(CancelledError())
    text = failure.getErrorMessage()
    if is_late or failure.check(ConnectTimeout, NoRouteError):
        kind = ConnectionError if is_reached else TargetUnreachable
        return Failure(kind(text))
    return Failure(ConnectionError(text))


def _give_up(connection: OpeningConnection, connecting: Deferred) -> None:
    """End an attempt that takes too long."""
    if connection.transport is not None:
        connection.close()
    else:
        connecting.cancel()
