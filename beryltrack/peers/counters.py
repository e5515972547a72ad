"""Counters of the peer links' traffic, and their OpenTelemetry instruments."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from opentelemetry.metrics import CallbackOptions, Meter, Observation


@dataclass
class LinkCounters:
    """Traffic of all links of one proxy since its start.

    Parameters
    ----------
    bytes_sent, bytes_received : int
        Bytes written to and read from TCP connections.
    messages_sent, messages_received : int
        Messages; each is one frame.
    malformed : int
        Messages that could not be decoded or hold an invalid item.
    refused : int
        Links closed because the peer failed the handshake.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    malformed: int = 0
    refused: int = 0


def register_counters(meter: Meter, counters: LinkCounters) -> None:
    """Register an observable counter for each field.

    Parameters
    ----------
    meter : Meter
        The process's meter.
    counters : LinkCounters
        The counters of its peer task.
    """
    for name in vars(counters):
        meter.create_observable_counter(
            f"beryltrack_peers_{name}", [_make_reader(counters, name)]
        )


def _make_reader(
    counters: LinkCounters, name: str
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return the callback that reads one counter."""

    def read_counter(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(getattr(counters, name))]

    return read_counter
