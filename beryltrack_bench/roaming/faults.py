"""Faults injected one after the other while the sessions work."""

import random
import time
from typing import NamedTuple

from beryltrack_bench.roaming.local_site import (
    PLATFORM,
    ReadyLine,
    set_fault,
    wait_for_primary,
)
from beryltrack_bench.roaming.records import Records

# Each fault that loses the primary, with the one that ends it.
PRIMARY_FAULTS = (("stop", "start"), ("isolate", "heal"), ("freeze", "thaw"))
HAND_OVER = "leave"
_PLATFORM_FAULTS = (None, ("down", None), ("slow", 0.3), ("lose_answers", 5))
# Times in seconds.
_LAG = 0.5
_TIMEOUT = 20.0
_PAUSE = 0.4


class FaultRecord(NamedTuple):
    """One fault and the recovery from it.

    Parameters
    ----------
    fault : str
        The fault of the primary.
    platform : str
        The platform's fault at that time; empty for none.
    gap : float or None
        Seconds from the fault until the acknowledgement of a write that began
        after it; None if there was none in time.
    replaced : bool
        True if there was a primary of a later term in time.
    """

    fault: str
    platform: str
    gap: float | None
    replaced: bool


def clear_faults(site: ReadyLine) -> None:
    """End all faults of all stand-ins."""
    set_fault(site, PLATFORM, "up")
    for database in site.databases:
        for _, end in PRIMARY_FAULTS:
            set_fault(site, database, end)
        set_fault(site, database, HAND_OVER, False)
        set_fault(site, database, "lag", 0.0)


def run_faults(
    site: ReadyLine, records: Records, rounds: int, rng: random.Random
) -> list[FaultRecord]:
    """Lose the primary repeatedly, with each kind of fault in turn.

    Parameters
    ----------
    site : ReadyLine
        The local site.
    records : Records
        Reports when writes succeed again.
    rounds : int
        Number of faults of the primary.
    rng : random.Random
        Source of pauses and of the platform's faults.

    Returns
    -------
    list of FaultRecord
        One for each round.
    """
    faults = (*PRIMARY_FAULTS, (HAND_OVER, HAND_OVER))
    result = []
    for number in range(rounds):
        time.sleep(_PAUSE + rng.random() * _PAUSE)
        fault, end = faults[number % len(faults)]
        result.append(_run_round(site, records, fault, end, rng))
    return result


def _run_round(
    site: ReadyLine, records: Records, fault: str, end: str, rng: random.Random
) -> FaultRecord:
    """Lose the primary once, wait until writes succeed, and end the fault."""
    platform_fault = rng.choice(_PLATFORM_FAULTS)
    if platform_fault is not None:
        set_fault(site, PLATFORM, *platform_fault)
    lagging = rng.choice(sorted(site.databases))
    set_fault(site, lagging, "lag", _LAG)
    primary = wait_for_primary(site, 0, _TIMEOUT)
    if primary is None:
        return FaultRecord(fault, "", None, False)
    lost_at = time.monotonic()
    set_fault(site, primary.name, fault)
    written_at = records.wait_for_write(lost_at, _TIMEOUT)
    replaced = wait_for_primary(site, primary.term, _TIMEOUT) is not None
    # In a planned hand-over the old primary accepts writes at first, so its gap is
    # only the latency of the first write.
    time.sleep(_PAUSE)
    set_fault(site, primary.name, end, False if end == HAND_OVER else None)
    set_fault(site, lagging, "lag", 0.0)
    set_fault(site, PLATFORM, "up")
    gap = None if written_at is None else written_at - lost_at
    name = platform_fault[0] if platform_fault else ""
    return FaultRecord(fault, name, gap, replaced)
