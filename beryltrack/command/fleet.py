"""Merges the status of all instances into the status of the fleet."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.command.instances import InstanceAnswer
from beryltrack.daemon.status import (
    DatabaseReport,
    GroupReport,
    InstanceStatus,
    ObjectVersion,
)
from beryltrack.findings import Finding
from beryltrack.metrics.messages import Counters, compute_replica_share


class InstanceSummary(NamedTuple):
    """Status of one instance.

    Parameters
    ----------
    name : str
        Its name.
    zone : str
        Its availability zone.
    listed : str
        Its state in the platform's list, which lags; empty if it is not listed.
    state : str
        The state that it reports, or why there is no report.
    settings_revision : int
        Highest version among the settings objects that it has received.
    settings : tuple of ObjectVersion
        The settings objects that it has received.
    behind : tuple of ObjectVersion
        Objects of which another instance has a higher version, with that version.
    """

    name: str
    zone: str
    listed: str
    state: str
    settings_revision: int
    settings: tuple[ObjectVersion, ...]
    behind: tuple[ObjectVersion, ...]


class GroupSummary(NamedTuple):
    """Status of one group, as the instances with the highest term report it.

    Parameters
    ----------
    name : str
        Its name.
    term : int
        The highest term that an instance reports.
    primary : str
        The primary of that term.
    seen_by, instances : int
        Number of instances that agree on term and primary, and of all that serve it.
    databases : tuple of DatabaseReport
        Its members; for each the newest report, preferably of one that reaches it.
    """

    name: str
    term: int
    primary: str
    seen_by: int
    instances: int
    databases: tuple[DatabaseReport, ...]


class FleetStatus(NamedTuple):
    """Status of the whole fleet.

    Parameters
    ----------
    instances : tuple of InstanceSummary
        All instances, by name.
    groups : tuple of GroupSummary
        All groups, by name.
    counters : Counters
        Sums over the instances that answered, counted since each one's start.
    replica_share : float or None
        Share of reads that replicas served; None without reads.
    findings : tuple of Finding
        Findings of the instances about the settings.
    """

    instances: tuple[InstanceSummary, ...]
    groups: tuple[GroupSummary, ...]
    counters: Counters
    replica_share: float | None
    findings: tuple[Finding, ...]


def build_fleet_status(answers: Iterable[InstanceAnswer]) -> FleetStatus:
    """Merge the answers of all instances into the status of the fleet."""
    answers = sorted(answers, key=lambda item: item.name)
    reports = [item.status for item in answers if item.status is not None]
    newest = _get_newest_versions(reports)
    counters = _sum_counters(reports)
    findings = {item for report in reports for item in report.findings}
    return FleetStatus(
        tuple(_build_instance(item, newest) for item in answers),
        _build_groups(reports),
        counters,
        compute_replica_share(counters),
        tuple(sorted(findings)),
    )


def _sum_counters(reports: list[InstanceStatus]) -> Counters:
    """Return the sums of all counters."""
    columns = zip(*(report.counters for report in reports), strict=True)
    sums = [sum(column) for column in columns]
    return Counters(*(sums or [0] * len(Counters._fields)))


def _get_newest_versions(reports: list[InstanceStatus]) -> dict[str, int]:
    """Return the highest version of each settings object that any instance has."""
    newest = defaultdict(int)
    for item in (item for report in reports for item in report.settings):
        newest[item.path] = max(newest[item.path], item.version)
    return newest


def _build_instance(answer: InstanceAnswer, newest: dict[str, int]) -> InstanceSummary:
    """Return the status of one instance."""
    head = (answer.name, answer.zone, answer.listed)
    status = answer.status
    if status is None:
        return InstanceSummary(*head, answer.problem, 0, (), ())
    known = {item.path: item.version for item in status.settings}
    behind = tuple(
        ObjectVersion(path, version)
        for path, version in sorted(newest.items())
        if known.get(path, 0) < version
    )
    return InstanceSummary(
        answer.name,
        status.zone,
        answer.listed,
        status.state,
        status.settings_revision,
        status.settings,
        behind,
    )


def _build_groups(reports: list[InstanceStatus]) -> tuple[GroupSummary, ...]:
    """Return the status of each group that any instance serves."""
    views = defaultdict(list)
    for group in (group for report in reports for group in report.groups):
        views[group.name].append(group)
    return tuple(_build_group(views[name]) for name in sorted(views))


def _build_group(views: list[GroupReport]) -> GroupSummary:
    """Return the status of one group."""
    # Of equal terms, a report that names the primary takes precedence.
    newest = max(views, key=lambda view: (view.term, view.primary != ""))
    agreeing = [view for view in views if view[:3] == newest[:3]]
    return GroupSummary(
        newest.name,
        newest.term,
        newest.primary,
        len(agreeing),
        len(views),
        _merge_databases(agreeing),
    )


def _merge_databases(views: list[GroupReport]) -> tuple[DatabaseReport, ...]:
    """Return the preferred report of each database."""
    reports = defaultdict(list)
    for item in (item for view in views for item in view.databases):
        reports[item.name].append(item)
    return tuple(min(reports[name], key=_rank_report) for name in sorted(reports))


def _rank_report(report: DatabaseReport) -> tuple[bool, float]:
    """Return the sort key of a report: reachable databases first, then by age."""
    age = float("inf") if report.age is None else report.age
    return not report.reachable, age


def format_fleet(fleet: FleetStatus) -> tuple[str, ...]:
    """Return the fleet's status as lines of text."""
    share = "no reads yet"
    if fleet.replica_share is not None:
        share = f"{fleet.replica_share:.1%} of reads by replicas"
    counts = ", ".join(
        f"{name.replace('_', ' ')} {value}"
        for name, value in fleet.counters._asdict().items()
    )
    return (
        "instances:",
        *(_format_instance(item) for item in fleet.instances),
        "groups:",
        *(line for item in fleet.groups for line in _format_group(item)),
        f"requests: {share}; {counts}",
        *(f"finding: {': '.join(filter(None, item))}" for item in fleet.findings),
    )


def _format_instance(item: InstanceSummary) -> str:
    """Return the line of one instance."""
    listed = f", listed as {item.listed}" if item.listed not in ("", item.state) else ""
    behind = f", behind on {len(item.behind)} objects" if item.behind else ""
    return (
        f"  {item.name} ({item.zone or 'zone not known'}): {item.state}{listed}, "
        f"settings revision {item.settings_revision}{behind}"
    )


def _format_group(item: GroupSummary) -> list[str]:
    """Return the lines of one group."""
    head = (
        f"  {item.name}: term {item.term}, primary {item.primary or 'not known'}, "
        f"seen so by {item.seen_by} of {item.instances} instances"
    )
    return [head, *(_format_database(database) for database in item.databases)]


def _format_database(item: DatabaseReport) -> str:
    """Return the line of one database."""
    age = "age not known" if item.age is None else f"age {item.age:.3f} s"
    flags = "".join(
        text
        for text, holds in (
            (", draining", item.draining),
            (", lost", not item.reachable),
        )
        if holds
    )
    return (
        f"    {item.name}: {item.role or 'role not known'}, "
        f"received {item.received or '-'}, applied {item.applied or '-'}, {age}{flags}"
    )
