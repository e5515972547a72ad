"""Opens connections to targets within a time limit, with a fixed set of error types."""

from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError, NoRouteError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.python.failure import Failure

from beryltrack.connections.messages import ConnectRefused, TargetUnreachable
from beryltrack.settings.messages import Endpoint


class OpeningConnection(Protocol):
    """A connection whose `ready` fires with it when the target has accepted it."""

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
        Opens the connection and measures the timeouts.
    endpoint : Endpoint
        Address of the target.
    connection : OpeningConnection
        The connection.
    timeout : float
        Seconds within which it must be ready.
    reach_timeout : float, optional
        Seconds within which the TCP connection must be established.

    Returns
    -------
    Deferred
        Fires with the connection. Fails with `ConnectRefused` if the target refused the
        session, with `TargetUnreachable` if no packet arrived from it in time, and with
        another `ConnectionError` if the connection is not ready in time or ends.
    """
    reach = timeout if reach_timeout is None else min(reach_timeout, timeout)
    opening = TCP4ClientEndpoint(reactor, endpoint.host, endpoint.port, reach)
    connecting = connectProtocol(opening, connection)
    connecting.addCallback(lambda _: connection.ready)
    timer = reactor.callLater(timeout, _abort, connection, connecting)

    def stop_timer(result: object) -> object:
        is_late = not timer.active()
        if not is_late:
            timer.cancel()
        if isinstance(result, Failure):
            return _translate(result, is_late, connection.transport is not None)
        return result

    return connecting.addBoth(stop_timer)


def _translate(failure: Failure, is_late: bool, is_reached: bool) -> Failure:
    """Return a failure to open a connection as one of the documented types.

    Twisted's connection errors are no `OSError`. A cancellation by the caller of
    `open_within` stays a `CancelledError`, so that it is not taken for a failure.
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


def _abort(connection: OpeningConnection, connecting: Deferred) -> None:
    """Abort an attempt that has timed out."""
    if connection.transport is not None:
        connection.close()
    else:
        connecting.cancel()
