"""What one process learns of itself where the platform writes its settings."""

from typing import NamedTuple

from beryltrack.accounts.quota import Tolerance
from beryltrack.load.policy import LoadPolicy
from beryltrack.settings.mechanisms import Mechanism
from beryltrack.settings.messages import Endpoint

DEFAULT_CHANGE_LIMIT = 3.0
"""Seconds within which a change of the settings must be in force, if not stated; the
shortest limit of today's sites."""

DEFAULT_DRAIN_LIMIT = 7.0
"""Seconds until a database that is to leave gets no new work, if not stated."""


class NodeSettings(NamedTuple):
    """A process's own settings.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the fleet.
    zone : str
        Its availability zone.
    listen : Endpoint
        Where callers connect.
    ready_listen : Endpoint
        Where the balancer asks whether the instance takes callers.
    member_listen : Endpoint
        Where other instances look whether this one is there.
    relay_listen : Endpoint
        Where other instances use this one's connections to databases.
    store : Endpoint
        The object store.
    promotion : Endpoint
        The service that carries out promotions.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    is_first_start : bool
        True if the whole system starts for the first time.
    snapshot_listen : Endpoint or None
        Where this instance gives its copies of the store's objects; None if nowhere.
    snapshot_sources : tuple of Endpoint
        Where others may give theirs.
    is_fenced : bool
        True if the service that promotes refuses a lower fencing token than it has
        seen. Where it does not, replaced primaries go on for a while, too.
    change_limit : float
        Seconds within which a confirmed change of the settings must be in force.
    drain_limit : float
        Seconds within which a database that is to leave must get no new work.
    disabled : frozenset of Mechanism
        What the instance does without.
    capacity : float
        Processor time that it may use, in cores.
    tolerance : Tolerance
        How far accounts may exceed their limits.
    load : LoadPolicy
        The figures of the decisions under load.
    """

    name: str
    zone: str
    listen: Endpoint
    ready_listen: Endpoint
    member_listen: Endpoint
    relay_listen: Endpoint
    store: Endpoint
    promotion: Endpoint
    grace: float
    is_first_start: bool = True
    snapshot_listen: Endpoint | None = None
    snapshot_sources: tuple[Endpoint, ...] = ()
    is_fenced: bool = True
    change_limit: float = DEFAULT_CHANGE_LIMIT
    drain_limit: float = DEFAULT_DRAIN_LIMIT
    disabled: frozenset[Mechanism] = frozenset()
    capacity: float = 1.0
    tolerance: Tolerance = Tolerance()
    load: LoadPolicy = LoadPolicy()

    @property
    def cache_listen(self) -> Endpoint | None:
        """Where it tells others of changes in the store: the port after the copies'."""
        place = self.snapshot_listen
        return None if place is None else Endpoint(place.host, place.port + 1)

    @property
    def cache_sources(self) -> tuple[Endpoint, ...]:
        """Where others may tell of changes in the store."""
        return tuple(
            Endpoint(place.host, place.port + 1) for place in self.snapshot_sources
        )

    @property
    def quota_listen(self) -> Endpoint | None:
        """Where it takes rights to run accounts' operations: the port after that."""
        place = self.snapshot_listen
        return None if place is None else Endpoint(place.host, place.port + 2)
