"""Status of an owner's gates, for the metrics and the status page."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from beryltrack.connections.messages import RefusalReason
from beryltrack.metrics.messages import MetricSample, format_label


class GateStatus(NamedTuple):
    """Status of one owner's gate for one database.

    Parameters
    ----------
    group : str
        Name of the group.
    database : str
        Name of the database.
    limit : int
        Operations that the owner lets run there at once.
    running : int
        Operations that the owner has running there.
    waiting : tuple of int
        Operations that wait, by priority from zero on.
    waits : tuple of float
        Expected wait of an operation that arrives now, seconds, by priority.
    refused : mapping of RefusalReason to int
        Operations that were refused on arrival, since the gate was created.
    put_out : mapping of RefusalReason to int
        Operations that were evicted (refused after they had waited), since then.
    """

    group: str
    database: str
    limit: int
    running: int
    waiting: tuple[int, ...] = ()
    waits: tuple[float, ...] = ()
    refused: Mapping[RefusalReason, int] = {}
    put_out: Mapping[RefusalReason, int] = {}


class GateSource(Protocol):
    """Provides the status of an instance's gates."""

    def list_gates(self) -> Iterable[GateStatus]:
        """Return the status of each gate; none where the instance owns no group."""


def render_gates(gates: Iterable[GateStatus]) -> Iterable[MetricSample]:
    """Return the values of gates as samples of the metrics page."""
    for gate in gates:
        labels = ",".join(
            (format_label("group", gate.group), format_label("database", gate.database))
        )
        yield "beryltrack_gate_limit", labels, gate.limit
        yield "beryltrack_gate_running", labels, gate.running
        for priority, count in enumerate(gate.waiting):
            own = f'{labels},priority="{priority}"'
            yield "beryltrack_gate_waiting", own, count
        for priority, wait in enumerate(gate.waits):
            own = f'{labels},priority="{priority}"'
            yield "beryltrack_gate_expected_wait_seconds", own, round(wait, 4)
        for name, reasons in (("refused", gate.refused), ("put_out", gate.put_out)):
            for reason, count in reasons.items():
                own = f'{labels},reason="{reason.name.lower()}"'
                yield f"beryltrack_gate_{name}_total", own, count
