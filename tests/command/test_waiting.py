"""Detection of instances without a change in force, and the limit of the wait."""

import pytest
from returns.result import Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.command.instances import NO_ANSWER, InstanceAnswer
from beryltrack.command.waiting import get_pending, wait_until_in_force
from beryltrack.daemon.status import ObjectVersion
from beryltrack.json_form import to_json
from beryltrack.objects.messages import InstanceEntry, ObjectList, PlatformObject
from beryltrack.objects.registration import InstanceAddress
from beryltrack.settings.messages import Endpoint
from tests.daemon.examples import STATUS

PATH = STATUS.settings[0].path
KNOWN, NEWER = (ObjectVersion(PATH, 9),), (ObjectVersion(PATH, 10),)
FAULTY = STATUS.findings[0]._replace(source=PATH)


def answer(status, listed="live"):
    return InstanceAnswer("p1", "a", listed, NO_ANSWER, status)


@pytest.mark.parametrize(
    ("status", "listed", "wanted", "pending"),
    [
        (STATUS, "live", KNOWN, False),
        (STATUS, "live", NEWER, True),
        (STATUS._replace(settings=()), "live", KNOWN, True),
        (STATUS._replace(findings=(FAULTY,)), "live", KNOWN, True),
        (None, "live", KNOWN, True),
        (None, "leaving", KNOWN, False),
        (STATUS._replace(state="leaving"), "live", NEWER, False),
    ],
)
def test_instance_is_pending_until_the_change_is_in_force(
    status, listed, wanted, pending
):
    assert bool(get_pending(answer(status, listed), wanted)) is pending


class FakePlatform:
    """Lists two instances, and counts the calls."""

    def __init__(self):
        self.calls = 0

    async def list_instances(self):
        self.calls += 1
        names = ("p1", "p2")
        return Success(
            tuple(InstanceEntry(name, "127.0.0.1", 1, "a", "live") for name in names)
        )

    async def list(self, prefix):
        addresses = (InstanceAddress(Endpoint("127.0.0.1", row), 0.0) for row in (1, 2))
        objects = (
            PlatformObject(f"{prefix}p{row}", row, to_json(address), False)
            for row, address in enumerate(addresses, 1)
        )
        return Success(ObjectList(2, tuple(objects)))


def wait(learned_at, limit):
    """Wait for a change that instance 2 gets at `learned_at`; return the outcome."""
    clock, platform, asked = Clock(), FakePlatform(), []

    async def fetch(endpoint):
        asked.append(endpoint.port)
        knows = endpoint.port == 1 or clock.seconds() >= learned_at
        return STATUS._replace(
            name=f"p{endpoint.port}", settings=NEWER if knows else KNOWN
        )

    outcomes = []
    waiting = wait_until_in_force(clock, platform, fetch, NEWER, limit)
    Deferred.fromCoroutine(waiting).addCallback(outcomes.append)
    clock.pump([0.1] * 200)
    return outcomes[0], platform.calls, asked


def test_only_the_instance_that_lacks_the_change_is_polled_again():
    pending, calls, asked = wait(learned_at=1.0, limit=10.0)
    assert pending == ()
    assert calls == 1
    assert asked.count(1) == 1
    assert asked.count(2) > 1


def test_wait_ends_at_its_limit_and_names_the_pending_instance():
    (pending,), _, _ = wait(learned_at=99.0, limit=5.0)
    assert (pending.name, pending.paths) == ("p2", (PATH,))
