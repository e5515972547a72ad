"""Releases of the primary in the soak, without a successor that could take over.

A release may come while some nodes do not hear of it, are paused, or wait for slow
statements; the primary may crash, lose its entry and return while it leaves.
"""

import random
import signal
from typing import NamedTuple

from twisted.internet.task import deferLater

from beryltrack_bench.soak.history import DRAIN_LIMIT
from beryltrack_bench.soak.links import TO_NODE, TO_TARGET
from beryltrack_bench.soak.site import DATABASES, SoakSite
from beryltrack_standins.lines.store import REFUSING, SILENT

CUT = "cut"
"""Trouble of the store: what it sends arrives late, on the same connections."""

LENGTH = DRAIN_LIMIT + 6.0
"""Seconds from the report until replicas receive again."""

PAUSE_BETWEEN = 4.0
"""Seconds between two releases, in which the primary is handed over."""

ENTRY_EXPIRY = 3.6
"""Seconds after which the store removes the entry of a silent database."""

MAX_CRASH = 9.5
"""Longest crash, seconds: a database whose entry is missing for longer may be dropped,
and with it the commits that only it and another one have."""

SLOW_WORK = 40.0
"""Factor of the time of statements at a primary at which requests queue."""


class Release(NamedTuple):
    """One release, times in seconds from the report that the primary leaves.

    Parameters
    ----------
    primary : str
        The database that leaves.
    unaware : tuple of str
        Nodes that the store does not serve for a while.
    trouble : str
        What the store does to them, or `CUT`.
    trouble_from, trouble_until : float
        When it does.
    paused : tuple of str
        Nodes that are stopped.
    paused_from, paused_until : float
        When they are.
    crashed : tuple of str
        Databases that crash.
    crashed_from, crashed_until : float
        When they do, and when they are back.
    slow_from, slow_until : float
        When statements at the primary are slow.
    """

    primary: str
    unaware: tuple[str, ...]
    trouble: str
    trouble_from: float
    trouble_until: float
    paused: tuple[str, ...]
    paused_from: float
    paused_until: float
    crashed: tuple[str, ...]
    crashed_from: float
    crashed_until: float
    slow_from: float
    slow_until: float


def draw_release(site: SoakSite, rng: random.Random) -> Release:
    """Return a random release of the present primary."""
    primary = site.group.primary.name
    replicas = tuple(name for name in DATABASES if name != primary)
    # With two databases dark, no other can be elected.
    crashed = rng.choice(
        ((), (primary,), (primary, rng.choice(replicas)), *(replicas,) * 3)
    )
    crashed_from = -1.0 if crashed == replicas else rng.uniform(-2.0, 3.0)
    crash_time = MAX_CRASH if crashed == replicas else rng.uniform(1.0, MAX_CRASH)
    paused_from = rng.uniform(-0.5, 1.0)
    slow_from = rng.uniform(2.0, 6.0)
    return Release(
        primary,
        tuple(node.name for node in site.nodes if rng.random() < 0.6),
        rng.choice((CUT, CUT, CUT, SILENT, REFUSING)),
        -rng.uniform(0.2, 6.0),
        rng.uniform(2.0, 4.2),
        tuple(node.name for node in site.nodes if rng.random() < 0.2),
        paused_from,
        paused_from + rng.uniform(0.3, 2.0),
        crashed,
        crashed_from,
        crashed_from + crash_time,
        slow_from,
        slow_from + rng.uniform(0.0, 4.0),
    )


async def run_releases(
    reactor, site: SoakSite, rng: random.Random, seconds: float
) -> list[str]:
    """Release one primary after the other for some seconds; return what was done."""
    until = reactor.seconds() + seconds
    names = []
    while reactor.seconds() < until:
        if site.group.primary is not None:
            release = draw_release(site, rng)
            names.append(str(release))
            await _run_release(reactor, site, release)
        await deferLater(reactor, PAUSE_BETWEEN)
    return names


async def _run_release(reactor, site: SoakSite, release: Release) -> None:
    """Release a primary, and make it a usual database again afterwards."""
    database = site.group.databases[release.primary]
    steps = sorted(
        (
            (release.trouble_from, lambda: _set_store(site, release, release.trouble)),
            (release.trouble_until, lambda: _set_store(site, release, "")),
            (0.0, lambda: site.report_leaving(release.primary)),
            (release.paused_from, lambda: _signal(site, release, signal.SIGSTOP)),
            (release.paused_until, lambda: _signal(site, release, signal.SIGCONT)),
            (release.slow_from, lambda: _set_work(site, release, SLOW_WORK)),
            (release.slow_until, lambda: _set_work(site, release, 1.0)),
            *_list_crash_steps(site, release),
        ),
        key=lambda step: step[0],
    )
    # A primary whose replicas answer and receive nothing is replaced at once.
    database.is_partitioned = release.primary in release.crashed
    now = steps[0][0]
    for at, step in steps:
        await deferLater(reactor, at - now)
        now = at
        step()
    await deferLater(reactor, max(0.0, LENGTH - now))
    database.is_partitioned = False
    site.group.catch_up()
    await deferLater(reactor, PAUSE_BETWEEN)
    site.end_leaving(release.primary)


def _list_crash_steps(site: SoakSite, release: Release) -> list[tuple]:
    """Return the steps of the crashes: without an entry after a while, and back."""
    lasts = release.crashed_until - release.crashed_from
    steps = []
    for name in release.crashed:
        factory = site.databases[name]
        steps.append((release.crashed_from, lambda each=factory: each.crash(True)))
        steps.append((release.crashed_until, factory.restart))
        if lasts > ENTRY_EXPIRY:
            expires = release.crashed_from + ENTRY_EXPIRY
            steps.append((expires, lambda each=name: site.remove_entry(each)))
            steps.append(
                (release.crashed_until, lambda each=name: site.restore_entry(each))
            )
    return steps


def _set_store(site: SoakSite, release: Release, trouble: str) -> None:
    """Begin or end the trouble of the store for the unaware nodes."""
    for node in site.nodes:
        if node.name not in release.unaware:
            continue
        if release.trouble != CUT:
            node.store.fault = trouble
        elif trouble:
            node.links["store"].cut(TO_TARGET, TO_NODE)
        else:
            node.links["store"].heal()
    if release.unaware:
        site.history.record_disturbance()


def _signal(site: SoakSite, release: Release, number: int) -> None:
    """Stop or continue the paused nodes."""
    for node in site.nodes:
        if node.name in release.paused:
            site.signal_node(node, number)
    if release.paused:
        site.history.record_disturbance()


def _set_work(site: SoakSite, release: Release, factor: float) -> None:
    """Set how long statements run at the leaving primary."""
    site.databases[release.primary].work_factor = factor
