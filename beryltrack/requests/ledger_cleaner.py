"""Removes rows of the ledger that are older than the group's retention.

One instance does that for each group, chosen by rank, a little at a time.
Two that both believe to be chosen only remove the same rows.
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
"""Seconds between two removals of one group."""

BATCH = 1000
"""Most rows of one removal."""


class LedgerCleaner:
    """Cleans the ledgers of the groups that this instance is chosen for.

    Parameters
    ----------
    services : RequestServices
        What requests share.
    get_runtimes : callable
        Returns the runtimes of all groups.
    is_chosen : callable
        Returns whether this instance cleans the group of a name.
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
        """Begin to clean."""
        self._cleaning.start(self._period, now=False)

    def stop(self) -> None:
        """Clean no more."""
        if self._cleaning.running:
            self._cleaning.stop()

    def _clean_all(self) -> Deferred:
        """Clean each group that this instance is chosen for, one by one."""
        return Deferred.fromCoroutine(self._clean_chosen())

    async def _clean_chosen(self) -> None:
        for runtime in self._get_runtimes():
            # Only a group whose marked requests came by here has a known ledger.
            if runtime.is_ledger_ready and self._is_chosen(runtime.settings.name):
                await clean_ledger(self._services, runtime, datetime.now(UTC))


async def clean_ledger(
    services: RequestServices, runtime: GroupRuntime, now: datetime
) -> bool:
    """Remove old rows of one group's ledger.

    Parameters
    ----------
    services : RequestServices
        What requests share.
    runtime : GroupRuntime
        The group.
    now : datetime
        The present time.

    Returns
    -------
    bool
        True if the removal was run. Rows that stay are removed another time.
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
    end = await run_command(target.connection, format_removal(before, BATCH))
    target.pool.release(target.connection, not isinstance(end, RunLost))
    if isinstance(end, RunLost):
        return False
    if end.error is not None and end.error.sqlstate != UNDEFINED_TABLE:
        log.warning(
            "requests: Ledger of %s not cleaned: %s.",
            runtime.settings.name,
            end.error.message,
        )
    return end.error is None
