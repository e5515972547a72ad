"""Starts real peer tasks on loopback, for tests with sockets."""

import random

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from beryltrack.objects.messages import InstanceEntry
from beryltrack.peers.task import PeerTask
from beryltrack.settings.messages import Endpoint, InstanceSettings

ANYWHERE = Endpoint("127.0.0.1", 0)


def make_task(name, key="a key of sixteen", seeds=(), incarnation=1):
    settings = InstanceSettings(
        name, "z", ANYWHERE, ANYWHERE, ANYWHERE, "", key, "", 1.0, seeds
    )
    return PeerTask(reactor, settings, random.Random(name), incarnation)


def start_fleet(names, **kwargs):
    """Start proxies that find each other through an instance list."""
    tasks = [make_task(name, **kwargs) for name in names]
    for task in tasks:
        task.start()
    for task in tasks:
        task.observe_instances([list_instance(task) for task in tasks])
    return tasks


def list_instance(task):
    """Return a task's entry in the instance list."""
    own = task.own
    return InstanceEntry(own.name, own.host, own.port, own.zone, "live")


def wait_for(condition, period=0.01):
    """Return a Deferred that fires once a condition holds."""
    done = Deferred()

    def check():
        if condition():
            done.callback(None)
        elif not done.called:
            reactor.callLater(period, check)

    check()
    return done
