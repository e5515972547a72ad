"""Real proxies go on when their store is restored to before anything that they wrote.

The copy is from before the site was set up: settings, seats and addresses are gone.
Both proxies keep serving by what was confirmed, hold the seats that they held, and
write seats and addresses again.
"""

import time

from beryltrack.connections.seat_store import PREFIX as SEATS
from beryltrack.objects.registration import PREFIX as ADDRESSES
from tests.local_proxies import connect, run_proxies
from tests.reactor_thread import run

PATIENCE = 40.0
"""Seconds within which all is written again: a watch of 6 s, 5 s of spread, a poll."""


def wait_until(holds):
    """Return whether something holds in time."""
    deadline = time.monotonic() + PATIENCE
    while not holds():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.2)
    return True


def test_what_was_lost_is_written_again_and_callers_notice_nothing():
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

        def has_told(proxy):
            return run(proxy.settings_task.findings.__len__) >= 1

        # Seats are written again before the settings are polled the next time.
        assert wait_until(lambda: all(map(has_told, local.proxies)))
        for caller in callers:
            caller.close()
