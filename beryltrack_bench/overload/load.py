"""An open-loop load generator with Poisson arrivals, and counts of the outcomes."""

import random
from collections.abc import Sequence
from itertools import accumulate
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from beryltrack_bench.overload.proxy import Outcome, RequestResult
from beryltrack_bench.overload.site import CONTROL_CONNECTIONS, OverloadSite
from beryltrack_bench.overload.workload import REQUEST_TIMEOUT, Request, draw_statements

SAMPLE_PERIOD = 0.01
"""Seconds between two samples of the connections in use."""

STORM_ATTEMPTS = 4
"""Attempts that a caller in a retry storm makes for one request."""

STORM_DELAY = 0.01
"""Longest delay before an attempt of a retry storm, seconds."""

MICROSECONDS = 1_000_000
"""Microseconds in a second."""


class Offer(NamedTuple):
    """The load that one team's callers offer.

    Parameters
    ----------
    team : str
        The team that sends the requests.
    rate : float
        Requests a second, over all proxies.
    retries_at_once : bool
        True if callers retry at once after each refusal.
    weights : tuple of float
        Relative share of each proxy; empty for equal shares.
    timeouts : tuple of float
        Request time-outs in seconds, one of which is drawn for each request.
    """

    team: str
    rate: float
    retries_at_once: bool = False
    weights: tuple[float, ...] = ()
    timeouts: tuple[float, ...] = (REQUEST_TIMEOUT,)


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to one minute."""
    return HdrHistogram(1, 60 * MICROSECONDS, 3)


def get_seconds(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram of microseconds, in seconds."""
    return histogram.get_value_at_percentile(percentile) / MICROSECONDS


class Tally:
    """Counts the outcomes of the requests that arrived in a time window.

    Parameters
    ----------
    start, end : float
        The window, seconds.
    """

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end
        self.offered = 0
        self.in_time_counts: dict[str, int] = {}
        self.outcome_counts = dict.fromkeys(Outcome, 0)
        self.late = 0
        self.refused_numbers: list[int] = []
        self.latency = make_histogram()
        self.refusal_delay = make_histogram()
        self.done_at: list[float] = []

    def observe(self, ended: RequestResult) -> None:
        """Record the result of a request."""
        request = ended.request
        elapsed = max(1, round((ended.ended_at - request.arrived_at) * MICROSECONDS))
        if ended.outcome is Outcome.REFUSED:
            self.refused_numbers.append(request.number)
            self.refusal_delay.record_value(elapsed)
        if not self.start <= request.arrived_at < self.end:
            return
        self.outcome_counts[ended.outcome] += 1
        if ended.outcome is Outcome.DONE:
            self.latency.record_value(elapsed)
            is_late = ended.ended_at > request.deadline
            self.late += is_late
            self.in_time_counts[request.team] = self.in_time_counts.get(
                request.team, 0
            ) + (not is_late)
            self.done_at.append(ended.ended_at)

    def get_goodput(self, team: str | None = None) -> float:
        """Return the requests a second that were done before their deadlines."""
        done = (
            sum(self.in_time_counts.values())
            if team is None
            else self.in_time_counts.get(team, 0)
        )
        return done / (self.end - self.start)


class Callers:
    """Sends requests to a site until the end of the tally's window.

    Parameters
    ----------
    site : OverloadSite
        The site that receives the requests.
    offers : sequence of Offer
        The offered load, at most one entry for each team.
    tally : Tally
        Counts the results.
    rng : random.Random
        Source of arrivals, time-outs, proxies and retry delays.
    """

    def __init__(
        self,
        site: OverloadSite,
        offers: Sequence[Offer],
        tally: Tally,
        rng: random.Random,
    ):
        self.utilization_samples: list[float] = []
        self._site = site
        self._offers = {offer.team: offer for offer in offers}
        self._tally = tally
        self._rng = rng
        self._request_count = 0
        self._stop_at = tally.end

    def start(self) -> None:
        """Start sending requests."""
        for offer in self._offers.values():
            self._schedule(offer)
        self._sample_use()

    def observe(self, ended: RequestResult) -> None:
        """Record a result; in a retry storm, retry a refused request at once."""
        self._tally.observe(ended)
        request = ended.request
        retries_at_once = self._offers[request.team].retries_at_once
        if (
            retries_at_once
            and ended.outcome is Outcome.REFUSED
            and request.attempt < STORM_ATTEMPTS
        ):
            delay = STORM_DELAY * self._rng.random()
            self._site.clock.callLater(
                delay, self._send, request.team, request.attempt + 1
            )

    def _schedule(self, offer: Offer) -> None:
        wait = self._rng.expovariate(offer.rate)
        self._site.clock.callLater(wait, self._arrive, offer)

    def _arrive(self, offer: Offer) -> None:
        if self._site.clock.seconds() >= self._stop_at:
            return
        self._schedule(offer)
        self._send(offer.team, 1)

    def _send(self, team: str, attempt: int) -> None:
        now = self._site.clock.seconds()
        self._request_count += 1
        statements = draw_statements(self._rng)
        timeouts = self._offers[team].timeouts
        # A single time-out draws no random number, so that runs without a choice
        # keep their sequence of draws.
        timeout = self._rng.choice(timeouts) if len(timeouts) > 1 else timeouts[0]
        request = Request(
            self._request_count, team, statements, now, now + timeout, attempt
        )
        if self._tally.start <= now < self._tally.end:
            self._tally.offered += 1
        self._choose_proxy(self._offers[team]).handle(request)

    def _choose_proxy(self, offer: Offer):
        proxies = self._site.proxies
        if not offer.weights:
            return self._rng.choice(proxies)
        ends = list(accumulate(offer.weights))
        return self._rng.choices(proxies, cum_weights=ends)[0]

    def _sample_use(self) -> None:
        """Record the share of connections in use, if callers wait for one."""
        now = self._site.clock.seconds()
        loads = [pool.load for pool in self._site.pools]
        if now >= self._tally.start and any(load.waiting for load in loads):
            databases = self._site.all_databases
            control = CONTROL_CONNECTIONS * len(self._site.proxies) * len(databases)
            total = sum(database.max_connections for database in databases)
            in_use = sum(load.in_use for load in loads)
            self.utilization_samples.append(in_use / (total - control))
        if now < self._stop_at:
            self._site.clock.callLater(SAMPLE_PERIOD, self._sample_use)
