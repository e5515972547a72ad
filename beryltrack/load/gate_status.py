"""What an owner's gates have counted, for the metrics and the status page."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from beryltrack.connections.messages import RefusalReason
from beryltrack.metrics.messages import MetricSample, format_label


class GateStatus(NamedTuple):
    """One database as the gate of one owner sees it.

    Parameters
    ----------
    group : str
        Name of the group.
    database : str
        Name of the database.
    limit : int
        Operations that it lets run there at once.
    running : int
        Operations that run there.
    waiting : tuple of int
        Operations that wait, by priority from zero on.
    waits : tuple of float
        Expected wait of an operation that comes now, seconds, by priority.
    refused : mapping of RefusalReason to int
        Operations that were refused as they came, since the start of the process.
    put_out : mapping of RefusalReason to int
        Operations that were refused after they had waited, since then.
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
    """Where the counts of an instance's gates come from."""

    def list_gates(self) -> Iterable[GateStatus]:
        """Return what each gate has counted; nothing where the instance owns none."""


def render_gates(counts: Iterable[GateStatus]) -> Iterable[MetricSample]:
    """Return the values of gates in the form of the metrics page."""
    for gate in counts:
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
