"""A fake group with proxies that follow it, for the tests of several folders."""

from random import Random

from beryltrack.groups.task import GroupTask
from beryltrack.settings.messages import DatabaseSettings, Endpoint, GroupSettings
from beryltrack_bench.deployment import load_deployment
from beryltrack_bench.fakes.group import FakeAdapter, FakeGroup, make_network
from beryltrack_bench.fakes.nodes import Site

LOST_AFTER = 0.5


def make_settings(names, lost_after=LOST_AFTER, draining=()):
    databases = tuple(
        DatabaseSettings(name, Endpoint("127.0.0.1", 1), "z", 20, 3, name in draining)
        for name in names
    )
    return GroupSettings("group", "team", databases, "u", "", 0.0, lost_after)


class GroupSite:
    """A fake group of three databases and its proxies, after one second of run time."""

    def __init__(self, proxies=1, seed=1, policy=None):
        deployment = load_deployment("lectora")
        self.site = Site()
        self.network = make_network(self.site, deployment, Random(seed))
        self.group = FakeGroup(self.site, self.network, deployment, Random(seed))
        self.group.start()
        names = tuple(f"proxy-{number + 1}" for number in range(proxies))
        self.nodes = {name: self.site.add_node(name, "scl-a") for name in names}
        self.tasks = {name: self._make_task(name, policy) for name in names}
        for task in self.tasks.values():
            task.set_instances(names)
            task.start()
        self.run(1.0)

    @property
    def task(self):
        return self.tasks["proxy-1"]

    def _make_task(self, name, policy):
        adapter = FakeAdapter(self.group, self.nodes[name])
        settings = make_settings(tuple(self.group.databases))
        rng = Random(f"{name}")
        return GroupTask(self.nodes[name], settings, adapter, name, rng, policy)

    def run(self, seconds):
        self.site.run_until(self.site.clock.seconds() + seconds)

    def write(self, database, key="k"):
        """Commit a write and return its position."""
        found = []
        answer = self.group.write(self.nodes["proxy-1"], database, key)
        answer.addBoth(found.append)
        self.run(0.005)
        return found[0]

    def get_result(self, answer, seconds):
        """Return the result of a Deferred within some seconds, None without one."""
        found = []
        answer.addBoth(found.append)
        self.run(seconds)
        return found[0] if found else None
