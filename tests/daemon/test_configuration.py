"""A large configuration is parsed in slices, so that callers are served meanwhile."""

import pytest
from twisted.internet.task import Clock

from beryltrack.daemon.configuration import ConfigurationTask
from beryltrack.objects.fields import Field
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rows import SLICE_ROWS
from beryltrack.platform.settings import ROW_SCHEMAS, read_configuration
from tests.platform.test_settings import CONFIG

COUNT = 1400


def make_item(version, count, timeout=800):
    route = CONFIG["routes"][0] | {"timeout_ms": timeout}
    routes = [route | {"database_name": f"db{number}"} for number in range(count)]
    value = CONFIG | {"config_version": version, "routes": routes}
    return PlatformObject("config/main", version, value, False)


class CountingClock(Clock):
    """A clock that counts the scheduled calls."""

    call_count = 0

    def callLater(self, *args, **kwargs):  # noqa: N802
        self.call_count += 1
        return super().callLater(*args, **kwargs)


class Read:
    """A task and the versions that it parsed, in simulated time."""

    def __init__(self):
        self.clock, self.found = CountingClock(), []
        self.task = ConfigurationTask(
            self.clock, read_configuration, ROW_SCHEMAS, self.found.append
        )

    @property
    def versions(self):
        known = (each.configuration for each in self.found)
        return [each.version for each in known if each is not None]

    def finish(self):
        """Parse all versions; return the number of slices after the first."""
        self.clock.advance(0)
        assert not self.clock.getDelayedCalls()
        return self.clock.call_count


@pytest.fixture
def read():
    return Read()


def test_a_small_configuration_is_in_force_at_once(read):
    read.task.read(make_item(7, SLICE_ROWS - 1))
    assert read.versions == [7]


def test_a_large_configuration_is_read_in_slices(read):
    read.task.read(make_item(7, COUNT))
    assert read.versions == []
    assert read.finish() == COUNT // SLICE_ROWS
    assert len(read.found[0].configuration.routes) == COUNT
    read.task.read(make_item(8, COUNT))
    assert read.versions == [7, 8]


def test_versions_are_reported_in_order_of_arrival(read):
    """A later version may be older, after a restore of the store."""
    for version in (7, 9, 8):
        read.task.read(make_item(version, COUNT, 800 + version))
    read.finish()
    assert read.versions == [7, 9, 8]


def test_an_invalid_version_does_not_block_the_next(read):
    for value in (None, {"routes": 3}, CONFIG | {"routes": [None, {}]}):
        read.task.read(PlatformObject("config/main", 1, value, False))
    read.task.read(make_item(2, 1))
    assert read.versions[-1:] == [2] and len(read.found) == 4


def test_an_exception_of_the_callback_does_not_block_the_next_version(caplog):
    taken = []

    def callback(found):
        taken.append(found)
        raise RuntimeError("a defect")

    task = ConfigurationTask(Clock(), read_configuration, ROW_SCHEMAS, callback)
    task.read(make_item(7, 1))
    task.read(make_item(8, 1))
    assert len(taken) == 2 and "Applying a configuration failed" in caplog.text


def test_an_exception_in_a_slice_does_not_block_the_version(caplog):
    def parse(value):
        raise RuntimeError("a defect")

    schemas = {"routes": (Field("database_name", parse),)}
    taken = []
    task = ConfigurationTask(Clock(), read_configuration, schemas, taken.append)
    task.read(make_item(7, 1))
    task.read(make_item(8, 1))
    assert [each.item.version for each in taken] == [7, 8]
    assert "Parsing a configuration in slices failed" in caplog.text


def test_nothing_is_read_after_the_stop(read):
    read.task.read(make_item(7, COUNT))
    read.task.stop()
    read.finish()
    assert read.found == []
