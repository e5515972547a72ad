"""A large change of the configuration is read beside the callers' requests."""

import pytest
from twisted.internet.task import Clock

from beryltrack.daemon.configuration import ConfigurationTask
from beryltrack.objects.fields import Field
from beryltrack.objects.messages import PlatformObject
from beryltrack.objects.rows import SLICE_ROWS
from beryltrack.platform.settings import ROW_TABLES, read_configuration
from tests.platform.test_settings import CONFIG

COUNT = 1400


def make_item(version, count, timeout=800):
    route = CONFIG["routes"][0] | {"timeout_ms": timeout}
    routes = [route | {"database_name": f"db{number}"} for number in range(count)]
    value = CONFIG | {"config_version": version, "routes": routes}
    return PlatformObject("config/main", version, value, False)


class CountingClock(Clock):
    """A clock that counts the calls that it was asked for."""

    turns = 0

    def callLater(self, *args, **kwargs):  # noqa: N802
        self.turns += 1
        return super().callLater(*args, **kwargs)


class Read:
    """The versions that were read, in simulated time."""

    def __init__(self):
        self.clock, self.found = CountingClock(), []
        self.task = ConfigurationTask(
            self.clock, read_configuration, ROW_TABLES, self.found.append
        )

    @property
    def versions(self):
        known = (each.configuration for each in self.found)
        return [each.version for each in known if each is not None]

    def finish(self):
        """Go on until nothing is left; return in how many turns it was read."""
        self.clock.advance(0)
        assert not self.clock.getDelayedCalls()
        return self.clock.turns


@pytest.fixture
def read():
    return Read()


def test_a_small_configuration_is_in_force_at_once(read):
    read.task.read(make_item(7, SLICE_ROWS - 1))
    assert read.versions == [7]


def test_a_large_one_is_read_in_turns_between_which_others_run(read):
    read.task.read(make_item(7, COUNT))
    assert read.versions == []
    assert read.finish() == COUNT // SLICE_ROWS
    assert len(read.found[0].configuration.routes) == COUNT
    read.task.read(make_item(8, COUNT))
    assert read.versions == [7, 8]


def test_versions_are_given_in_the_order_in_which_they_came(read):
    """One that came later may be older, of a store that was restored."""
    for version in (7, 9, 8):
        read.task.read(make_item(version, COUNT, 800 + version))
    read.finish()
    assert read.versions == [7, 9, 8]


def test_one_that_cannot_be_read_holds_up_no_other(read):
    for value in (None, {"routes": 3}, CONFIG | {"routes": [None, {}]}):
        read.task.read(PlatformObject("config/main", 1, value, False))
    read.task.read(make_item(2, 1))
    assert read.versions[-1:] == [2] and len(read.found) == 4


def test_a_defect_where_it_is_taken_holds_up_no_other(caplog):
    taken = []

    def take(found):
        taken.append(found)
        raise RuntimeError("a defect")

    task = ConfigurationTask(Clock(), read_configuration, ROW_TABLES, take)
    task.read(make_item(7, 1))
    task.read(make_item(8, 1))
    assert len(taken) == 2 and "Applying a configuration failed" in caplog.text


def test_a_defect_in_a_slice_holds_up_no_other(caplog):
    def parse(value):
        raise RuntimeError("a defect")

    tables = {"routes": (Field("database_name", parse),)}
    taken = []
    task = ConfigurationTask(Clock(), read_configuration, tables, taken.append)
    task.read(make_item(7, 1))
    task.read(make_item(8, 1))
    assert [each.item.version for each in taken] == [7, 8]
    assert "Parsing a configuration in slices failed" in caplog.text


def test_nothing_is_read_after_the_end(read):
    read.task.read(make_item(7, COUNT))
    read.task.stop()
    read.finish()
    assert read.found == []
