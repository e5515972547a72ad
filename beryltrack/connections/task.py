"""The connection pool of one database.

`PoolTask` owns the connections and the timer and carries out the actions that
`PoolDecider` returns.
"""

import logging
import random
from collections import deque
from collections.abc import Callable
from itertools import count

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from beryltrack.connections.messages import (
    CloseConnection,
    ConnectRefused,
    GiveConnection,
    OpenConnection,
    PoolAction,
    PooledConnection,
    PoolLoad,
    PoolRefusal,
    PoolRefused,
    RefusalReason,
    RefuseWaiter,
)
from beryltrack.connections.pool import MIN_RETRY_AFTER, PoolDecider
from beryltrack.connections.pool_policy import PoolPolicy
from beryltrack.errors import TOO_MANY_CONNECTIONS
from beryltrack.load.messages import DEFAULT_DEMAND, Demand, ExpectedTimes
from beryltrack.settings.messages import DatabaseSettings

log = logging.getLogger(__name__)


class PoolTask:
    """Pools the connections to one database.

    Parameters
    ----------
    reactor : IReactorTime
        The clock; a `task.Clock` in tests.
    database : DatabaseSettings
        The database.
    connect : callable
        Opens a connection for an account: returns a Deferred of a `PooledConnection`
        that is ready for a request. The Deferred must fire within a bounded time.
    policy : PoolPolicy
        Limits and timeouts of the pool.
    limit : int or None
        Maximum number of connections; by default the database's `max_connections`. A
        budget changes it by `set_limit`.
    rng : random.Random or None
        For the jitter of back-offs.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        database: DatabaseSettings,
        connect: Callable[[str], Deferred[PooledConnection]],
        policy: PoolPolicy | None = None,
        limit: int | None = None,
        rng: random.Random | None = None,
    ):
        self._reactor = reactor
        self._name = database.name
        self._connect = connect
        first_limit = database.max_connections if limit is None else limit
        self._decider = PoolDecider(
            policy or PoolPolicy(), first_limit, rng or random.Random()
        )
        self._waiter_numbers = count(1)
        self._waiters: dict[int, Deferred[PooledConnection]] = {}
        self._connections: dict[int, PooledConnection] = {}
        self._numbers: dict[PooledConnection, int] = {}
        self._retired: set[int] = set()
        self._is_stale: Callable[[PooledConnection], bool] = lambda _: False
        self._timer: IDelayedCall | None = None
        self._timer_at = 0.0
        self._listeners: list[Callable[[], None]] = []
        self._drained: list[Deferred[None]] = []
        self._actions: deque[PoolAction] = deque()
        self._is_performing = False
        self._reported_use = (0, False)

    @property
    def load(self) -> PoolLoad:
        """The pool's load now."""
        return self._decider.get_load(self._reactor.seconds())

    @property
    def outstanding(self) -> int:
        """Requests that hold a connection or wait for one."""
        return self._decider.outstanding

    @property
    def limit(self) -> int:
        """Maximum number of connections that may be open."""
        return self._decider.limit

    @property
    def _now(self) -> float:
        return self._reactor.seconds()

    def get_expected_times(self, demand: Demand) -> ExpectedTimes:
        """Return no estimate: a pool has no load reports of its target."""
        return ExpectedTimes()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the pool's use or demand."""
        self._listeners.append(callback)

    def start(self) -> None:
        """Open the warm connections."""
        self._tick()

    def acquire(
        self, deadline: float, demand: Demand = DEFAULT_DEMAND
    ) -> Deferred[PooledConnection]:
        """Get a connection for one request or transaction.

        Parameters
        ----------
        deadline : float
            Time of the reactor's clock, in seconds, by which the request must be done.
        demand : Demand
            The request's demand; the connection belongs to its account.

        Returns
        -------
        Deferred of PooledConnection
            Fails with `PoolRefused` as soon as the pool refuses the request, which was
            not run then. Cancelling it removes the request from the queue.
        """
        waiter = next(self._waiter_numbers)
        result: Deferred[PooledConnection] = Deferred(lambda _: self._cancel(waiter))
        self._waiters[waiter] = result
        actions = self._decider.acquire(waiter, deadline, self._now, demand.account)
        self._perform(actions)
        return result

    def acquire_briefly(
        self, wait_limit: float, open_limit: float
    ) -> Deferred[PooledConnection | None]:
        """Get a connection for a short request of the proxy itself.

        Parameters
        ----------
        wait_limit : float
            Seconds to wait for a connection in use.
        open_limit : float
            Seconds to wait if no connection is open.

        Returns
        -------
        Deferred of PooledConnection or None
            The connection, which has to be released; None if none is free in time.
        """
        waiter = next(self._waiter_numbers)
        result: Deferred = Deferred(lambda _: self._cancel(waiter))
        self._waiters[waiter] = result
        self._perform(self._decider.acquire_briefly(waiter, self._now))
        if not result.called:
            limit = wait_limit if self._connections else open_limit
            result.addTimeout(limit, self._reactor)
        return result.addErrback(_return_none)

    def release(
        self, connection: PooledConnection, reusable: bool, has_run: bool = True
    ) -> None:
        """Return a connection to the pool.

        Parameters
        ----------
        connection : PooledConnection
            A connection from `acquire`.
        reusable : bool
            False if its state is uncertain; it is closed then.
        has_run : bool
            False if the request did not run on it; ignored here.
        """
        number = self._numbers.get(connection)
        if number is None:
            return
        is_retired = number in self._retired
        is_reusable = reusable and not (connection.broken or is_retired)
        self._perform(self._decider.release(number, is_reusable, self._now))

    def set_limit(self, limit: int) -> None:
        """Change how many connections may be open; a surplus closes when idle."""
        if limit != self._decider.limit:
            self._perform(self._decider.set_limit(limit, self._now))

    def set_policy(self, policy: PoolPolicy) -> None:
        """Replace the policy for all later decisions."""
        self._decider.set_policy(policy)

    def enforce_limit(self, limit: int) -> None:
        """Close connections beyond `limit` at once, also those in use."""
        self._perform(self._decider.enforce_limit(limit))

    def observe_reachable(self) -> None:
        """End a back-off at once, as the target answers on another connection."""
        self._perform(self._decider.observe_reachable(self._now))

    def break_connections(self) -> None:
        """Close all connections at once, also those in use, as the target is lost."""
        for connection in tuple(self._connections.values()):
            connection.close()

    def retire(self, is_stale: Callable[[PooledConnection], bool]) -> None:
        """Retire stale connections; those in use close when they are released.

        Parameters
        ----------
        is_stale : callable
            Returns whether a connection is stale. It is also called for each connection
            that opens later, as its opening may have begun before.
        """
        self._is_stale = is_stale
        self.retire_stale()

    def retire_stale(self) -> None:
        """Retire the connections that are stale now."""
        for connection in filter(self._is_stale, tuple(self._numbers)):
            self._retire(connection)

    def get_connections(self) -> tuple[PooledConnection, ...]:
        """Return all connections that are open."""
        return tuple(self._numbers)

    def close_idle(self, connection: PooledConnection) -> None:
        """Close a connection unless it is in use."""
        if self._numbers.get(connection) in self._decider.idle_numbers:
            connection.close()

    def _retire(self, connection: PooledConnection) -> None:
        """Close a connection now, or when it is released."""
        number = self._numbers[connection]
        self._retired.add(number)
        self.close_idle(connection)

    def get_running(self) -> list[PooledConnection]:
        """Return the connections on which a request runs."""
        return [
            connection
            for connection in self._connections.values()
            if connection.run_since is not None
        ]

    def drain(self) -> Deferred[None]:
        """Refuse new requests; fires when all connections are closed."""
        done: Deferred[None] = Deferred()
        self._drained.append(done)
        self._perform(self._decider.drain(self._now))
        return done

    def resume(self) -> None:
        """Accept requests again after a drain."""
        self._perform(self._decider.resume(self._now))

    def _cancel(self, waiter: int) -> None:
        self._waiters.pop(waiter, None)
        self._decider.cancel(waiter)
        self._perform([])

    def _perform(self, actions: list[PoolAction]) -> None:
        """Carry out actions, then set the timer.

        A callback may call the pool again; its actions are appended to the queue.
        """
        self._actions.extend(actions)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._actions:
                self._perform_one(self._actions.popleft())
        finally:
            self._is_performing = False
        self._set_timer()
        self._notify_listeners()
        if self._decider.is_drained:
            self._finish_drain()

    def _perform_one(self, action: PoolAction) -> None:
        match action:
            case GiveConnection():
                self._give(action)
            case RefuseWaiter():
                self._refuse(action)
            case OpenConnection():
                self._open(action)
            case CloseConnection():
                connection = self._connections.get(action.connection)
                if connection is not None:
                    connection.close()

    def _notify_listeners(self) -> None:
        """Call the listeners if the use of the limit has changed."""
        use = (self._decider.open_count, self._decider.is_oversubscribed)
        if use != self._reported_use:
            self._reported_use = use
            for callback in self._listeners:
                callback()

    def _give(self, action: GiveConnection) -> None:
        connection = self._connections.get(action.connection)
        waiter = self._waiters.pop(action.waiter, None)
        if waiter is None:
            self._perform(self._decider.release(action.connection, True, self._now))
        elif connection is None:
            refusal = PoolRefusal(RefusalReason.UNREACHABLE, MIN_RETRY_AFTER)
            waiter.errback(PoolRefused(refusal))
        else:
            waiter.callback(connection)

    def _refuse(self, action: RefuseWaiter) -> None:
        waiter = self._waiters.pop(action.waiter, None)
        if waiter is not None:
            waiter.errback(PoolRefused(action.refusal))

    def _open(self, action: OpenConnection) -> None:
        number = action.connection
        self._connect(action.account).addCallbacks(
            self._observe_opened,
            self._observe_open_failed,
            callbackArgs=(number,),
            errbackArgs=(number,),
        )

    def _observe_opened(self, connection: PooledConnection, number: int) -> None:
        self._connections[number] = connection
        self._numbers[connection] = number
        actions = self._decider.observe_opened(number, self._now)
        connection.closed.addBoth(self._observe_closed, connection, number)
        self._perform(actions)
        if connection in self._numbers and self._is_stale(connection):
            self._retire(connection)

    def _observe_open_failed(self, failure: Failure, number: int) -> None:
        log.warning(
            "connections: cannot open a connection to %s: %s",
            self._name,
            failure.getErrorMessage(),
        )
        is_full = _is_full(failure)
        self._perform(self._decider.observe_open_failed(number, self._now, is_full))

    def _observe_closed(
        self, result: object, connection: PooledConnection, number: int
    ) -> object:
        del self._connections[number]
        del self._numbers[connection]
        self._retired.discard(number)
        self._perform(self._decider.observe_closed(number, self._now))
        return result

    def _finish_drain(self) -> None:
        drained, self._drained = self._drained, []
        for done in drained:
            done.callback(None)

    def _set_timer(self) -> None:
        """Set the single timer to the time at which `_tick` is next due."""
        wakeup = self._decider.get_wakeup(self._now)
        if self._timer is not None and self._timer.active():
            if wakeup is not None and self._timer_at <= wakeup:
                return
            self._timer.cancel()
        self._timer = None
        if wakeup is not None:
            self._timer_at = wakeup
            self._timer = self._reactor.callLater(
                max(0.0, wakeup - self._now), self._tick
            )

    def _tick(self) -> None:
        self._timer = None
        self._perform(self._decider.tick(self._now))


def _is_full(failure: Failure) -> bool:
    """Return whether a target refused a connection at its connection limit."""
    refused = failure.check(ConnectRefused) is not None
    return refused and failure.value.sqlstate == TOO_MANY_CONNECTIONS


def _return_none(failure: Failure) -> None:
    """Return None if the pool refused or no connection was free in time."""
    failure.trap(PoolRefused, TimeoutError)
