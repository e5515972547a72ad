"""Connections to one database, opened directly or relayed through an owner.

An instance that owns an account's connections opens them to the database itself. For
other accounts it keeps relayed sessions at their owners. The direct connections and the
sessions at each owner have a pool each, so that a failed owner delays no other path.
"""

import logging
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from twisted.internet.defer import Deferred, fail, gatherResults
from twisted.python.failure import Failure

from beryltrack.connections.messages import (
    PooledConnection,
    PoolLoad,
    PoolRefusal,
    PoolRefused,
    RefusalReason,
)
from beryltrack.connections.task import PoolTask
from beryltrack.load.gate_task import GateCounters, GateTask
from beryltrack.load.limit import SharedCapacity
from beryltrack.load.messages import (
    DEFAULT_DEMAND,
    DatabaseReport,
    Demand,
    ExpectedTimes,
)
from beryltrack.relay.gated_pool import GatedPool
from beryltrack.relay.relayed_connections import RelayedConnection

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
"""Paths that one request tries; each next one only after a failure of the last."""

ChooseVia = Callable[[str], str]
Admit = Callable[[str], float]
ObserveQuotaRefusal = Callable[[str, str], bool]
AdmitIngress = Callable[[str, Demand], float]
EstimateLoad = Callable[[str, Demand], ExpectedTimes]


class _Checkout(NamedTuple):
    """The pool that a connection came from, and the account that was charged for it.

    `counted_account` is empty if the operation was not counted here.
    """

    pool: PoolTask
    counted_account: str = ""


class _Acquisition(NamedTuple):
    """An operation that waits for a connection; times in seconds."""

    deadline: float
    demand: Demand
    asked_at: float


class _Path(NamedTuple):
    """The instance that relays an operation, and whether it is counted here.

    `via` is empty for a direct connection.
    """

    via: str
    is_counted_here: bool


class DatabaseAccess:
    """The pools of one database, used like a single pool.

    Parameters
    ----------
    direct : PoolTask
        Connections to the database itself.
    make_sessions : callable
        Returns the pool of sessions at an instance.
    choose_via : callable
        Returns the instance that relays an account's operations; empty for none.
    admit : callable
        Counts an operation against an account's limit at this instance; returns 0, or
        the seconds after which to retry.
    refund : callable
        Undoes the count of an account's operation that did not run.
    choose_lent_via : callable, optional
        The same as `choose_via` for an operation that another instance sent here.
    observe_quota_refusal : callable
        Records which instance refused an account's operation as over its limit;
        returns True if another instance may run it.
    counts_here : callable
        Returns True if this instance counts an account's operations although another
        one relays them, as this one does not reach the database itself.
    admit_ingress : callable
        Ingress admission: decides whether an operation that this instance received is
        sent to an owner; returns 0, or the seconds after which to retry.
    estimate : callable
        Returns the expected load of the database through an instance; empty for this
        one.
    seconds : callable
        The instance's time.
    may_retry : callable
        Draws on the retry budget; returns False if an operation whose instance could
        not be reached is not to try another one at once.
    make_gate : callable or None
        Returns the gate that decides which operations run at the database; None where
        the number of connections is the only limit.
    """

    def __init__(
        self,
        direct: PoolTask,
        make_sessions: Callable[[str], PoolTask],
        choose_via: ChooseVia,
        admit: Admit = lambda account: 0.0,
        refund: Callable[[str], object] = lambda account: None,
        choose_lent_via: ChooseVia | None = None,
        observe_quota_refusal: ObserveQuotaRefusal = lambda account, via: False,
        counts_here: Callable[[str], bool] = lambda account: False,
        admit_ingress: AdmitIngress = lambda via, demand: 0.0,
        estimate: EstimateLoad = lambda via, demand: ExpectedTimes(),
        seconds: Callable[[], float] = lambda: 0.0,
        may_retry: Callable[[], bool] = lambda: True,
        make_gate: Callable[[], GateTask] | None = None,
    ):
        self._may_retry = may_retry
        self._admit_ingress = admit_ingress
        self._estimate = estimate
        self._seconds = seconds
        self.direct = direct
        self._make_sessions = make_sessions
        self._choose_via = choose_via
        self._admit = admit
        self._refund = refund
        self._choose_lent_via = choose_lent_via or choose_via
        self._observe_quota_refusal = observe_quota_refusal
        self._counts_here = counts_here
        self._gated = GatedPool(direct, make_gate)
        self._sessions: dict[str, PoolTask] = {}
        self._checkouts: dict[PooledConnection, _Checkout] = {}
        self._is_drained = False

    @property
    def load(self) -> PoolLoad:
        """The load of all pools together, with the limit of those in use.

        Queues at other instances are not visible here: the expected wait is infinite
        where all operations are relayed.
        """
        direct = self.direct.load
        others = [pool.load for pool in self._sessions.values()]
        return direct._replace(
            limit=self.limit,
            open=direct.open + sum(load.open for load in others),
            in_use=direct.in_use + sum(load.in_use for load in others),
            waiting=direct.waiting
            + self._gated.waiting
            + sum(load.waiting for load in others),
            expected_wait=direct.expected_wait if direct.limit else math.inf,
        )

    @property
    def outstanding(self) -> int:
        """Requests that hold a connection of any pool or wait for one."""
        return self._gated.waiting + sum(pool.outstanding for pool in self._pools)

    @property
    def limit(self) -> int:
        """Connections allowed to the database, or sessions if none are allowed."""
        if self.direct.limit:
            return self.direct.limit
        return max((pool.limit for pool in self._sessions.values()), default=1)

    @property
    def _pools(self) -> tuple[PoolTask, ...]:
        return (self.direct, *self._sessions.values())

    def start(self) -> None:
        """Open the connections that the direct pool keeps open, if it is used."""
        if not self._choose_via(""):
            self.direct.start()

    def acquire(
        self, deadline: float, demand: Demand = DEFAULT_DEMAND
    ) -> Deferred[PooledConnection]:
        """Get a connection for one request or transaction of an account.

        Parameters
        ----------
        deadline : float
            Time of the reactor's clock, in seconds, by which the request must be done.
        demand : Demand
            The request's priority, times and account.

        Returns
        -------
        Deferred of PooledConnection
            Fails with `PoolRefused`; the request was not run then.
        """
        return self._acquire_with_retries(deadline, demand, MAX_ATTEMPTS)

    def lend(
        self, deadline: float, demand: Demand, is_counted: bool
    ) -> Deferred[PooledConnection]:
        """Get a connection for a request that another instance sent here.

        A request that was counted there already goes directly to the database and is
        not relayed again.
        """
        via = "" if is_counted else self._choose_lent_via(demand.account)
        return self._acquire_via(via, deadline, demand, not is_counted, True)

    def acquire_briefly(
        self, wait_limit: float, open_limit: float
    ) -> Deferred[PooledConnection | None]:
        """Get a connection for a short request of the proxy's own; see `PoolTask`."""
        via = self._choose_via("")
        pool = self._get_sessions(via) if via else self.direct
        return pool.acquire_briefly(wait_limit, open_limit).addCallback(
            self._record_checkout, _Checkout(pool)
        )

    def release(
        self, connection: PooledConnection, reusable: bool, has_run: bool = True
    ) -> None:
        """Return a connection; `has_run` is False if its operation did not run."""
        checkout = self._checkouts.pop(connection, None)
        if checkout is None:
            return
        if checkout.counted_account and not has_run:
            self._refund(checkout.counted_account)
        # The pool may lend the connection again at once, so pop its operation first.
        operation = self._gated.pop_operation(connection)
        checkout.pool.release(connection, reusable)
        if operation is not None:
            operation.finish()

    def set_capacity(self, capacity: SharedCapacity | None) -> None:
        """Limit the operations that run at the database; see `GatedPool`."""
        self._gated.set_capacity(capacity)

    def get_expected_times(self, demand: Demand) -> ExpectedTimes:
        """Return the expected load of the database on the current path."""
        return self._estimate(self._choose_via(demand.account), demand)

    def get_counters(self) -> GateCounters | None:
        """Return the counts of this instance's gate; None without a gate."""
        return self._gated.get_counters()

    def get_report(self) -> DatabaseReport | None:
        """Return the load of the database through this instance's own connections.

        None without a gate.
        """
        return self._gated.get_report()

    def set_limit(self, limit: int) -> None:
        """Change how many connections this instance may open to the database."""
        self.direct.set_limit(limit)

    def retain_sessions(self, names: Collection[str]) -> None:
        """Keep sessions at these instances; drain those at all others."""
        for name in self._sessions.keys() - set(names):
            self._sessions.pop(name).drain()

    def retire(self, is_stale: Callable[[RelayedConnection], bool]) -> None:
        """Retire stale direct connections; see `PoolTask`."""
        self.direct.retire(is_stale)

    def retire_stale(self) -> None:
        """Retire the direct connections that have become stale since."""
        self.direct.retire_stale()

    def observe_reachable(self) -> None:
        """Record that the database answers."""
        for pool in self._pools:
            pool.observe_reachable()

    def break_connections(self) -> None:
        """Close all connections at once, including those in use."""
        for pool in self._pools:
            pool.break_connections()

    def get_connections(self) -> tuple[PooledConnection, ...]:
        """Return all connections that are open."""
        return tuple(each for pool in self._pools for each in pool.get_connections())

    def get_running(self) -> list[PooledConnection]:
        """Return the connections that run a statement."""
        return [each for each in self._checkouts if each.run_since is not None]

    def close_idle(self, connection: PooledConnection) -> None:
        """Close a connection unless it is lent."""
        for pool in self._pools:
            pool.close_idle(connection)

    def enforce_limit(self, limit: int) -> None:
        """Close connections beyond a limit at once, including those in use."""
        for pool in self._pools:
            pool.enforce_limit(limit)

    def drain(self) -> Deferred:
        """Refuse new work; the result fires when all connections are closed."""
        self._is_drained = True
        draining = gatherResults([pool.drain() for pool in self._pools])
        # Operations that wait at the gate pass on to the pool, which refuses them.
        self._gated.admit_waiting()
        return draining

    def resume(self) -> None:
        """Accept work again after a drain."""
        self._is_drained = False
        for pool in self._pools:
            pool.resume()

    def _acquire_with_retries(
        self, deadline: float, demand: Demand, attempts: int
    ) -> Deferred[PooledConnection]:
        """Get a connection on the current path, and on another one if that fails."""
        chosen = self._choose_path(demand.account)
        acquiring = self._acquire_via(
            chosen.via, deadline, demand, chosen.is_counted_here, False
        )
        if attempts > 1:
            acquisition = _Acquisition(deadline, demand, self._seconds())
            acquiring.addErrback(self._retry_elsewhere, chosen, acquisition, attempts)
        return acquiring

    def _choose_path(self, account: str) -> _Path:
        """Return the current path, and whether the operation is counted here."""
        via = self._choose_via(account)
        return _Path(via, not via or self._counts_here(account))

    def _retry_elsewhere(
        self, failure: Failure, tried: _Path, acquisition: _Acquisition, attempts: int
    ) -> Deferred[PooledConnection] | Failure:
        """Try another path if an instance is unreachable or out of quota."""
        demand = acquisition.demand
        refused = failure.check(PoolRefused)
        reason = failure.value.refusal.reason if refused else None
        if reason is RefusalReason.OVER_LIMIT:
            # The owner in another zone may have quota left.
            refusing_owner = "" if tried.is_counted_here else tried.via
            if not self._observe_quota_refusal(demand.account, refusing_owner):
                return failure
        elif not tried.via or reason is not RefusalReason.UNREACHABLE:
            return failure
        if self._choose_path(demand.account) == tried:
            return failure
        # A quota refusal draws on no retry budget: no owner is asked twice.
        if reason is RefusalReason.UNREACHABLE and not self._may_retry():
            return failure
        # The failed attempt has used a part of the operation's time.
        left = demand.after(self._seconds() - acquisition.asked_at)
        return self._acquire_with_retries(acquisition.deadline, left, attempts - 1)

    def _acquire_via(
        self,
        via: str,
        deadline: float,
        demand: Demand,
        is_counted_here: bool,
        is_lent: bool,
    ) -> Deferred[PooledConnection]:
        """Get a connection on one path.

        `is_counted_here` is True if this instance counts the operation. Otherwise the
        instance at the end of the path counts it, unless it is a lent operation, which
        was counted before.
        """
        counted_account = demand.account if is_counted_here else ""
        wait = self._admit(counted_account) if counted_account else 0.0
        if wait:
            refusal = PoolRefusal(RefusalReason.OVER_LIMIT, wait)
            return fail(PoolRefused(refusal))
        if via:
            is_counted = is_lent or bool(counted_account)
            acquiring = self._acquire_session(
                via, deadline, demand, is_lent, is_counted
            )
        else:
            acquiring = self._acquire_directly(deadline, demand)
        pool = self._get_sessions(via) if via else self.direct
        acquiring.addCallback(self._record_checkout, _Checkout(pool, counted_account))
        if counted_account:
            acquiring.addErrback(self._refund_failed, counted_account)
        return acquiring

    def _acquire_directly(
        self, deadline: float, demand: Demand
    ) -> Deferred[PooledConnection]:
        """Get a direct connection once the gate admits the operation."""
        pool = self.direct if self._is_drained else self._gated
        return pool.acquire(deadline, demand)

    def _acquire_session(
        self,
        via: str,
        deadline: float,
        demand: Demand,
        is_lent: bool,
        is_counted: bool,
    ) -> Deferred[PooledConnection]:
        """Get a session at an owner, unless ingress admission refuses."""
        # For a lent operation the receiving instance has done ingress admission.
        wait = 0.0 if is_lent else self._admit_ingress(via, demand)
        if wait:
            return fail(PoolRefused(PoolRefusal(RefusalReason.OWNER_FULL, wait)))
        acquiring = self._get_sessions(via).acquire(deadline)
        return acquiring.addCallback(
            self._set_options, is_counted, demand, self._seconds()
        )

    def _set_options(
        self,
        connection: RelayedConnection,
        is_counted: bool,
        demand: Demand,
        asked_at: float,
    ) -> RelayedConnection:
        """Set the options of the operation that its first statement passes on."""
        connection.is_counted = is_counted
        # The wait for the session has used a part of the operation's time.
        connection.demand = demand.after(self._seconds() - asked_at)
        return connection

    def _refund_failed(self, failure: Failure, account: str) -> Failure:
        """Refund an operation that got no connection."""
        self._refund(account)
        return failure

    def _record_checkout(
        self, connection: PooledConnection | None, checkout: "_Checkout"
    ) -> PooledConnection | None:
        """Record which pool a connection goes back to."""
        if connection is not None:
            self._checkouts[connection] = checkout
        return connection

    def _get_sessions(self, via: str) -> PoolTask:
        """Return the pool of sessions at an instance."""
        pool = self._sessions.get(via)
        if pool is None:
            pool = self._sessions[via] = self._make_sessions(via)
            if self._is_drained:
                pool.drain()
        return pool
