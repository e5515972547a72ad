"""The record of a group's primary is written despite store outages."""

from random import Random

from returns.result import Failure, Success
from twisted.internet.task import Clock

from beryltrack.failover.messages import ElectionKind, FailoverReport
from beryltrack.failover.primary_records import MAX_ATTEMPTS, PrimaryRecordWriter
from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject

REPORT = FailoverReport("g", ElectionKind.LOST, 4, "b", 0.25, 0.3)
DOWN = Failure(PlatformError(ErrorKind.REFUSED, "503"))


class FakeClient:
    """A store with one object that refuses the first calls."""

    def __init__(self, refusals=0, term=0):
        self.refusals = refusals
        self.kept = PlatformObject("status/groups/g", 7, {"term": term}, False)
        self.calls = 0

    async def get(self, path):
        self.calls += 1
        return DOWN if self.calls <= self.refusals else Success(self.kept)

    async def put(self, path, value, if_version):
        assert (path, if_version) == (self.kept.path, self.kept.version)
        self.kept = self.kept._replace(value=value)
        return Success(8)


def write(client):
    clock, results = Clock(), []
    PrimaryRecordWriter(clock, client, Random(1)).write(REPORT).addCallback(
        results.append
    )
    clock.pump([1.0] * 300)
    return results


def test_the_record_is_written_once_the_store_is_available_again():
    client = FakeClient(refusals=3)
    assert write(client) == [True]
    assert client.kept.value["primary"] == "b"


def test_a_later_term_is_not_overwritten():
    client = FakeClient(term=5)
    assert write(client) == [True]
    assert client.kept.value == {"term": 5}


def test_writing_ends_after_the_maximal_number_of_attempts():
    client = FakeClient(refusals=1000)
    assert write(client) == [False]
    assert client.calls == MAX_ATTEMPTS
