"""How often the databases of a group are asked for their status."""

from typing import NamedTuple


class ProbePolicy(NamedTuple):
    """How often databases are asked.

    Parameters
    ----------
    interval : float
        Seconds between two probes of a database in quiet times.
    suspect_interval : float
        Seconds between two probes while the primary may be lost.
    wait_slice : float
        Most seconds that one long poll holds a control connection, and so
        delays a grant that is asked for over it.
    """

    interval: float
    suspect_interval: float = 0.02
    wait_slice: float = 0.05


def make_probe_policy(lost_after: float) -> ProbePolicy:
    """Return the pace that notices a loss soon after `lost_after` seconds."""
    return ProbePolicy(interval=lost_after / 5)
