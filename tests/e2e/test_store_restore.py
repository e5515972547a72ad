"""Proxies keep serving when their store is restored to an empty backup.

The restore removes the settings, seats and addresses. Both proxies have to serve by the
confirmed settings, hold the seats that they had, and write seats and addresses again.
"""

import time

from beryltrack.connections.seat_store import PREFIX as SEATS
from beryltrack.objects.registration import PREFIX as ADDRESSES
from tests.local_proxies import connect, run_proxies
from tests.reactor_thread import run

RECOVERY_TIMEOUT = 40.0
"""Seconds until all is written again: a watch of 6 s, 5 s of spread, and a poll."""


def wait_until(holds):
    """Return whether a condition holds within `RECOVERY_TIMEOUT`."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT
    while not holds():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.2)
    return True


def test_lost_objects_are_written_again_without_errors_for_callers():
    with run_proxies(count=2, seats=2, era=1) as local:
        store = local.site.platform.store
        budgets = [proxy.fleet.budget.task for proxy in local.proxies]
        assert wait_until(lambda: all(run(lambda b=b: b.held_seats) for b in budgets))
        held = [run(lambda b=b: b.held_seats) for b in budgets]

        def count(prefix):
            return len(run(store.list, prefix))

        assert wait_until(lambda: count(ADDRESSES) == 2)
        callers = [connect(proxy) for proxy in local.proxies]
        callers[0].execute("CREATE TABLE item (id integer PRIMARY KEY)")
        empty = run(store.make_backup)._replace(objects={}, versions=(), paths=())
        run(local.site.platform.restore, empty._replace(revision=0))
        numbers = iter(range(10_000))

        def is_written_again():
            for caller in callers:
                caller.execute(f"INSERT INTO item VALUES ({next(numbers)})")
            return (count(SEATS), count(ADDRESSES)) == (2, 2)

        assert wait_until(is_written_again)
        assert [run(lambda b=b: b.held_seats) for b in budgets] == held

        def has_finding(proxy):
            return run(proxy.settings_task.findings.__len__) >= 1

        # The finding follows later: seats are written again before the next poll of the
        # settings.
        assert wait_until(lambda: all(map(has_finding, local.proxies)))
        for caller in callers:
            caller.close()
