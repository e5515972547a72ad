"""Closes the connections to databases that do not answer any more.

When a database's host is lost, its connections stay open and silent. As statements
have no time limit, requests on them would wait forever. The control requests of the
group's task do have one, and serve as failure detector: a database that answers them
is slow at most, one that does not is lost. Closing its connections ends each request
on them as after a lost answer.
"""

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from twisted.internet.interfaces import IDelayedCall

from beryltrack.clock import get_monotonic_clock
from beryltrack.connections.task import PoolTask
from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.task import GroupTask
from beryltrack.groups.view import NEVER, DatabaseView, GroupView
from beryltrack.pause_aware_clock import get_pause_aware_clock

log = logging.getLogger(__name__)


class LossPolicy(NamedTuple):
    """Times without an answer after which a database counts as lost, seconds.

    Parameters
    ----------
    grace : float
        For any database.
    replaced_grace : float
        For a primary whose successor is known. It is shorter than the time limit
        of the control requests, as writes on a replaced primary cannot be
        confirmed any more.
    """

    grace: float = 1.0
    replaced_grace: float = 0.2


DEFAULT_POLICY = LossPolicy()


def never_paused(since: float) -> float:
    """Return 0.0: the process was not paused."""
    return 0.0


def get_lost_databases(
    view: GroupView,
    now: float,
    policy: LossPolicy = DEFAULT_POLICY,
    get_paused_time: Callable[[float], float] = never_paused,
) -> tuple[str, ...]:
    """Return the names of the databases that are lost.

    Parameters
    ----------
    view : GroupView
        The group's view.
    now : float
        The instance's time, seconds.
    policy : LossPolicy
        Times without an answer after which a database counts as lost.
    get_paused_time : callable
        Returns how long this process has been paused since a time, seconds.

    Returns
    -------
    tuple of str
        In the order of the settings.
    """
    return tuple(
        item.name
        for item in view.databases
        if _is_lost(item, view, now, policy, get_paused_time)
    )


def _is_lost(
    item: DatabaseView,
    view: GroupView,
    now: float,
    policy: LossPolicy,
    get_paused_time: Callable[[float], float],
) -> bool:
    if item.seen_at == NEVER:
        # It has not been queried yet, so a missing answer shows nothing.
        return False
    silence = now - item.seen_at
    if item.role == PRIMARY and view.primary not in ("", item.name):
        # Its successor leads, whether this process was paused or not.
        return not item.reachable or silence >= policy.replaced_grace
    return (
        not item.reachable and silence - get_paused_time(item.seen_at) >= policy.grace
    )


class LossWatch:
    """Closes the connections to the lost databases of one group.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers, and of the time if it is a `task.Clock`.
    task : GroupTask
        Monitors the group.
    pools : mapping of str to PoolTask
        The pool of each database, by name.
    policy : LossPolicy
        Times without an answer after which a database counts as lost.
    """

    def __init__(
        self,
        reactor,
        task: GroupTask,
        pools: Mapping[str, PoolTask],
        policy: LossPolicy = DEFAULT_POLICY,
    ):
        self._reactor = reactor
        self._policy = policy
        self._seconds = get_monotonic_clock(reactor)
        self._pause_aware_clock = get_pause_aware_clock(reactor)
        self._task = task
        self._pools = pools
        self._timer: IDelayedCall | None = None
        task.subscribe(self.observe_view)

    def observe_view(self, view: GroupView) -> None:
        """Close connections to lost databases; check again while one is unreachable."""
        lost = get_lost_databases(
            view, self._seconds(), self._policy, self._pause_aware_clock.get_paused_time
        )
        for name in self._pools.keys() & lost:
            if self._pools[name].load.open:
                log.info(
                    "requests: database %s is lost, closing its connections.", name
                )
                self._pools[name].break_connections()
        silent = [item.name for item in view.databases if not item.reachable]
        has_work = any(
            self._pools[name].load.open for name in self._pools.keys() & silent
        )
        if has_work and self._timer is None:
            self._timer = self._reactor.callLater(self._policy.grace, self._check_again)

    def _check_again(self) -> None:
        self._timer = None
        self.observe_view(self._task.view)
