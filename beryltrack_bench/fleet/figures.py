"""Times and traffic of a fleet, in the form that the experiments print."""

import math
import time
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from beryltrack_bench.fleet.fleet import Fleet


class Traffic(NamedTuple):
    """Counters of all nodes and of the platform at one time.

    Parameters
    ----------
    at : float
        Time of the monotonic clock, seconds.
    processor : float
        Processor time of the whole process, seconds.
    bytes_sent, bytes_received : int
        Payload of the peer links of all nodes, without TCP and IP headers.
    messages : int
        Messages sent on the peer links by all nodes.
    calls : int
        Calls that the platform has received.
    """

    at: float
    processor: float
    bytes_sent: int
    bytes_received: int
    messages: int
    calls: int


class Rates(NamedTuple):
    """Mean traffic between two times.

    Parameters
    ----------
    cpu_share : float
        Processor time of a node as a share of a core. It includes a share of the
        stand-in platform, which runs in the same process.
    bytes_sent, bytes_received : float
        Payload of a node, bytes a second.
    messages : float
        Messages that a node sends, a second.
    platform_calls : float
        Calls of the whole fleet to the platform, a second.
    """

    cpu_share: float
    bytes_sent: float
    bytes_received: float
    messages: float
    platform_calls: float


class Spread(NamedTuple):
    """The distribution of some times, seconds.

    Parameters
    ----------
    p50, p99, max : float
        Percentiles and the maximum, rounded to milliseconds.
    count : int
        Number of times.
    """

    p50: float
    p99: float
    max: float
    count: int


def read_traffic(fleet: Fleet) -> Traffic:
    """Return the current counters."""
    counters = [node.peers.counters for node in fleet.nodes]
    return Traffic(
        time.monotonic(),
        time.process_time(),
        sum(counter.bytes_sent for counter in counters),
        sum(counter.bytes_received for counter in counters),
        sum(counter.messages_sent for counter in counters),
        fleet.platform.calls["total"],
    )


def compute_rates(before: Traffic, after: Traffic, nodes: int) -> Rates:
    """Return the mean traffic between two readings."""
    seconds = after.at - before.at
    return Rates(
        round((after.processor - before.processor) / seconds / nodes, 6),
        round((after.bytes_sent - before.bytes_sent) / seconds / nodes, 1),
        round((after.bytes_received - before.bytes_received) / seconds / nodes, 1),
        round((after.messages - before.messages) / seconds / nodes, 2),
        round((after.calls - before.calls) / seconds, 2),
    )


def compute_spread(times: Iterable[float]) -> Spread:
    """Return the spread of some times; all zero if there are none."""
    ordered = sorted(times)
    if not ordered:
        return Spread(0.0, 0.0, 0.0, 0)
    return Spread(
        round(get_percentile(ordered, 0.50), 3),
        round(get_percentile(ordered, 0.99), 3),
        round(ordered[-1], 3),
        len(ordered),
    )


def get_percentile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
