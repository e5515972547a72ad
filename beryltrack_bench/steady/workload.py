"""The typed workload of a deployment, and the visits that callers make.

A visit is a short sequence of requests of one session: some writes, then some reads.
The load balancer assigns each request to a proxy independently.
"""

from itertools import accumulate, chain, repeat, takewhile
from random import Random
from typing import NamedTuple


class VisitModel(NamedTuple):
    """One kind of visit.

    Parameters
    ----------
    name : str
        Name of the kind.
    rate : float
        Visits a second at one group.
    writes : int
        Writes at the beginning of a visit.
    reads : int
        Reads after the writes.
    think_median : float
        Median think time between two requests of a visit, seconds.
    max_age : float
        Staleness that the reads accept, seconds.
    known : float
        Share of the visits that carry a token.
    """

    name: str
    rate: float
    writes: int
    reads: int
    think_median: float
    max_age: float
    known: float


class ServiceModel(NamedTuple):
    """Log-normal service times of statements.

    Parameters
    ----------
    read_median, write_median : float
        Medians, seconds.
    sigma : float
        Standard deviation of the logarithm of a time.
    """

    read_median: float
    write_median: float
    sigma: float


class StallModel(NamedTuple):
    """Stalls of replicas, which apply nothing for a while and fall behind.

    Parameters
    ----------
    interval : float
        Mean seconds between two stalls of one replica.
    median : float
        Median length of a stall, seconds.
    sigma : float
        Standard deviation of the logarithm of a length.
    """

    interval: float
    median: float
    sigma: float


class Workload(NamedTuple):
    """The load of one group, and the behaviour of its databases.

    Parameters
    ----------
    visits : tuple of VisitModel
        The kinds of visits.
    think_sigma : float
        Standard deviation of the logarithm of the think times.
    service : ServiceModel
        Service times of statements.
    stalls : StallModel
        Stalls of replicas.
    """

    visits: tuple[VisitModel, ...]
    think_sigma: float
    service: ServiceModel
    stalls: StallModel


class Visit(NamedTuple):
    """One visit of one session.

    Parameters
    ----------
    session : str
        Name of the session, unique.
    at : float
        When it begins, seconds.
    model : VisitModel
        The kind of visit.
    is_known : bool
        True if it carries a token.
    """

    session: str
    at: float
    model: VisitModel
    is_known: bool


class Stall(NamedTuple):
    """One stall of one replica.

    Parameters
    ----------
    database : str
        Name of the replica.
    at : float
        When it begins, seconds.
    length : float
        Duration, seconds.
    """

    database: str
    at: float
    length: float


def load_workload(value: dict) -> Workload:
    """Return the typed form of a deployment's checked ``workload`` object."""
    return Workload(
        tuple(VisitModel(**visit) for visit in value["visits"]),
        value["think_sigma"],
        ServiceModel(**value["service"]),
        StallModel(**value["stalls"]),
    )


def make_visits(workload: Workload, seconds: float, rng: Random) -> tuple[Visit, ...]:
    """Return the visits of a run, in order of their begin.

    Parameters
    ----------
    workload : Workload
        The workload.
    seconds : float
        Length of the run.
    rng : Random
        Source of the arrivals, a Poisson process for each kind.

    Returns
    -------
    tuple of Visit
        All visits.
    """
    begun = sorted(
        chain.from_iterable(
            ((at, model) for at in _make_arrivals(model.rate, seconds, rng))
            for model in workload.visits
        )
    )
    return tuple(
        Visit(f"{model.name}-{number}", at, model, rng.random() < model.known)
        for number, (at, model) in enumerate(begun)
    )


def make_stalls(
    model: StallModel, databases: tuple[str, ...], seconds: float, rng: Random
) -> tuple[Stall, ...]:
    """Return the stalls of a run.

    Parameters
    ----------
    model : StallModel
        Distribution of the stalls.
    databases : tuple of str
        Names of the replicas.
    seconds : float
        Length of the run.
    rng : Random
        Source of the times and lengths.

    Returns
    -------
    tuple of Stall
        All stalls.
    """
    return tuple(
        Stall(database, at, model.median * rng.lognormvariate(0.0, model.sigma))
        for database in databases
        for at in _make_arrivals(1.0 / model.interval, seconds, rng)
    )


def _make_arrivals(rate: float, seconds: float, rng: Random) -> list[float]:
    """Return the arrival times of a Poisson process, seconds."""
    gaps = (rng.expovariate(each) for each in repeat(rate))
    return list(takewhile(lambda at: at < seconds, accumulate(gaps)))
