"""Permits to promote: each new permit of a group has a higher token."""

from returns.result import Failure, Success
from twisted.internet.defer import Deferred

from beryltrack.failover.authority import PATH_PREFIX, StoreAuthority
from beryltrack.objects.messages import ErrorKind, PlatformError, PlatformObject

DOWN = Failure(PlatformError(ErrorKind.REFUSED, "the store is down"))
CONFLICT = Failure(PlatformError(ErrorKind.CONFLICT, "another version"))


class Store:
    """An in-memory object store; `before_put` is called before each write."""

    def __init__(self):
        self.objects = {}
        self.is_down = False
        self.before_put = lambda: None

    async def get(self, path):
        return DOWN if self.is_down else Success(self.objects.get(path))

    async def put(self, path, value, if_version):
        if self.is_down:
            return DOWN
        self.before_put()
        kept = self.objects.get(path)
        version = kept.version if kept else 0
        if version != if_version:
            return CONFLICT
        self.objects[path] = PlatformObject(path, version + 1, value, False)
        return Success(version + 1)


def acquire(authority, renew=False):
    result = Deferred.fromCoroutine(authority.acquire("main", renew)).result
    return result.value_or(None)


def test_a_held_permit_needs_no_further_call():
    store = Store()
    authority = StoreAuthority(store, "node-1")
    first = acquire(authority)
    store.is_down = True
    assert acquire(authority) == first and first.token == 1
    assert authority.holds("main")


def test_the_next_holder_has_a_higher_token():
    store = Store()
    first, second = StoreAuthority(store, "node-1"), StoreAuthority(store, "node-2")
    assert [acquire(first).token, acquire(second).token] == [1, 2]
    assert acquire(first, renew=True).token == 3
    assert store.objects[PATH_PREFIX + "main"].value["holder"] == "node-1"


def test_a_lost_race_is_retried_with_a_higher_token():
    store = Store()
    rival, authority = StoreAuthority(store, "node-2"), StoreAuthority(store, "node-1")

    def come_first():
        store.before_put = lambda: None
        acquire(rival)

    store.before_put = come_first
    assert acquire(authority).token == 2


def test_without_a_store_only_a_held_permit_is_valid():
    store = Store()
    authority = StoreAuthority(store, "node-1")
    store.is_down = True
    assert acquire(authority) is None
    store.is_down = False
    held = acquire(authority)
    store.is_down = True
    assert acquire(authority, renew=True) == held


def test_a_dropped_permit_is_no_longer_held():
    authority = StoreAuthority(Store(), "node-1")
    acquire(authority)
    authority.drop("main")
    assert not authority.holds("main")


def confirm(authority):
    result = Deferred.fromCoroutine(authority.confirm("main")).result
    return result.value_or(None)


def test_a_permit_that_another_instance_has_taken_is_not_confirmed():
    """Guards against an instance that ends the holds of the next holder's election."""
    store = Store()
    first, second = StoreAuthority(store, "node-1"), StoreAuthority(store, "node-2")
    acquire(first)
    assert confirm(first).token == 2
    acquire(second)
    assert confirm(first) is None and not first.holds("main")
    assert confirm(second).token == 4


def test_a_permit_is_kept_while_the_store_cannot_confirm_it():
    """Guards against databases that stay held during an outage of the store."""
    store = Store()
    authority = StoreAuthority(store, "node-1")
    permit = acquire(authority)
    store.is_down = True
    assert confirm(authority) == permit


def test_a_confirmation_without_an_answer_is_recognized_later():
    """Guards against a permit that its holder takes for another instance's."""
    store = Store()
    authority = StoreAuthority(store, "node-1")
    lost = acquire(authority)
    confirm(authority)
    authority._permits["main"] = lost
    assert confirm(authority).token == 2
