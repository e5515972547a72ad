"""After a restore of the store the newer era wins among watchers and followers.

The store is restored from a backup while some instances are refused, cut off or
starting. Instances with copies of the old era must not spread these again, and
instances that learn of the new era from others adopt it though its revisions are lower.
"""

import random

import pytest

from beryltrack.objects.eras import get_era, get_revision, make_version
from beryltrack.objects.messages import ErrorKind, PlatformObject
from beryltrack.relay.owners import Peer
from beryltrack.settings.messages import Endpoint
from tests.objects.test_shared_copies import (
    KINDS,
    Fleet,
    Instance,
    Store,
    StoreClient,
    fail,
)

LOST_REVISIONS = (1, 7)


class EraStoreClient(StoreClient):
    """The store as one instance reaches it, with eras."""

    async def watch(self, kind, after, timeout):
        expired = fail(ErrorKind.EXPIRED, "of another era")
        if get_era(after) != self.store.era:
            return expired
        if get_revision(after) > get_revision(self.store.revision):
            return expired
        answer = await super().watch(kind, after, timeout)
        return answer if get_era(after) == self.store.era else expired


class EraFleet(Fleet):
    """A fleet whose store can be restored from a backup."""

    def __init__(self, count, monkeypatch):
        monkeypatch.setattr(
            "tests.objects.test_shared_copies.StoreClient", EraStoreClient
        )
        monkeypatch.setattr(Store, "era", 0, raising=False)
        super().__init__(count)
        self.enter_era(1)
        self.change()

    def enter_era(self, era):
        """Move the store and all its versions to an era."""
        self.store.era = era
        self.store.revision = make_version(era, get_revision(self.store.revision))
        self.store.objects = {
            path: item._replace(version=make_version(era, get_revision(item.version)))
            for path, item in self.store.objects.items()
        }

    def lose_writes(self, count):
        """Restore the store to before its last writes, and write the values again."""
        values = [self.store.objects[f"{kind}/main"].value for kind in KINDS]
        self.store.revision -= count + len(KINDS)
        self.store.objects = {
            path: PlatformObject(path, self.store.revision, -1, False)
            for path in self.store.objects
        }
        self.enter_era(self.store.era + 1)
        for kind, value in zip(KINDS, values, strict=True):
            self.store.put(kind, value)

    def write(self, count):
        """Advance the revision by writes that the restore loses."""
        self.store.revision += count

    def choose_value(self):
        """Return a value above all earlier ones; here revisions may decrease."""
        return max(each.value for each in self.store.objects.values()) + 1


@pytest.fixture
def make_fleet(monkeypatch):
    return lambda count: EraFleet(count, monkeypatch)


@pytest.mark.parametrize("lost", LOST_REVISIONS)
@pytest.mark.parametrize("count", [6, 60])
def test_a_change_after_the_restore_reaches_all(make_fleet, count, lost):
    fleet = make_fleet(count)
    fleet.write(lost)
    fleet.change()
    fleet.store.is_silent = True
    fleet.run(2.6)
    fleet.lose_writes(lost)
    fleet.store.is_silent = False
    fleet.change()


@pytest.mark.parametrize("seed", range(4))
def test_instances_that_the_store_refuses_adopt_the_new_era(make_fleet, seed):
    fleet = make_fleet(60)
    names = sorted(fleet.instances)
    fleet.store.refused.update(random.Random(seed).sample(names, 20))
    fleet.run(4.0)
    fleet.write(5)
    fleet.change()
    fleet.lose_writes(5)
    fleet.change()


@pytest.mark.parametrize("seed", range(4))
def test_instances_that_were_cut_off_do_not_spread_old_copies(make_fleet, seed):
    fleet = make_fleet(60)
    cut = random.Random(seed).sample(sorted(fleet.watchers), 6)
    fleet.write(9)
    fleet.change()
    fleet.cut.update(cut)
    fleet.store.refused.update(cut)
    fleet.run(3.0)
    fleet.lose_writes(9)
    fleet.change(exempt=cut)
    fleet.cut.clear()
    fleet.run(4.0)
    fleet.store.refused.clear()
    fleet.run(4.0)
    fleet.change()
    eras = {
        get_era(feed.revision)
        for each in fleet.instances.values()
        for feed in each.feeds
    }
    assert eras == {2}


def test_an_instance_that_starts_meanwhile_adopts_the_new_era(make_fleet):
    fleet = make_fleet(60)
    fleet.write(4)
    fleet.change()
    fleet.lose_writes(4)
    peers = [each.peer for each in fleet.instances.values()]
    peers.append(Peer("n99", "z1", Endpoint("n99", 1), Endpoint("n99", 2)))
    fleet.instances["n99"] = Instance(fleet, peers[-1])
    fleet.instances["n99"].start(tuple(peers))
    fleet.change()


def test_restores_in_a_row_are_followed(make_fleet):
    fleet = make_fleet(60)
    for _ in range(4):
        fleet.write(3)
        fleet.lose_writes(3)
        fleet.run(0.2)
    fleet.change()
