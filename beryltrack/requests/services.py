"""What all requests of one instance share."""

import random
from collections.abc import Callable, Iterator
from itertools import count
from typing import NamedTuple

from beryltrack.clock import get_seconds
from beryltrack.daemon.metrics import InstanceMetrics
from beryltrack.requests.admission_task import AdmissionTask
from beryltrack.requests.retry import RetryBudget, RetryPolicy
from beryltrack.requests.target_settings import TargetSettings

FIRST_RETRIES = 10.0
"""Retries that an instance may make before requests have filled its budget."""


class RequestPolicy(NamedTuple):
    """The times that bound a request.

    Parameters
    ----------
    request_timeout : float
        Seconds from a request's arrival within which it must reach a target and
        its commit must be confirmed. How long a statement runs is not bounded.
    target_timeout : float
        Seconds that a request waits for a database that can take it, for
        example while a new primary takes over, before it is refused.
    """

    request_timeout: float = 10.0
    target_timeout: float = 5.0


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
    metrics : InstanceMetrics
        Counts and durations.
    admission : AdmissionTask
        Decides which requests are taken on.
    retries : RetryBudget
        Bounds repeated runs.
    settings : TargetSettings
        Which session settings each target connection has.
    policy : RequestPolicy
        The times that bound a request.
    sequence : iterator of int
        Numbers requests, so that equal targets take turns.
    """

    reactor: object
    seconds: Callable[[], float]
    zone: str
    metrics: InstanceMetrics
    admission: AdmissionTask
    retries: RetryBudget
    settings: TargetSettings
    policy: RequestPolicy
    sequence: Iterator[int]


def make_services(
    reactor,
    zone: str,
    metrics: InstanceMetrics,
    rng: random.Random,
    policy: RequestPolicy | None = None,
) -> RequestServices:
    """Return the services of one instance.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    zone : str
        Availability zone of the instance.
    metrics : InstanceMetrics
        Counts and durations.
    rng : random.Random
        Source of jitter.
    policy : RequestPolicy, optional
        The times that bound a request.

    Returns
    -------
    RequestServices
        The services.
    """
    return RequestServices(
        reactor,
        get_seconds(reactor),
        zone,
        metrics,
        AdmissionTask(reactor),
        RetryBudget(RetryPolicy(first_saved=FIRST_RETRIES), rng),
        TargetSettings(),
        policy or RequestPolicy(),
        count(),
    )
