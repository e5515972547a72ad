"""What all requests of one instance share."""

import random
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple, Protocol

from beryltrack.clock import get_monotonic_clock
from beryltrack.events.messages import NullRequestEvents, RequestEvents
from beryltrack.metrics.messages import RequestMetrics
from beryltrack.requests.admission import AdmissionPolicy
from beryltrack.requests.admission_task import AdmissionTask
from beryltrack.requests.protocol import RequestPolicy, WireProtocol
from beryltrack.requests.retry import RetryBudget, RetryPolicy
from beryltrack.routing.decider import DEFAULT_POLICY, RoutingPolicy

DEFAULT_RETRIES = RetryPolicy(initial_tokens=10.0)
"""An instance may make ten retries before requests have filled its budget."""


class AccountOwners(Protocol):
    """Which instances run the operations of accounts."""

    def observe_quota_refusal(self, account: str, via: str) -> bool:
        """Take in that one refused an operation as over the account's limit.

        Returns True if another one may run it.
        """

    def get_zone(self, account: str) -> str:
        """Return the availability zone in which the next one runs; empty if unknown."""


class NoAccountOwners:
    """Where there are no accounts all instances run all operations."""

    def observe_quota_refusal(self, account: str, via: str) -> bool:
        """Return False: no other instance may run what one refused."""
        return False

    def get_zone(self, account: str) -> str:
        """Return no zone."""
        return ""


NO_ACCOUNT_OWNERS = NoAccountOwners()


class RequestServices(NamedTuple):
    """What the courses of requests use.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and the clock of the pools' deadlines.
    seconds : callable
        The node's time.
    zone : str
        Availability zone of this instance.
    metrics : RequestMetrics
        Counts and durations.
    admission : AdmissionTask
        Decides which requests are taken on.
    retries : RetryBudget
        Bounds repeated runs.
    protocol : WireProtocol
        What callers and targets speak.
    policy : RequestPolicy
        The times that bound a request.
    sequence : iterator of int
        Numbers requests, so that equal targets take turns.
    routing : RoutingPolicy
        The limits by which targets are chosen.
    events : RequestEvents
        Logs the decisions about requests.
    account_owners : AccountWays
        Which instances run the operations of accounts.
    is_crowded : callable
        Says whether instances outnumber what the databases take.
    """

    reactor: object
    seconds: Callable[[], float]
    zone: str
    metrics: RequestMetrics
    admission: AdmissionTask
    retries: RetryBudget
    protocol: WireProtocol
    policy: RequestPolicy
    sequence: Iterator[int]
    routing: RoutingPolicy = DEFAULT_POLICY
    events: RequestEvents = NullRequestEvents()
    account_owners: AccountOwners = NO_ACCOUNT_OWNERS
    is_crowded: Callable[[], bool] = lambda: False


def make_services(
    reactor,
    zone: str,
    metrics: RequestMetrics,
    rng: random.Random,
    protocol: WireProtocol,
    policy: RequestPolicy | None = None,
    routing: RoutingPolicy = DEFAULT_POLICY,
    events: RequestEvents | None = None,
    retries: RetryPolicy = DEFAULT_RETRIES,
    admission: AdmissionPolicy | None = None,
    account_owners: AccountOwners = NO_ACCOUNT_OWNERS,
    is_crowded: Callable[[], bool] = lambda: False,
) -> RequestServices:
    """Return the services of one instance.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    zone : str
        Availability zone of the instance.
    metrics : RequestMetrics
        Counts and durations.
    rng : random.Random
        Source of jitter.
    protocol : WireProtocol
        What callers and targets speak.
    policy : RequestPolicy, optional
        The times that bound a request.
    routing : RoutingPolicy, optional
        The limits by which targets are chosen.
    events : RequestEvents, optional
        Logs the decisions about requests.
    retries : RetryPolicy, optional
        When a request is repeated.
    admission : AdmissionPolicy, optional
        How many requests are taken on.
    account_owners : AccountWays, optional
        Which instances run the operations of accounts.
    is_crowded : callable, optional
        Says whether instances outnumber what the databases take.

    Returns
    -------
    RequestServices
        The services.
    """
    return RequestServices(
        reactor,
        get_monotonic_clock(reactor),
        zone,
        metrics,
        AdmissionTask(reactor, admission),
        RetryBudget(retries, rng),
        protocol,
        policy or RequestPolicy(),
        count(),
        routing,
        events or NullRequestEvents(),
        account_owners,
        is_crowded,
    )
