"""The status of one instance on the users' platform: queues, limits, who decides.

A page of its own beside the metrics, as these are numbers only: who owns a group, and
through whom this instance goes, are names.
"""

import json
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from twisted.web.http import OK

from beryltrack.accounts.slots import SLOT_COUNT
from beryltrack.daemon.group_connections import get_most_connections
from beryltrack.daemon.plain_pages import JSON, Page, RenderPage
from beryltrack.load.gate_status import GateSource, GateStatus
from beryltrack.load.messages import LOWEST_PRIORITY, OwnerLoads
from beryltrack.relay.directory import RelayDirectory
from beryltrack.requests.runtime import GroupRuntime

GetRuntimes = Callable[[], Iterable[GroupRuntime]]


class DatabaseLoad(NamedTuple):
    """What this instance has to do with one database.

    Parameters
    ----------
    name : str
        Name of the database.
    busy : int
        Connections and sessions that run a statement or a transaction.
    waiting : int
        Requests that wait for one here.
    limit : int
        How many there may be.
    waits : tuple of float
        Expected wait through the owner that is asked next, seconds, by priority; empty
        if this instance owns the group or knows none.
    """

    name: str
    busy: int
    waiting: int
    limit: int
    waits: tuple[float, ...] = ()


class GroupLoad(NamedTuple):
    """Who decides for one group, and what waits for it here.

    Parameters
    ----------
    name : str
        Name of the group.
    term : int
        Term of its primary; zero if none is known.
    primary : str
        That primary; empty if none is known.
    owners : tuple of str
        Instances that decide for it; empty if each decides for itself.
    way : str
        The owner that is asked next; empty if this instance decides itself.
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
        Where it stands between its start and its end.
    settings_version : int
        Version of the settings in force.
    groups : tuple of GroupLoad
        All groups.
    gates : tuple of GateStatus
        What it decides as an owner.
    account_slots : mapping of str to int
        Of the slots of accounts, how many each owner decides for as this instance sees
        it; empty where there are no accounts.
    """

    instance: str
    zone: str
    state: str
    settings_version: int
    groups: tuple[GroupLoad, ...]
    gates: tuple[GateStatus, ...]
    account_slots: Mapping[str, int]


class PoolGates:
    """What the gates of an instance's pools report and count; see `GateSource`.

    Parameters
    ----------
    get_runtimes : callable
        Returns the groups.
    """

    def __init__(self, get_runtimes: GetRuntimes):
        self._get_runtimes = get_runtimes

    def list_gates(self) -> Iterable[GateStatus]:
        """Return what each gate reports."""
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
    """Puts the status of an instance's load together.

    Parameters
    ----------
    directory : RelayDirectory
        Says who owns each group.
    get_runtimes : callable
        Returns the groups.
    owner_loads : OwnerLoads or None
        What is known of the load through owners.
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
        """Return the status as it is now."""
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
        """Return who decides for a group, and what waits for it here."""
        name, limit = runtime.settings.name, get_most_connections(runtime.settings)
        owners = self._directory.get_placement(name, limit).owners
        way = self._directory.choose_owner(name, limit)
        way_name = way.name if way is not None else ""
        databases = (
            DatabaseLoad(
                database,
                pool.load.in_use,
                pool.load.waiting,
                pool.load.limit,
                self._get_waits(way_name, database),
            )
            for database, pool in runtime.pools.items()
        )
        return GroupLoad(
            name,
            runtime.view.term,
            runtime.view.primary,
            tuple(owner.name for owner in owners),
            way_name,
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
        """Return how many slots of accounts each owner decides for."""
        if not self._directory.has_accounts:
            return {}
        choose = self._directory.choose_slot_owner
        return Counter(choose(slot).name for slot in range(SLOT_COUNT))


def make_status_page(get_status: Callable[[], LoadStatus]) -> RenderPage:
    """Return the page that shows the status as JSON."""

    def render() -> Page:
        body = json.dumps(simplify(get_status())) + "\n"
        return Page(OK, body.encode(), JSON)

    return render


def simplify(value: object) -> object:
    """Return a value in the forms that JSON has; an infinite number becomes null.

    The converter of `beryltrack.json_form` would cost an instance its import.
    """
    match value:
        case Enum():
            return value.name.lower()
        case Mapping():
            return {str(simplify(key)): simplify(each) for key, each in value.items()}
        case tuple() if hasattr(value, "_asdict"):
            return simplify(value._asdict())
        case tuple():
            return [simplify(each) for each in value]
        case float() if not math.isfinite(value):
            return None
        case _:
            return value
