"""The status page of one instance on the users' platform: queues, limits and owners.

It complements the metrics, which are numbers only: the owners of a group and the owner
that this instance uses are names.
"""

import json
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from twisted.web.http import OK

from beryltrack.accounts.slots import SLOT_COUNT
from beryltrack.daemon.group_connections import get_max_connections
from beryltrack.daemon.plain_pages import JSON, Page, RenderPage
from beryltrack.load.gate_status import GateSource, GateStatus
from beryltrack.load.messages import LOWEST_PRIORITY, OwnerLoads
from beryltrack.relay.directory import RelayDirectory
from beryltrack.requests.runtime import GroupRuntime

GetRuntimes = Callable[[], Iterable[GroupRuntime]]


class DatabaseLoad(NamedTuple):
    """The load of one database as seen by this instance.

    Parameters
    ----------
    name : str
        Name of the database.
    busy : int
        Connections and sessions that run a statement or a transaction.
    waiting : int
        Requests that wait here for a connection or session.
    limit : int
        Highest number of connections and sessions.
    waits : tuple of float
        Expected wait through the owner that is used next, seconds, by priority; empty
        if this instance owns the group or knows no owner.
    """

    name: str
    busy: int
    waiting: int
    limit: int
    waits: tuple[float, ...] = ()


class GroupLoad(NamedTuple):
    """The owners of one group, and its load as seen by this instance.

    Parameters
    ----------
    name : str
        Name of the group.
    term : int
        Term of its primary; zero if none is known.
    primary : str
        That primary; empty if none is known.
    owners : tuple of str
        Instances that open connections for it; empty if all instances do.
    way : str
        The owner that is used next; empty if this instance connects directly.
    databases : tuple of DatabaseLoad
        Its databases.
    """

    name: str
    term: int
    primary: str
    owners: tuple[str, ...]
    way: str
    databases: tuple[DatabaseLoad, ...]


class LoadStatus(NamedTuple):
    """The status page.

    Parameters
    ----------
    instance : str
        Name of the instance.
    zone : str
        Its availability zone.
    state : str
        ``starting``, ``live`` or ``leaving``.
    settings_version : int
        Version of the settings in force.
    groups : tuple of GroupLoad
        All groups.
    gates : tuple of GateStatus
        The gates that it runs as an owner.
    account_slots : mapping of str to int
        Number of account hash slots that each owner has, as this instance sees it;
        empty without accounts.
    """

    instance: str
    zone: str
    state: str
    settings_version: int
    groups: tuple[GroupLoad, ...]
    gates: tuple[GateStatus, ...]
    account_slots: Mapping[str, int]


class PoolGates:
    """The reports and counters of the gates of an instance's pools; see `GateSource`.

    Parameters
    ----------
    get_runtimes : callable
        Returns the groups.
    """

    def __init__(self, get_runtimes: GetRuntimes):
        self._get_runtimes = get_runtimes

    def list_gates(self) -> Iterable[GateStatus]:
        """Return the status of each gate."""
        for runtime in self._get_runtimes():
            for name, pool in runtime.pools.items():
                report, counters = pool.get_report(), pool.get_counters()
                if report is not None and counters is not None:
                    yield GateStatus(
                        runtime.settings.name,
                        name,
                        report.limit,
                        report.running,
                        counters.waiting,
                        report.waits,
                        counters.refused,
                        counters.put_out,
                    )


class LoadView:
    """Builds the status of an instance's load.

    Parameters
    ----------
    directory : RelayDirectory
        Knows the owners of each group.
    get_runtimes : callable
        Returns the groups.
    owner_loads : OwnerLoads or None
        Estimates of the owners' load.
    """

    def __init__(
        self,
        directory: RelayDirectory,
        get_runtimes: GetRuntimes,
        owner_loads: OwnerLoads | None = None,
    ):
        self.gates: GateSource = PoolGates(get_runtimes)
        self._directory = directory
        self._get_runtimes = get_runtimes
        self._owner_loads = owner_loads

    def build(
        self, instance: str, zone: str, state: str, settings_version: int
    ) -> LoadStatus:
        """Return the current status."""
        return LoadStatus(
            instance,
            zone,
            state,
            settings_version,
            tuple(map(self._build_group, self._get_runtimes())),
            tuple(self.gates.list_gates()),
            self._count_slots(),
        )

    def _build_group(self, runtime: GroupRuntime) -> GroupLoad:
        """Return the owners of a group, and its load as seen by this instance."""
        name, limit = runtime.settings.name, get_max_connections(runtime.settings)
        owners = self._directory.get_placement(name, limit).owners
        owner = self._directory.choose_owner(name, limit)
        via = owner.name if owner is not None else ""
        databases = (
            DatabaseLoad(
                database,
                pool.load.in_use,
                pool.load.waiting,
                pool.load.limit,
                self._get_waits(via, database),
            )
            for database, pool in runtime.pools.items()
        )
        return GroupLoad(
            name,
            runtime.view.term,
            runtime.view.primary,
            tuple(owner.name for owner in owners),
            via,
            tuple(databases),
        )

    def _get_waits(self, owner: str, database: str) -> tuple[float, ...]:
        """Return the expected waits through an owner, by priority."""
        if self._owner_loads is None or not owner:
            return ()
        return tuple(
            round(self._owner_loads.get_wait(owner, database, priority), 4)
            for priority in range(LOWEST_PRIORITY + 1)
        )

    def _count_slots(self) -> Mapping[str, int]:
        """Return the number of account hash slots of each owner."""
        if not self._directory.has_accounts:
            return {}
        choose = self._directory.choose_slot_owner
        return Counter(choose(slot).name for slot in range(SLOT_COUNT))


def make_status_page(get_status: Callable[[], LoadStatus]) -> RenderPage:
    """Return a page that shows the status as JSON."""

    def render() -> Page:
        body = json.dumps(to_json_value(get_status())) + "\n"
        return Page(OK, body.encode(), JSON)

    return render


def to_json_value(value: object) -> object:
    """Convert a value to types that JSON has; an infinite number becomes null.

    The converter of `beryltrack.json_form` is not used as its import slows the start.
    """
    match value:
        case Enum():
            return value.name.lower()
        case Mapping():
            return {
                str(to_json_value(key)): to_json_value(each)
                for key, each in value.items()
            }
        case tuple() if hasattr(value, "_asdict"):
            return to_json_value(value._asdict())
        case tuple():
            return [to_json_value(each) for each in value]
        case float() if not math.isfinite(value):
            return None
        case _:
            return value
