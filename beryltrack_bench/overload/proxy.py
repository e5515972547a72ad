"""One proxy under load, made of the product's admission, pools and retry budget."""

import random
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from beryltrack.connections.messages import PooledConnection, PoolRefused
from beryltrack.connections.task import PoolTask
from beryltrack.requests.admission import (
    AdmissionDecider,
    AdmissionPolicy,
    RefuseRequest,
)
from beryltrack.requests.retry import FailedAttempt, RetryBudget, RetryPolicy
from beryltrack_bench.overload.workload import SERVICE_TIME, Request

UNWEIGHTED: dict[str, float] = {}


class Outcome(Enum):
    """How a request ended."""

    DONE = 1
    REFUSED = 2
    LOST = 3


class RequestResult(NamedTuple):
    """The result of a request, as its caller sees it; times in seconds."""

    request: Request
    outcome: Outcome
    ended_at: float
    retry_after: float = 0.0


class OverloadProxy:
    """Admits requests and runs them over its pools.

    Parameters
    ----------
    clock : IReactorTime
        The clock.
    pools : dict of str to list of PoolTask
        For each team the pools of its group's databases.
    gap : float
        Seconds between the statements of a transaction.
    rng : random.Random
        Source of service times, choices of a pool, and jitter.
    max_requests : int
        Maximum of requests admitted at once.
    report : callable
        Called with the `RequestResult` of each request.
    retries : RetryPolicy
        Decides when a refused request is retried.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pools: dict[str, list[PoolTask]],
        gap: float,
        rng: random.Random,
        max_requests: int,
        report: Callable[[RequestResult], None],
        retries: RetryPolicy,
    ):
        self.request_count = 0
        self.retry_count = 0
        self._clock = clock
        self._pools = pools
        self._gap = gap
        self._rng = rng
        self._report = report
        policy = AdmissionPolicy(max_requests=max_requests)
        self._admission = AdmissionDecider(policy, UNWEIGHTED)
        self._retries = RetryBudget(retries, rng)
        self._acquiring: dict[int, Deferred] = {}
        self._evicted: dict[int, float] = {}

    def handle(self, request: Request) -> None:
        """Admit a request, or refuse it at once."""
        self.request_count += 1
        self._retries.observe_request()
        now = self._clock.seconds()
        actions = self._admission.admit(
            request.number, request.team, request.deadline, now
        )
        for action in actions:
            if not isinstance(action, RefuseRequest):
                Deferred.fromCoroutine(self._run(request))
            elif action.request == request.number:
                self._end(request, Outcome.REFUSED, action.retry_after)
            else:
                self._evicted[action.request] = action.retry_after
                self._acquiring[action.request].cancel()

    async def _run(self, request: Request) -> None:
        """Run an admitted request and report its result."""
        try:
            pool, connection = await self._acquire(request)
        except PoolRefused as error:
            self._end(request, Outcome.REFUSED, error.refusal.retry_after)
            return
        except CancelledError:
            retry_after = self._evicted.pop(request.number)
            self._end(request, Outcome.REFUSED, retry_after)
            return
        self._admission.start(request.number)
        try:
            await self._run_statements(request, connection)
        except ConnectionLost:
            pool.release(connection, False)
            self._end(request, Outcome.LOST)
            return
        pool.release(connection, True)
        self._end(request, Outcome.DONE)

    async def _acquire(self, request: Request) -> tuple[PoolTask, PooledConnection]:
        """Acquire a connection; a refusal is retried within the retry budget.

        A refusal for overload is final: the pool was chosen for the shortest
        expected wait of the group, so another pool would refuse too.
        """
        number = 1
        while True:
            pool = self._choose_pool(request.team)
            try:
                return pool, await self._wait(request, pool.acquire(request.deadline))
            except PoolRefused as error:
                if error.refusal.reason.is_overload:
                    raise
                attempt = FailedAttempt(number, True, error.refusal.retry_after)
                now, needed = self._clock.seconds(), pool.load.hold_time
                delay = self._retries.choose_retry(
                    attempt, request.deadline, needed, now
                ).value_or(None)
                if delay is None:
                    raise
            self.retry_count += 1
            number += 1
            await self._wait(request, deferLater(self._clock, delay, int))

    def _wait(self, request: Request, waiting: Deferred) -> Deferred:
        """Return the Deferred, which is cancelled if the request is evicted."""
        self._acquiring[request.number] = waiting
        return waiting

    def _choose_pool(self, team: str) -> PoolTask:
        """Return the pool with the shortest wait; ties are broken at random."""
        pools = self._pools[team]
        loads = [pool.load for pool in pools]
        waits = [(load.expected_wait, load.in_use + load.waiting) for load in loads]
        shortest = min(waits)
        return self._rng.choice(
            [pool for pool, wait in zip(pools, waits, strict=True) if wait == shortest]
        )

    async def _run_statements(
        self, request: Request, connection: PooledConnection
    ) -> None:
        for index in range(request.statements):
            if index:
                await deferLater(self._clock, self._gap, int)
            service_time = self._rng.expovariate(1 / SERVICE_TIME)
            await connection.run(request.number, service_time)

    def _end(
        self, request: Request, outcome: Outcome, retry_after: float = 0.0
    ) -> None:
        now = self._clock.seconds()
        self._acquiring.pop(request.number, None)
        self._admission.finish(request.number, now)
        self._report(RequestResult(request, outcome, now, retry_after))
