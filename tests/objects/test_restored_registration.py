"""Addresses and records of primaries are written again after a restore."""

import random

from treq.testing import RequestTraversalAgent
from twisted.internet.task import Clock

from beryltrack.failover.messages import ElectionKind, FailoverReport
from beryltrack.failover.primary_records import PATH_PREFIX, PrimaryRecordWriter
from beryltrack.objects.client import PlatformClient
from beryltrack.objects.eras import RESTORE_SPREAD
from beryltrack.objects.registration import PREFIX, RegistrationTask
from beryltrack.settings.messages import Endpoint
from beryltrack_standins.platform.limits import PlatformOptions
from beryltrack_standins.platform.server import PlatformServer

STEP = 0.1
LIMIT = RESTORE_SPREAD + 2.0
"""Seconds within which lost objects are written again once the era is observed."""


class Site:
    """A client and a store that is restored from backups."""

    def __init__(self):
        self.clock, self.rng = Clock(), random.Random(1)
        self.platform = PlatformServer(self.clock, PlatformOptions(), era=1)
        self.agent = RequestTraversalAgent(self.platform)
        self.client = PlatformClient(
            self.clock, "http://127.0.0.1", self.rng, agent=self.agent
        )

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            self.agent.flush()

    def observe_era(self):
        """Record the present era, as the answer to a call would."""
        self.client.eras.observe(self.platform.store.era)

    def has(self, path):
        return self.platform.store.get(path) is not None


def test_a_lost_address_is_written_again():
    site = Site()
    backup = site.platform.store.make_backup()
    endpoint = Endpoint("127.0.0.1", 1)
    task = RegistrationTask(
        site.clock, site.client, "a", endpoint, site.rng, lambda: 1.0
    )
    task.start()
    site.advance(2.0)
    assert site.has(f"{PREFIX}a")
    site.platform.restore(backup)
    site.observe_era()
    site.advance(LIMIT)
    assert site.has(f"{PREFIX}a")


def test_a_lost_record_of_the_primary_is_written_again():
    site = Site()
    backup = site.platform.store.make_backup()
    writer = PrimaryRecordWriter(site.clock, site.client, site.rng)
    writer.write(FailoverReport("g", ElectionKind.LOST, 4, "b", 0.25, 0.3))
    site.advance(2.0)
    site.platform.restore(backup)
    site.client.eras.subscribe(lambda era: writer.rewrite_all())
    site.observe_era()
    site.advance(LIMIT)
    assert site.platform.store.get(f"{PATH_PREFIX}g").value["primary"] == "b"
