"""The services that all requests of one instance share."""

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
from beryltrack.requests.shutdown import Shutdown
from beryltrack.routing.decider import DEFAULT_POLICY, RoutingPolicy

DEFAULT_RETRIES = RetryPolicy(initial_tokens=10.0)
"""Retries of an instance: ten are available before requests have filled the budget."""


class AccountOwners(Protocol):
    """Chooses the owners that run the operations of accounts."""

    def observe_quota_refusal(self, account: str, via: str) -> bool:
        """Record that an owner refused an operation as over the account's limit.

        Returns True if another owner may run it.
        """

    def get_zone(self, account: str) -> str:
        """Return the availability zone of the next operation; empty if unknown."""


class NoAccountOwners:
    """For deployments without accounts: each instance runs all operations."""

    def observe_quota_refusal(self, account: str, via: str) -> bool:
        """Return False: no other instance may run a refused operation."""
        return False

    def get_zone(self, account: str) -> str:
        """Return an empty text: the zone is unknown."""
        return ""


NO_ACCOUNT_OWNERS = NoAccountOwners()


class RequestServices(NamedTuple):
    """Services that request flows use.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and the clock of the pools' deadlines.
    seconds : callable
        The instance's time.
    zone : str
        Availability zone of this instance.
    metrics : RequestMetrics
        Counts and durations.
    admission : AdmissionTask
        Admits requests.
    retries : RetryBudget
        Bounds repeated runs.
    protocol : WireProtocol
        Wire protocol of callers and targets.
    policy : RequestPolicy
        Time limits of a request.
    shutdown : Shutdown
        Decides which statements may still begin while the instance shuts down.
    sequence : iterator of int
        Numbers requests, for round robin among equal targets.
    routing : RoutingPolicy
        Parameters of the choice of targets.
    events : RequestEvents
        Logs the decisions about requests.
    account_owners : AccountOwners
        Chooses the owners that run the operations of accounts.
    has_group_owners : callable
        Returns whether the databases have too few connections for all instances.
    """

    reactor: object
    seconds: Callable[[], float]
    zone: str
    metrics: RequestMetrics
    admission: AdmissionTask
    retries: RetryBudget
    protocol: WireProtocol
    policy: RequestPolicy
    shutdown: Shutdown
    sequence: Iterator[int]
    routing: RoutingPolicy = DEFAULT_POLICY
    events: RequestEvents = NullRequestEvents()
    account_owners: AccountOwners = NO_ACCOUNT_OWNERS
    has_group_owners: Callable[[], bool] = lambda: False


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
    has_group_owners: Callable[[], bool] = lambda: False,
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
        Wire protocol of callers and targets.
    policy : RequestPolicy, optional
        Time limits of a request.
    routing : RoutingPolicy, optional
        Parameters of the choice of targets.
    events : RequestEvents, optional
        Logs the decisions about requests.
    retries : RetryPolicy, optional
        Parameters of retries.
    admission : AdmissionPolicy, optional
        Parameters of admission control.
    account_owners : AccountOwners, optional
        Chooses the owners that run the operations of accounts.
    has_group_owners : callable, optional
        Returns whether the databases have too few connections for all instances.

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
        Shutdown(get_monotonic_clock(reactor)),
        count(),
        routing,
        events or NullRequestEvents(),
        account_owners,
        has_group_owners,
    )
