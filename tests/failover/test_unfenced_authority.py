"""Permits where the promotion service checks no tokens: calls stay in their order."""

from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from beryltrack.failover.authority import PATH_PREFIX
from beryltrack.failover.unfenced_authority import (
    CONNECT_TIMEOUT,
    PERMIT_VALIDITY,
    RETURN_DELAY,
    TAKEOVER_DELAY,
    UnfencedAuthority,
)
from beryltrack.objects.messages import ErrorKind, PlatformError
from tests.failover.test_authority import Store

PATH = PATH_PREFIX + "main"


class Site:
    """A store and the processes that take permits from it."""

    def __init__(self):
        self.clock, self.store = Clock(), Store()

    def make(self, name, process="p1"):
        return UnfencedAuthority(self.store, name, process, self.clock.seconds)

    def make_pair(self):
        """Return two holders; the second has long observed the first one's permit."""
        first, second = self.make("node-1"), self.make("node-2", "p2")
        acquire(first)
        prepare(second)
        self.pass_time(TAKEOVER_DELAY)
        return first, second

    def pass_time(self, seconds):
        self.clock.advance(seconds)


def acquire(authority, renew=False):
    result = Deferred.fromCoroutine(authority.acquire("main", renew)).result
    return result.map(lambda permit: permit.token).value_or(None)


def prepare(authority):
    Deferred.fromCoroutine(authority.prepare("main"))


def test_an_expired_permit_is_replaced_by_a_new_one():
    site = Site()
    authority = site.make("node-1")
    assert [acquire(authority), acquire(authority)] == [1, 1]
    site.pass_time(PERMIT_VALIDITY + 0.01)
    assert acquire(authority) == 2
    assert acquire(authority, renew=True) == 3


def test_a_takeover_waits_until_no_older_call_can_be_sent():
    site = Site()
    first, second = site.make("node-1"), site.make("node-2", "p2")
    assert acquire(first) == 1
    assert acquire(second) is None
    site.pass_time(PERMIT_VALIDITY + CONNECT_TIMEOUT)
    assert acquire(second) is None
    site.pass_time(TAKEOVER_DELAY - PERMIT_VALIDITY - CONNECT_TIMEOUT)
    assert acquire(second) == 2


def test_a_permit_observed_for_long_enough_is_taken_over_at_once():
    _, second = Site().make_pair()
    assert acquire(second) == 2


def test_a_holder_that_was_paused_gets_no_older_token():
    site = Site()
    first, second = site.make_pair()
    assert acquire(second) == 2
    # It resumes without having seen the other holder's permit.
    assert acquire(first) is None
    site.pass_time(RETURN_DELAY)
    assert acquire(first) == 3


def test_a_process_that_was_taken_over_from_does_not_promote_in_turn():
    """Guards against two holders that promote by turns within a lease."""
    site = Site()
    first, second = site.make_pair()
    assert acquire(second) == 2
    prepare(first)
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(first) is None
    third = site.make("node-3", "p3")
    prepare(third)
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(first) is None
    assert acquire(third) == 3


def test_a_holder_that_nobody_took_over_from_promotes_again_at_once():
    """Guards against a delay for two losses in a row."""
    site = Site()
    first = site.make("node-1")
    assert acquire(first) == 1
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(first) == 2


def test_an_instance_that_was_restarted_is_another_holder():
    site = Site()
    assert acquire(site.make("node-1", "p1")) == 1
    again = site.make("node-1", "p2")
    assert acquire(again) is None
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(again) == 2


def test_without_a_store_no_permit_is_given():
    site = Site()
    authority = site.make("node-1")
    acquire(authority)
    site.pass_time(PERMIT_VALIDITY + 0.01)
    site.store.is_down = True
    assert acquire(authority) is None


def test_a_write_whose_answer_is_late_gives_no_permit():
    site = Site()
    authority = site.make("node-1")
    site.store.before_put = lambda: site.pass_time(PERMIT_VALIDITY + 0.01)
    assert acquire(authority) is None
    site.store.before_put = lambda: None
    assert acquire(authority) == 2


def test_a_write_whose_answer_is_lost_gives_no_permit_and_no_delay():
    site = Site()
    authority = site.make("node-1")
    put = site.store.put

    async def lose(path, value, version):
        await put(path, value, version)
        return Failure(PlatformError(ErrorKind.UNKNOWN, "lost"))

    site.store.put = lose
    assert acquire(authority) is None
    site.store.put = put
    assert acquire(authority) == 2


def test_a_renewed_permit_restarts_the_takeover_delay():
    site = Site()
    first, second = site.make_pair()
    acquire(first, renew=True)
    assert acquire(second) is None
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(second) == 3


def test_the_first_permit_of_a_group_is_taken_at_once():
    site = Site()
    assert acquire(site.make("node-2", "p2")) == 1


def test_a_permit_is_confirmed_until_another_process_takes_one():
    """Guards against an instance that ends the holds of the next holder's election."""
    site = Site()
    first, second = site.make_pair()

    def confirm():
        confirming = Deferred.fromCoroutine(first.confirm("main"))
        return confirming.result.value_or(None)

    assert confirm().valid_until == site.clock.seconds() + PERMIT_VALIDITY
    prepare(second)
    site.pass_time(TAKEOVER_DELAY)
    assert acquire(second) == 3 and confirm() is None
