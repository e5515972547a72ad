"""The faults that the soak injects; several can be active at the same time."""

import itertools
import json
import random
import signal
from collections.abc import Callable
from typing import NamedTuple

from beryltrack_bench.soak.history import AccountLimit
from beryltrack_bench.soak.links import TO_NODE, TO_TARGET
from beryltrack_bench.soak.site import ACCOUNTS, DATABASES, Node, SoakSite
from beryltrack_standins.lines.store import LATE, LOST, REFUSING, SILENT

Step = Callable[[], None]


class Fault(NamedTuple):
    """A fault: its name in the result, and the functions that begin and end it."""

    name: str
    begin: Step
    end: Step


def draw_fault(site: SoakSite, rng: random.Random) -> Fault:
    """Return a random fault of those that the site's options allow."""
    factories = _FACTORIES if site.options.is_fenced else _UNFENCED_FACTORIES
    if site.options.has_only_primary_cuts:
        factories = (_cut_primary,)
    if site.options.is_forgetful:
        factories += _FORGETFUL_FACTORIES
    if site.accounts:
        factories += _ACCOUNT_FACTORIES
    if site.options.has_store_restores:
        factories += _RESTORE_FACTORIES
    if site.options.has_foreign_entries:
        factories += _FOREIGN_FACTORIES
    if site.options.is_paused_often:
        factories += _PAUSE_FACTORIES
    return rng.choice(factories)(site, rng)


def _do_nothing() -> None:
    """End a fault that ends by itself."""


def _draw_node(site: SoakSite, rng: random.Random) -> Node:
    return rng.choice(site.nodes)


def _kill_node(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    return Fault(
        f"kill {node.name}",
        lambda: site.signal_node(node, signal.SIGKILL),
        lambda: site.start_node(node),
    )


def _kill_all(site: SoakSite, rng: random.Random) -> Fault:
    def begin() -> None:
        for node in site.nodes:
            site.signal_node(node, signal.SIGKILL)

    def end() -> None:
        for node in site.nodes:
            site.start_node(node)

    return Fault("kill all nodes", begin, end)


def _stop_node(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    return Fault(
        f"stop {node.name}",
        lambda: site.signal_node(node, signal.SIGTERM),
        lambda: site.start_node(node),
    )


def _pause_node(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    return Fault(
        f"pause {node.name}",
        lambda: site.signal_node(node, signal.SIGSTOP),
        lambda: site.signal_node(node, signal.SIGCONT),
    )


def _pause_all(site: SoakSite, rng: random.Random) -> Fault:
    def signal_all(number: int) -> None:
        for node in site.nodes:
            site.signal_node(node, number)

    return Fault(
        "pause all nodes",
        lambda: signal_all(signal.SIGSTOP),
        lambda: signal_all(signal.SIGCONT),
    )


def _pause_in_series(site: SoakSite, rng: random.Random) -> Fault:
    """Pause a node repeatedly; it runs for some tenths of a second in between."""
    node = _draw_node(site, rng)
    ran, length = rng.uniform(0.1, 0.4), rng.uniform(0.5, 1.0)
    steps = itertools.cycle(((signal.SIGSTOP, length), (signal.SIGCONT, ran)))
    until = site.seconds() + 3 * (ran + length)

    def toggle() -> None:
        number, wait = next(steps)
        if site.seconds() < until:
            site.signal_node(node, number)
            site.call_later(wait, toggle)

    def end() -> None:
        nonlocal until
        until = site.seconds()
        site.signal_node(node, signal.SIGCONT)

    return Fault(f"pause {node.name} again and again", toggle, end)


def _crash_database(site: SoakSite, rng: random.Random) -> Fault:
    hits_primary = rng.random() < 0.7 and site.group.primary is not None
    name = site.group.primary.name if hits_primary else rng.choice(DATABASES)
    is_silent = rng.random() < 0.5
    return Fault(
        f"{'darken' if is_silent else 'crash'} {name}",
        lambda: site.databases[name].crash(is_silent),
        lambda: site.databases[name].restart(),
    )


def _cut_link(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    key = rng.choice(sorted(node.links))
    directions = rng.choice(((TO_TARGET, TO_NODE), (TO_TARGET,), (TO_NODE,)))
    link = node.links[key]
    return Fault(
        f"cut {node.name} {key} {directions}", lambda: link.cut(*directions), link.heal
    )


def _cut_primary(site: SoakSite, rng: random.Random) -> Fault:
    name = site.group.primary.name if site.group.primary else DATABASES[0]
    cut = [node.links[name] for node in site.nodes if rng.random() < 0.6]

    def begin() -> None:
        for link in cut:
            link.cut(TO_TARGET, TO_NODE)

    def end() -> None:
        for link in cut:
            link.heal()

    return Fault(f"cut {len(cut)} nodes from {name}", begin, end)


def _isolate_primary(site: SoakSite, rng: random.Random) -> Fault:
    primary = site.group.primary or site.group.databases[DATABASES[0]]
    away = [node.links[primary.name] for node in site.nodes if rng.random() < 0.4]

    def begin() -> None:
        primary.is_partitioned = True
        for link in away:
            link.cut(TO_TARGET, TO_NODE)

    def end() -> None:
        primary.is_partitioned = False
        for link in away:
            link.heal()
        site.group.catch_up()

    return Fault(f"cut {primary.name} from replicas, {len(away)} nodes", begin, end)


def _delay_link(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    key = rng.choice(sorted(node.links))
    link = node.links[key]

    def begin() -> None:
        link.delay = 0.15

    return Fault(f"delay {node.name} {key}", begin, link.heal)


def _break_links(site: SoakSite, rng: random.Random) -> Fault:
    node = _draw_node(site, rng)
    is_silent = rng.random() < 0.6

    def begin() -> None:
        for link in node.links.values():
            if is_silent:
                link.silence()
            else:
                link.reset()

    word = "silence" if is_silent else "reset"
    return Fault(f"{word} the connections of {node.name}", begin, _do_nothing)


def _disturb_store(site: SoakSite, rng: random.Random) -> Fault:
    trouble = rng.choice((LOST, REFUSING, SILENT))
    nodes = [node for node in site.nodes if rng.random() < 0.7]

    def set_all(value: str) -> None:
        for node in nodes:
            node.store.fault = value

    name = f"store {trouble} for {len(nodes)}"
    return Fault(name, lambda: set_all(trouble), lambda: set_all(""))


def _compact_store(site: SoakSite, rng: random.Random) -> Fault:
    return Fault("the store forgets its changes", site.store.compact, _do_nothing)


def _delay_promotions(site: SoakSite, rng: random.Random) -> Fault:
    def set_share(share: float) -> None:
        for node in site.nodes:
            node.promotions.late_share = share

    return Fault("promotions late", lambda: set_share(0.5), lambda: set_share(0.0))


def _lag_replicas(site: SoakSite, rng: random.Random) -> Fault:
    def set_lag(factor: float) -> None:
        site.group.lag_factor = factor

    return Fault("replicas lag", lambda: set_lag(40.0), lambda: set_lag(1.0))


def _empty_database(site: SoakSite, rng: random.Random) -> Fault:
    hits_primary = rng.random() < 0.5 and site.group.primary is not None
    name = site.group.primary.name if hits_primary else rng.choice(DATABASES)
    is_silent = rng.random() < 0.5

    def end() -> None:
        # Another database may have restarted empty since the fault began, so that only
        # this one still holds some commits.
        if site.group.may_restart_empty:
            site.databases[name].restart_empty()
        else:
            site.databases[name].restart()
        site.write_start_entry(name)

    return Fault(f"empty {name}", lambda: site.databases[name].crash(is_silent), end)


def _restore_store(site: SoakSite, rng: random.Random) -> Fault:
    away = rng.choice(("", REFUSING, SILENT))
    nodes = [node for node in site.nodes if rng.random() < 0.8]
    times = rng.choice((1, 1, 2))
    backups = []

    def begin() -> None:
        backups.append(site.store.make_backup())
        for node in nodes:
            node.store.fault = away

    def end() -> None:
        for _ in range(times):
            site.restore(backups[0])
        for node in nodes:
            node.store.fault = ""

    return Fault(f"the store is restored {times} times, {away or 'here'}", begin, end)


def _delay_store_writes(site: SoakSite, rng: random.Random) -> Fault:
    def set_all(value: str) -> None:
        for node in site.nodes:
            node.store.fault = value

    return Fault("store writes late", lambda: set_all(LATE), lambda: set_all(""))


def _revoke_keys(site: SoakSite, rng: random.Random) -> Fault:
    name = rng.choice(sorted(site.accounts))
    keys = ACCOUNTS[name][0]
    return Fault(
        f"take the keys of {name}",
        lambda: site.change_account(name, keys=("unused",)),
        lambda: site.change_account(name, keys=keys),
    )


def _lower_limit(site: SoakSite, rng: random.Random) -> Fault:
    low = AccountLimit(rng.choice((0.0, 2.0, 6.0)), 2.0)
    name = rng.choice(("hot", "calm"))
    return Fault(
        f"limit {name} to {low.rate}",
        lambda: site.change_account(name, limit=low),
        lambda: site.change_account(name, limit=ACCOUNTS[name][1]),
    )


def _write_malformed(site: SoakSite, rng: random.Random) -> Fault:
    return _write_specs(site, rng, _MALFORMED_SPECS)


def _write_undecodable(site: SoakSite, rng: random.Random) -> Fault:
    return _write_specs(site, rng, UNDECODABLE_SPECS)


def _write_specs(site: SoakSite, rng: random.Random, specs: tuple) -> Fault:
    """Write entries of another program, and remove them at the end."""
    kind = rng.choice(("servers", "members"))
    names = [f"other-{rng.randrange(9)}" for _ in range(3)]

    def begin() -> None:
        for name in names:
            site.store.change(kind, name, rng.choice(specs))

    def end() -> None:
        for name in names:
            if (kind, name) in site.store.objects:
                site.store.change(kind, name, None, True)

    return Fault(f"unreadable {kind}", begin, end)


_MALFORMED_SPECS = (
    None,
    7,
    "text",
    {"service": "group", "address": 7, "zone": None},
    {"service": ["group"], "address": "127.0.0.1:1", "zone": "zone-1", "slots": True},
    {"host": None, "port": "x", "relay": 70000, "zone": "zone-1"},
)

UNDECODABLE_SPECS = (
    {"service": "\udcff\udcfe", "address": "\udcff", "state": "ready", "sequence": 1},
    {"\ud800": {"\ude00": "\ud83d"}},
    ["\udfff"],
    json.loads("[" * 450 + "]" * 450),
    {"slots": 10**40, "sequence": float("inf")},
)
"""Entries with lone surrogates, deep nesting, or numbers beyond 64 bits."""

_FACTORIES = (
    _kill_node,
    _kill_node,
    _kill_all,
    _stop_node,
    _pause_node,
    _pause_node,
    _crash_database,
    _crash_database,
    _crash_database,
    _cut_link,
    _cut_primary,
    _delay_link,
    _break_links,
    _break_links,
    _disturb_store,
    _compact_store,
    _delay_promotions,
    _lag_replicas,
)

_FORGETFUL_FACTORIES = (
    *(_empty_database,) * 5,
    *(_write_malformed,) * 2,
)

_FOREIGN_FACTORIES = (_write_undecodable,) * 8

_RESTORE_FACTORIES = (*(_restore_store,) * 6, _delay_store_writes)

_PAUSE_FACTORIES = (
    *(_pause_node,) * 4,
    *(_pause_in_series,) * 6,
    *(_pause_all,) * 3,
)

_ACCOUNT_FACTORIES = (*(_revoke_keys,) * 2, *(_lower_limit,) * 2)

# Without fencing, neither a former primary nor a call with an old token is stopped, so
# the faults that lead to them are drawn more often.
_UNFENCED_FACTORIES = (
    *_FACTORIES,
    _cut_primary,
    _cut_primary,
    _isolate_primary,
    _isolate_primary,
    _pause_node,
    _disturb_store,
)
