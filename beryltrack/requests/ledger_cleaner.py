"""Removes rows of the ledger that are older than the group's retention time.

For each group one instance, chosen by rank, removes them in small batches. If two
instances both consider themselves chosen, they remove the same rows, without harm.
"""

import logging
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from beryltrack.requests.admission_task import UNADMITTED, Ticket
from beryltrack.requests.execution import run_command
from beryltrack.requests.ledger import UNDEFINED_TABLE, format_removal
from beryltrack.requests.protocol import RunLost
from beryltrack.requests.runtime import GroupRuntime
from beryltrack.requests.services import RequestServices
from beryltrack.requests.targets import TargetSearch, find_target
from beryltrack.routing.messages import WriteRequest

log = logging.getLogger(__name__)

PERIOD = 60.0
"""Seconds between two removals in one group, before jitter."""

MAX_BATCH = 1000
"""Maximum number of rows that one removal deletes."""


class LedgerCleaner:
    """Cleans the ledgers of the groups that this instance is chosen for.

    Parameters
    ----------
    services : RequestServices
        Services of this instance.
    get_runtimes : callable
        Returns the runtimes of all groups.
    is_chosen : callable
        Returns whether this instance cleans the ledger of the named group.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        services: RequestServices,
        get_runtimes: Callable[[], tuple[GroupRuntime, ...]],
        is_chosen: Callable[[str], bool],
        rng: random.Random,
    ):
        self._services = services
        self._get_runtimes = get_runtimes
        self._is_chosen = is_chosen
        self._period = PERIOD * rng.uniform(0.75, 1.25)
        self._cleaning = LoopingCall(self._clean_all)
        self._cleaning.clock = services.reactor

    def start(self) -> None:
        """Start cleaning periodically."""
        self._cleaning.start(self._period, now=False)

    def stop(self) -> None:
        """Stop cleaning."""
        if self._cleaning.running:
            self._cleaning.stop()

    def _clean_all(self) -> Deferred:
        """Clean each group that this instance is chosen for, one by one."""
        return Deferred.fromCoroutine(self._clean_chosen())

    async def _clean_chosen(self) -> None:
        for runtime in self._get_runtimes():
            # Only at-most-once requests through this instance show it that the
            # group has a ledger.
            if runtime.is_ledger_ready and self._is_chosen(runtime.settings.name):
                await clean_ledger(self._services, runtime, datetime.now(UTC))


async def clean_ledger(
    services: RequestServices, runtime: GroupRuntime, now: datetime
) -> bool:
    """Remove old rows of one group's ledger.

    Parameters
    ----------
    services : RequestServices
        Services of this instance.
    runtime : GroupRuntime
        The group.
    now : datetime
        The current time.

    Returns
    -------
    bool
        True if the removal ran. A later one removes the rows that are left.
    """
    arrived_at = services.seconds()
    ticket = Ticket(UNADMITTED, services.admission)
    give_up_at = arrived_at + services.policy.target_timeout
    search = TargetSearch(services, runtime, ticket, give_up_at)
    found = await find_target(search, WriteRequest(arrived_at))
    if isinstance(found, Failure):
        return False
    target = found.unwrap()
    age = timedelta(seconds=runtime.settings.ledger_retention)
    before = (now - age).isoformat(timespec="seconds")
    end = await run_command(target.connection, format_removal(before, MAX_BATCH))
    target.pool.release(target.connection, not isinstance(end, RunLost))
    if isinstance(end, RunLost):
        return False
    if end.error is not None and end.error.sqlstate != UNDEFINED_TABLE:
        log.warning(
            "requests: removal of old rows from the ledger of group %s failed: %s;"
            " they stay until the next removal.",
            runtime.settings.name,
            end.error.message,
        )
    return end.error is None
