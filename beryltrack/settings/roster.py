"""The members of groups that register themselves in a store, and the site's settings.

An entry can vanish while its database lives, for the store drops what it has not
heard of for some seconds, also while the store itself was away. So an entry that is
missing is believed for a short time still. After that its database gets no new
work. It counts as a member for some seconds more, in which the others receive what
only it may have confirmed, and for good if its group would be left with one database,
which could confirm a commit to itself alone.

A store that is restored from a backup has entries of before for a moment, until the
databases have written theirs again. One that is behind what was known, by an earlier
start or in that its database was to leave, does not count before they had that time.

A database that has started again under its identifier is another member: what the one
before held is lost, and nothing is waited for.
"""

from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.settings.incarnations import get_identifier, get_start_time
from beryltrack.settings.messages import (
    DatabaseSettings,
    Endpoint,
    GroupSettings,
    RouteSettings,
    SiteSettings,
)

MISSING_GRACE = 2.5
"""Seconds for which a missing entry is still believed: entries that lapsed during an
outage of the store are back within two seconds of its return."""

GONE_AFTER = 6.0
"""Seconds after which a missing entry is no member any more. Replicas receive a
commit within one network delay and, when they lag, within seconds."""

LEAST_MEMBERS = 2
"""Members below which a group keeps one that is missing for good."""

USUAL_MEMBERS = 3
"""Members from which on a missing one is dropped without that wait."""


class RosterEntry(NamedTuple):
    """What a database says of itself in the store.

    Parameters
    ----------
    name : str
        Its name, which no other incarnation has; see `incarnations`.
    group : str
        The group that it belongs to.
    endpoint : Endpoint
        Where it listens.
    zone : str
        Its availability zone.
    slots : int
        Statements that it runs at once.
    draining : bool
        True if it is about to leave and wants no new work.
    """

    name: str
    group: str
    endpoint: Endpoint
    zone: str
    slots: int
    draining: bool


class GroupLimits(NamedTuple):
    """What operators say of one group.

    Parameters
    ----------
    name : str
        Its name.
    max_connections : int
        Most connections to each of its databases, of all instances together.
    """

    name: str
    max_connections: int


class SiteConfiguration(NamedTuple):
    """One version of what operators have configured.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : tuple of RouteSettings
        All routes.
    groups : tuple of GroupLimits
        All groups.
    transaction_idle : float
        Seconds after which a transaction that rests may be ended.
    accounts : tuple of AccountSettings or None
        All client accounts; None where callers need no key.
    """

    version: int
    routes: tuple[RouteSettings, ...]
    groups: tuple[GroupLimits, ...]
    transaction_idle: float
    accounts: tuple[AccountSettings, ...] | None = None


class _Known(NamedTuple):
    """An entry, since when it is missing (None if it is not), and its store's era."""

    entry: RosterEntry
    missing_since: float | None
    era: int = 0

    def miss(self, now: float) -> "_Known":
        """Return the entry as missing since a time."""
        return self._replace(missing_since=now)


class Roster:
    """The databases of all groups, as far as the store has told."""

    def __init__(self):
        self._known: dict[str, _Known] = {}
        self._era = 0
        self._behind: dict[str, float] = {}

    def observe(
        self, entries: tuple[RosterEntry, ...], now: float, era: int = 0
    ) -> None:
        """Take in all entries that the store has at a time, and the store's era."""
        if era > self._era:
            # The time within which entries are back begins with each restore.
            self._era, self._behind = era, {}
            self._known = {
                name: known if known.missing_since is None else known.miss(now)
                for name, known in self._known.items()
            }
        told = [
            self._overtake(_Known(entry, None, era), now)
            for entry in map(self._keep_name, entries)
        ]
        present = {known.entry.name: known for known in told}
        identifiers = {get_identifier(name) for name in present}
        missing = {
            name: known if known.missing_since is not None else known.miss(now)
            for name, known in self._known.items()
            if get_identifier(name) not in identifiers
        }
        self._known = present | missing

    def _overtake(self, told: _Known, now: float) -> _Known:
        """Return what is known of a database if its entry is behind that, or the entry.

        An entry that is still behind when the store tells it again, after the time that
        databases have to write theirs, is what its database says.
        """
        identifier = get_identifier(told.entry.name)
        earlier = (
            known
            for known in self._known.values()
            if get_identifier(known.entry.name) == identifier and known.era < told.era
        )
        known = next(earlier, None)
        if known is None or not _is_behind(told.entry, known.entry):
            return told
        since = self._behind.setdefault(identifier, now)
        return told if now - since >= MISSING_GRACE else known

    def _keep_name(self, entry: RosterEntry) -> RosterEntry:
        """Return an entry that does not tell its start under the name it had.

        It says nothing of another start, so that nothing known is given up.
        """
        if get_identifier(entry.name) != entry.name:
            return entry
        names = (name for name in self._known if get_identifier(name) == entry.name)
        return entry._replace(name=next(names, entry.name))

    def get_members(self, group: str, now: float) -> tuple[RosterEntry, ...]:
        """Return the members of a group; forget those that are gone for good."""
        all_known = [
            known for known in self._known.values() if known.entry.group == group
        ]
        fresh = [known.entry for known in all_known if not _is_gone(known, now)]
        gone = [known.entry for known in all_known if _is_gone(known, now)]
        waiting = [
            entry
            for entry in gone
            if len(fresh) < USUAL_MEMBERS and not self._is_over(entry, now)
        ]
        over = [entry for entry in gone if entry not in waiting]
        missing = max(0, LEAST_MEMBERS - len(fresh) - len(waiting))
        for entry in over[missing:]:
            del self._known[entry.name]
        kept = waiting + over[:missing]
        members = fresh + [entry._replace(draining=True) for entry in kept]
        return tuple(sorted(members))

    def _is_over(self, entry: RosterEntry, now: float) -> bool:
        """Return whether a missing entry counts as a member no more."""
        return now >= self._known[entry.name].missing_since + GONE_AFTER

    def get_due(self, now: float) -> float | None:
        """Return when to look at the members again, None if nothing is missing."""
        times = (
            known.missing_since + delay
            for known in self._known.values()
            if known.missing_since is not None
            for delay in (MISSING_GRACE, GONE_AFTER)
        )
        return min((time for time in times if time > now), default=None)


def _is_behind(told: RosterEntry, known: RosterEntry) -> bool:
    """Return whether an entry tells what was so before a known one."""
    if told.name == known.name:
        return known.draining and not told.draining
    return get_start_time(told.name) < get_start_time(known.name)


def _is_gone(known: _Known, now: float) -> bool:
    """Return whether an entry has been missing for too long."""
    since = known.missing_since
    return since is not None and now >= since + MISSING_GRACE


def make_site(
    configuration: SiteConfiguration, roster: Roster, lost_after: float, now: float
) -> SiteSettings:
    """Return the settings in force.

    Parameters
    ----------
    configuration : SiteConfiguration
        What operators have configured.
    roster : Roster
        The databases.
    lost_after : float
        Seconds without a word after which a primary counts as lost.
    now : float
        The current time, seconds.

    Returns
    -------
    SiteSettings
        Groups without any database are left out.
    """
    groups = (
        _make_group(limits, roster.get_members(limits.name, now), lost_after)
        for limits in configuration.groups
    )
    return SiteSettings(
        configuration.version,
        tuple(group for group in groups if group.databases),
        (),
        (),
        configuration.routes,
        configuration.transaction_idle,
    )


def _make_group(
    limits: GroupLimits, members: tuple[RosterEntry, ...], lost_after: float
) -> GroupSettings:
    """Return the settings of one group."""
    databases = tuple(
        DatabaseSettings(
            entry.name,
            entry.endpoint,
            entry.zone,
            limits.max_connections,
            entry.slots,
            entry.draining,
        )
        for entry in members
    )
    return GroupSettings(limits.name, "", databases, "", "", 0.0, lost_after)
