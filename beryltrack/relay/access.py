"""One database as an instance reaches it: itself, or through others.

An instance that owns an account's connections opens them to the database. For all other
accounts it keeps sessions at the instances that own theirs. Each way has a pool of its
own, so that an owner that fails holds up no other way.
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
from beryltrack.load.gate_task import GateTally, GateTask
from beryltrack.load.limit import Bounds
from beryltrack.load.messages import NO_DEMAND, DatabaseReport, Demand, Expected
from beryltrack.relay.gated_pool import GatedPool
from beryltrack.relay.relayed_connections import RelayedConnection

log = logging.getLogger(__name__)

MOST_WAYS = 3
"""Ways that one request tries, each only after the one before could not be reached."""

ChooseVia = Callable[[str], str]
Admit = Callable[[str], float]
ObserveQuotaRefusal = Callable[[str, str], bool]
AdmitIngress = Callable[[str, Demand], float]
EstimateLoad = Callable[[str, Demand], Expected]


class _Lent(NamedTuple):
    """The pool that a connection came from, and for whom an operation was counted."""

    pool: PoolTask
    counted: str = ""


class _Until(NamedTuple):
    """What an operation asked for when it was sent on a way, and by when it is over."""

    deadline: float
    demand: Demand
    asked_at: float


class _Way(NamedTuple):
    """The instance through which an operation goes, and if it is counted here."""

    way: str
    counts: bool


class DatabaseAccess:
    """The pools of one database; used as one pool.

    Parameters
    ----------
    direct : PoolTask
        Connections to the database itself.
    make_sessions : callable
        Returns the pool of sessions at an instance.
    choose_via : callable
        Returns the instance through which an account's connections go; empty for none.
    admit : callable
        Counts an operation of an account that runs through this instance; returns 0,
        or the seconds after which to come back.
    refund : callable
        Takes in that a counted operation of an account did not run.
    choose_lent_via : callable, optional
        The same as `choose_via` for an operation that another instance sent here.
    observe_quota_refusal : callable
        Takes in that an operation of an account was refused as over its limit, and by
        which instance; returns True if another one may run it.
    counts_here : callable
        Returns True if this instance counts an account's operations although their way
        goes through another one, as this one does not reach the database itself.
    admit_ingress : callable
        Decides whether an operation of this instance goes to another one; returns 0,
        or the seconds after which to come back.
    estimate : callable
        Returns what an operation may expect of the database through an instance; empty
        for this one.
    seconds : callable
        The node's time.
    may_retry : callable
        Draws on the budget of repeats; returns False if an operation whose instance
        could not be reached is not to try another one at once.
    make_gate : callable or None
        Returns what decides which operations run at the database; None where as many
        run as there are connections.
    """

    def __init__(
        self,
        direct: PoolTask,
        make_sessions: Callable[[str], PoolTask],
        choose_via: ChooseVia,
        admit: Admit = lambda account: 0.0,
        refund: Callable[[str], object] = lambda account: None,
        choose_lent_via: ChooseVia | None = None,
        observe_quota_refusal: ObserveQuotaRefusal = lambda account, way: False,
        counts_here: Callable[[str], bool] = lambda account: False,
        admit_ingress: AdmitIngress = lambda way, demand: 0.0,
        estimate: EstimateLoad = lambda way, demand: Expected(),
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
        self._observe_spent = observe_quota_refusal
        self._counts_here = counts_here
        self._gated = GatedPool(direct, make_gate)
        self._sessions: dict[str, PoolTask] = {}
        self._lent: dict[PooledConnection, _Lent] = {}
        self._is_drained = False

    @property
    def load(self) -> PoolLoad:
        """The load of all ways together, with the limit of those that are used.

        What queues at other instances is not seen here: the expected wait is infinite
        where all connections go through them.
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
        """Requests that hold a connection of any way or wait for one."""
        return self._gated.waiting + sum(pool.outstanding for pool in self._pools)

    @property
    def limit(self) -> int:
        """Connections that may be open to the database, or sessions if none may."""
        if self.direct.limit:
            return self.direct.limit
        return max((pool.limit for pool in self._sessions.values()), default=1)

    @property
    def _pools(self) -> tuple[PoolTask, ...]:
        return (self.direct, *self._sessions.values())

    def start(self) -> None:
        """Open the connections that are kept open."""
        if not self._choose_via(""):
            self.direct.start()

    def acquire(
        self, deadline: float, demand: Demand = NO_DEMAND
    ) -> Deferred[PooledConnection]:
        """Get a connection for one request or transaction of an account.

        Parameters
        ----------
        deadline : float
            Time of the reactor's clock, in seconds, by which the request must be done.
        demand : Demand
            What the request asks for, and whose it is.

        Returns
        -------
        Deferred of PooledConnection
            Fails with `PoolRefused`; the request was not run then.
        """
        return self._try_ways(deadline, demand, MOST_WAYS)

    def lend(
        self, deadline: float, demand: Demand, is_counted: bool
    ) -> Deferred[PooledConnection]:
        """Get a connection for a request that another instance sent here.

        One that was counted there already goes to the database itself and no further.
        """
        way = "" if is_counted else self._choose_lent_via(demand.account)
        return self._acquire_by(way, deadline, demand, not is_counted, True)

    def acquire_briefly(
        self, patience: float, open_patience: float
    ) -> Deferred[PooledConnection | None]:
        """Get a connection for a short request of the proxy's own; see `PoolTask`."""
        way = self._choose_via("")
        pool = self._get_sessions(way) if way else self.direct
        return pool.acquire_briefly(patience, open_patience).addCallback(
            self._note_lent, _Lent(pool)
        )

    def release(
        self, connection: PooledConnection, reusable: bool, has_run: bool = True
    ) -> None:
        """Give a connection back; `has_run` is False if what it was for did not run."""
        lent = self._lent.pop(connection, None)
        if lent is None:
            return
        if lent.counted and not has_run:
            self._refund(lent.counted)
        # The pool may lend it on at once, so that its operation is looked up first.
        operation = self._gated.take_back(connection)
        lent.pool.release(connection, reusable)
        if operation is not None:
            operation.finish()

    def set_bounds(self, bounds: Bounds | None) -> None:
        """Limit the operations that run at the database; see `GatedPool`."""
        self._gated.set_bounds(bounds)

    def get_expected(self, demand: Demand) -> Expected:
        """Return what is known of the database's load on the way of the moment."""
        return self._estimate(self._choose_via(demand.account), demand)

    def get_tally(self) -> GateTally | None:
        """Return what this instance's gate has counted; None without one."""
        return self._gated.get_tally()

    def get_report(self) -> DatabaseReport | None:
        """Return the load of the database through this instance's own connections.

        None if as many operations run as there are connections.
        """
        return self._gated.get_report()

    def set_limit(self, limit: int) -> None:
        """Change how many connections this instance may open to the database."""
        self.direct.set_limit(limit)

    def retain_sessions(self, names: Collection[str]) -> None:
        """Keep sessions at these instances only."""
        for name in self._sessions.keys() - set(names):
            self._sessions.pop(name).drain()

    def retire(self, is_stale: Callable[[RelayedConnection], bool]) -> None:
        """Use some connections to the database no more; see `PoolTask`."""
        self.direct.retire(is_stale)

    def retire_stale(self) -> None:
        """Look again which connections are used no more."""
        self.direct.retire_stale()

    def observe_reachable(self) -> None:
        """Take in that the database answers."""
        for pool in self._pools:
            pool.observe_reachable()

    def break_connections(self) -> None:
        """Close all connections at once, also those in use."""
        for pool in self._pools:
            pool.break_connections()

    def get_connections(self) -> tuple[PooledConnection, ...]:
        """Return all connections that are open."""
        return tuple(each for pool in self._pools for each in pool.get_connections())

    def get_running(self) -> list[PooledConnection]:
        """Return the connections that run something."""
        return [each for each in self._lent if each.run_since is not None]

    def close_idle(self, connection: PooledConnection) -> None:
        """Close a connection unless it is lent."""
        for pool in self._pools:
            pool.close_idle(connection)

    def enforce_limit(self, limit: int) -> None:
        """Close connections beyond a limit at once, also those in use."""
        for pool in self._pools:
            pool.enforce_limit(limit)

    def drain(self) -> Deferred:
        """Take no new work; fires when all connections are closed."""
        self._is_drained = True
        draining = gatherResults([pool.drain() for pool in self._pools])
        # Who waits for the database is refused by the pool, as all others are.
        self._gated.open()
        return draining

    def resume(self) -> None:
        """Take work again after a drain."""
        self._is_drained = False
        for pool in self._pools:
            pool.resume()

    def _try_ways(
        self, deadline: float, demand: Demand, tries: int
    ) -> Deferred[PooledConnection]:
        """Get a connection by the way of the moment, then by another one."""
        chosen = self._choose(demand.account)
        acquiring = self._acquire_by(chosen.way, deadline, demand, chosen.counts, False)
        if tries > 1:
            until = _Until(deadline, demand, self._seconds())
            acquiring.addErrback(self._go_round, chosen, until, tries)
        return acquiring

    def _choose(self, account: str) -> _Way:
        """Return the way of the moment, and whether the operation is counted here."""
        way = self._choose_via(account)
        return _Way(way, not way or self._counts_here(account))

    def _go_round(
        self, failure: Failure, tried: _Way, until: _Until, tries: int
    ) -> Deferred[PooledConnection] | Failure:
        """Try another way if an instance could not be reached."""
        demand = until.demand
        refused = failure.check(PoolRefused)
        reason = failure.value.refusal.reason if refused else None
        if reason is RefusalReason.OVER_LIMIT:
            # Refused here: another zone's owner may have rights left.
            counting = "" if tried.counts else tried.way
            if not self._observe_spent(demand.account, counting):
                return failure
        elif not tried.way or reason is not RefusalReason.UNREACHABLE:
            return failure
        if self._choose(demand.account) == tried:
            return failure
        # What is over one owner's limit draws on no budget: none is asked twice.
        if reason is RefusalReason.UNREACHABLE and not self._may_retry():
            return failure
        # The way before has taken a part of its time.
        left = demand.after(self._seconds() - until.asked_at)
        return self._try_ways(until.deadline, left, tries - 1)

    def _acquire_by(
        self, way: str, deadline: float, demand: Demand, counts: bool, is_lent: bool
    ) -> Deferred[PooledConnection]:
        """Get a connection by one way.

        `counts` is True if the operation is counted here; at the end of the way it is
        counted unless it was lent a connection here, as then it was counted before.
        """
        counted = demand.account if counts else ""
        wait = self._admit(counted) if counted else 0.0
        if wait:
            refusal = PoolRefusal(RefusalReason.OVER_LIMIT, wait)
            return fail(PoolRefused(refusal))
        if way:
            is_counted = is_lent or bool(counted)
            acquiring = self._acquire_through(
                way, deadline, demand, is_lent, is_counted
            )
        else:
            acquiring = self._acquire_directly(deadline, demand)
        pool = self._get_sessions(way) if way else self.direct
        acquiring.addCallback(self._note_lent, _Lent(pool, counted))
        if counted:
            acquiring.addErrback(self._take_back, counted)
        return acquiring

    def _acquire_directly(
        self, deadline: float, demand: Demand
    ) -> Deferred[PooledConnection]:
        """Get one of this instance's own connections, once the database has room."""
        pool = self.direct if self._is_drained else self._gated
        return pool.acquire(deadline, demand)

    def _acquire_through(
        self,
        way: str,
        deadline: float,
        demand: Demand,
        is_lent: bool,
        is_counted: bool,
    ) -> Deferred[PooledConnection]:
        """Get a session at another instance, unless it is known to have no room."""
        # What was lent here was judged by the instance that took it.
        wait = 0.0 if is_lent else self._admit_ingress(way, demand)
        if wait:
            return fail(PoolRefused(PoolRefusal(RefusalReason.OWNER_FULL, wait)))
        acquiring = self._get_sessions(way).acquire(deadline)
        return acquiring.addCallback(self._mark, is_counted, demand, self._seconds())

    def _mark(
        self,
        connection: RelayedConnection,
        is_counted: bool,
        demand: Demand,
        asked_at: float,
    ) -> RelayedConnection:
        """Have an instance told what the next operation asks, and if it was counted."""
        connection.is_counted = is_counted
        # It may have waited for the session.
        connection.demand = demand.after(self._seconds() - asked_at)
        return connection

    def _take_back(self, failure: Failure, account: str) -> Failure:
        """Count an operation no more that got no connection."""
        self._refund(account)
        return failure

    def _note_lent(
        self, connection: PooledConnection | None, lent: "_Lent"
    ) -> PooledConnection | None:
        """Keep which pool a connection goes back to."""
        if connection is not None:
            self._lent[connection] = lent
        return connection

    def _get_sessions(self, way: str) -> PoolTask:
        """Return the pool of sessions at an instance."""
        pool = self._sessions.get(way)
        if pool is None:
            pool = self._sessions[way] = self._make_sessions(way)
            if self._is_drained:
                pool.drain()
        return pool
