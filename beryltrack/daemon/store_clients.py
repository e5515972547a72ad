"""The clients of the platform's services: object store and promotion service."""

import random
from typing import NamedTuple

from beryltrack.clock import get_monotonic_clock
from beryltrack.daemon import node_options as options
from beryltrack.failover.authority import PromotionAuthority, StoreAuthority
from beryltrack.failover.unfenced_authority import (
    CONNECT_TIMEOUT,
    PERMIT_VALIDITY,
    UnfencedAuthority,
)
from beryltrack.objects.eras import EraTracker
from beryltrack.objects.http import HttpClient
from beryltrack.objects.lagging import LaggingFeed
from beryltrack.objects.rejects import RejectLog
from beryltrack.platform.promotion import PromotionClient
from beryltrack.platform.store import PlatformStore
from beryltrack.settings.messages import Endpoint
from beryltrack.settings.node import NodeSettings


class StoreClients(NamedTuple):
    """The clients of one instance.

    Parameters
    ----------
    store : PlatformStore
        The object store.
    lagging_store : LaggingFeed
        The same over the same connections; its lists may be seconds old, at a tenth
        of the cost.
    promotion : PromotionClient
        Carries out promotions.
    authority : PromotionAuthority
        Grants the permits for them.
    eras : EraTracker
        The era of the store, as reported in the answers to any of these clients.
    """

    store: PlatformStore
    lagging_store: LaggingFeed
    promotion: PromotionClient
    authority: PromotionAuthority
    eras: EraTracker


def make_store_clients(
    reactor, settings: NodeSettings, rng: random.Random, rejects: RejectLog
) -> StoreClients:
    """Return the clients of one instance.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    settings : NodeSettings
        Addresses of the services, and whether promotions are fenced.
    rng : random.Random
        Source of jitter, and of the name of this process.
    rejects : RejectLog
        Logs the problems of objects that cannot be decoded.
    """

    def make_client(
        endpoint: Endpoint,
        connect_timeout: float = options.STORE_TIMEOUT,
        timeout: float = options.STORE_TIMEOUT,
        eras: EraTracker | None = None,
    ) -> HttpClient:
        url = f"http://{endpoint.host}:{endpoint.port}"
        return HttpClient(
            reactor, url, rng, timeout, connect_timeout=connect_timeout, eras=eras
        )

    eras = EraTracker(get_monotonic_clock(reactor))
    http = make_client(settings.store, eras=eras)
    store = PlatformStore(http, rejects)
    if settings.is_fenced:
        promotions = make_client(settings.promotion)
        authority = StoreAuthority(store, settings.name, eras)
    else:
        promotions = make_client(settings.promotion, CONNECT_TIMEOUT)
        # A permit that is written after its validity is useless: the next is tried.
        permits = PlatformStore(
            make_client(settings.store, CONNECT_TIMEOUT, PERMIT_VALIDITY, eras), rejects
        )
        process = f"{rng.getrandbits(64):016x}"
        authority = UnfencedAuthority(
            permits, settings.name, process, get_monotonic_clock(reactor), eras
        )
    return StoreClients(
        store,
        LaggingFeed(store, PlatformStore(http, rejects, allows_stale_reads=True), eras),
        PromotionClient(promotions, settings.name),
        authority,
        eras,
    )
