"""Settings of one instance process where the platform supplies them at its start."""

from typing import NamedTuple

from beryltrack.accounts.quota import Tolerance
from beryltrack.load.policy import LoadPolicy
from beryltrack.settings.mechanisms import Mechanism
from beryltrack.settings.messages import Endpoint

DEFAULT_CHANGE_LIMIT = 3.0
"""Seconds within which a change of the settings must be in force, if the platform does
not state it; the shortest limit of the current sites."""

DEFAULT_DRAIN_LIMIT = 7.0
"""Seconds within which a draining database must get no new work, if the platform does
not state it."""


class NodeSettings(NamedTuple):
    """Settings of one instance process.

    Parameters
    ----------
    name : str
        Name of the instance, unique in the fleet.
    zone : str
        Its availability zone.
    listen : Endpoint
        Listen address for callers.
    ready_listen : Endpoint
        Listen address for the balancer's readiness checks.
    member_listen : Endpoint
        Listen address for other instances' liveness probes.
    relay_listen : Endpoint
        Listen address for statements that other instances relay through this
        instance's connections to databases.
    store : Endpoint
        The object store.
    promotion : Endpoint
        The service that promotes databases to primary.
    grace : float
        Termination grace period: seconds between SIGTERM and SIGKILL.
    is_first_start : bool
        True if the deployment starts for the first time.
    snapshot_listen : Endpoint or None
        Listen address for snapshots of this instance's cached copies of the store's
        objects; None if it serves none.
    snapshot_sources : tuple of Endpoint
        Addresses at which other instances may serve their snapshots.
    is_fenced : bool
        True if the promotion service refuses a fencing token lower than the highest
        that it has seen. Where it does not, replaced primaries also stay active
        for a while.
    change_limit : float
        Seconds within which a confirmed change of the settings must be in force.
    drain_limit : float
        Seconds within which a draining database must get no new work.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    capacity : float
        Processor time that the instance may use, in cores.
    tolerance : Tolerance
        Extent to which accounts may exceed their limits.
    load : LoadPolicy
        Parameters of admission control and queueing under load.
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
        """Listen address for the feed of store changes: the snapshots' port plus 1."""
        snapshot = self.snapshot_listen
        return None if snapshot is None else Endpoint(snapshot.host, snapshot.port + 1)

    @property
    def cache_sources(self) -> tuple[Endpoint, ...]:
        """Addresses at which other instances may serve their feeds of store changes."""
        return tuple(
            Endpoint(snapshot.host, snapshot.port + 1)
            for snapshot in self.snapshot_sources
        )

    @property
    def quota_listen(self) -> Endpoint | None:
        """Listen address for accounts' quota shares: the snapshots' port plus 2."""
        snapshot = self.snapshot_listen
        return None if snapshot is None else Endpoint(snapshot.host, snapshot.port + 2)
