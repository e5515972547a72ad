"""Members of groups whose databases register in a store, and the site's settings.

An entry can disappear while its database is alive, because the store expires entries
that are not renewed for some seconds, also if the store itself was down. A missing
entry therefore stays valid for a grace period. After that its database gets no new
work, but it remains a member for some seconds, in which the others receive commits
that only it may have confirmed. It remains a member permanently if its group would
be left with one database, which could confirm commits to itself alone.

A store that is restored from a backup holds old entries until the databases have
written theirs again. An entry older than the known one, with an earlier start or
without the known draining, is ignored until the databases have had time for that.

A database that has restarted under its identifier is another member that replaces the
earlier one at once, since the data of the earlier one is lost.
"""

from typing import NamedTuple

from beryltrack.accounts.messages import AccountSettings
from beryltrack.clock import NEVER
from beryltrack.settings.incarnations import get_identifier, get_start_time
from beryltrack.settings.messages import (
    DatabaseSettings,
    Endpoint,
    GroupSettings,
    RouteSettings,
    SiteSettings,
)

MISSING_GRACE = 2.5
"""Seconds for which a missing entry stays valid: entries that expired during an outage
of the store are back within two seconds of its return."""

MEMBER_EXPIRY = 6.0
"""Seconds after which a missing entry is no longer a member. Replicas receive a commit
within one network delay and, if they lag, within seconds."""

MIN_MEMBERS = 2
"""Number of members below which a group retains missing ones permanently."""

IMMEDIATE_DROP_MEMBERS = 3
"""Number of present members from which on a missing one is dropped as soon as
`MISSING_GRACE` has passed."""


class RosterEntry(NamedTuple):
    """The entry that a database registers in the store.

    Parameters
    ----------
    name : str
        Its name, unique to the incarnation; see `incarnations`.
    group : str
        The group that it belongs to.
    endpoint : Endpoint
        Address at which it listens.
    zone : str
        Its availability zone.
    slots : int
        Number of statements that it runs concurrently.
    draining : bool
        True if it is about to leave and must receive no new work.
    changed_after : float
        Time of the instance's clock after which the entry was last changed; `NEVER`
        if that is not known.
    """

    name: str
    group: str
    endpoint: Endpoint
    zone: str
    slots: int
    draining: bool
    changed_after: float = NEVER


class GroupLimits(NamedTuple):
    """Limits that operators configure for one group.

    Parameters
    ----------
    name : str
        Its name.
    max_connections : int
        Maximum number of connections to each of its databases from all instances
        together.
    """

    name: str
    max_connections: int


class SiteConfiguration(NamedTuple):
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version number; increases with each change.
    routes : tuple of RouteSettings
        All routes.
    groups : tuple of GroupLimits
        All groups.
    transaction_idle : float
        Seconds after which an idle transaction may be ended.
    accounts : tuple of AccountSettings or None
        All client accounts; None where callers need no key.
    """

    version: int
    routes: tuple[RouteSettings, ...]
    groups: tuple[GroupLimits, ...]
    transaction_idle: float
    accounts: tuple[AccountSettings, ...] | None = None


class _KnownEntry(NamedTuple):
    """An entry and what is known of it.

    `missing_since` is None for one that is present. `leaving_since` is the earliest
    time at which its database can have reported that it drains, or can have lost its
    entry; None if it has done neither.
    """

    entry: RosterEntry
    missing_since: float | None
    era: int = 0
    leaving_since: float | None = None

    def mark_missing(self, now: float) -> "_KnownEntry":
        """Return the entry marked as missing since `now`."""
        return self._replace(missing_since=now)

    def mark_leaving(self, since: float) -> "_KnownEntry":
        """Return the entry as leaving since then, unless it already was."""
        return (
            self
            if self.leaving_since is not None
            else self._replace(leaving_since=since)
        )


class Roster:
    """The databases of all groups, as registered in the store."""

    def __init__(self):
        self._known: dict[str, _KnownEntry] = {}
        self._era = 0
        self._older_since: dict[str, float] = {}

    def observe(
        self,
        entries: tuple[RosterEntry, ...],
        now: float,
        era: int = 0,
        removed_after: float | None = None,
    ) -> None:
        """Record all entries that the store has.

        Parameters
        ----------
        entries : tuple of RosterEntry
            The entries.
        now : float
            The current time.
        era : int
            The store's era.
        removed_after : float or None
            Time after which entries that are newly missing were removed; None for
            `now`.
        """
        if era > self._era:
            # After a restore, entries have the whole grace period to return.
            self._era, self._older_since = era, {}
            self._known = {
                name: known if known.missing_since is None else known.mark_missing(now)
                for name, known in self._known.items()
            }
        reported = [
            self._select_current(_KnownEntry(entry, None, era), now)
            for entry in map(self._restore_name, entries)
        ]
        present = {known.entry.name: self._date_departure(known) for known in reported}
        identifiers = {get_identifier(name) for name in present}
        removed_after = now if removed_after is None else removed_after
        missing = {
            name: known
            if known.missing_since is not None
            else known.mark_missing(now).mark_leaving(removed_after)
            for name, known in self._known.items()
            if get_identifier(name) not in identifiers
        }
        self._known = present | missing

    def _date_departure(self, known: _KnownEntry) -> _KnownEntry:
        """Return a present entry with the time since when its database leaves.

        A database that crashed while it left, and is back, still leaves since its first
        report.
        """
        if not known.entry.draining:
            return known._replace(leaving_since=None)
        identifier = get_identifier(known.entry.name)
        earlier = (
            before.leaving_since
            for before in self._known.values()
            if get_identifier(before.entry.name) == identifier
            and before.leaving_since is not None
        )
        return known.mark_leaving(min(earlier, default=known.entry.changed_after))

    def _select_current(self, reported: _KnownEntry, now: float) -> _KnownEntry:
        """Return the known entry if the reported one is older and of a new era.

        Otherwise return the reported one. An older entry that is still there after
        `MISSING_GRACE`, in which databases write theirs again, was written by its
        database and is accepted.
        """
        identifier = get_identifier(reported.entry.name)
        earlier = (
            known
            for known in self._known.values()
            if get_identifier(known.entry.name) == identifier
            and known.era < reported.era
        )
        known = next(earlier, None)
        if known is None or not _is_older(reported.entry, known.entry):
            return reported
        since = self._older_since.setdefault(identifier, now)
        return reported if now - since >= MISSING_GRACE else known

    def _restore_name(self, entry: RosterEntry) -> RosterEntry:
        """Return an entry without a start time under the database's known name.

        Without a start time nothing shows a restart, so that the known state is kept.
        """
        if get_identifier(entry.name) != entry.name:
            return entry
        names = (name for name in self._known if get_identifier(name) == entry.name)
        return entry._replace(name=next(names, entry.name))

    def get_members(self, group: str, now: float) -> tuple[RosterEntry, ...]:
        """Return the members of a group; drop those that have expired."""
        all_known = [
            known for known in self._known.values() if known.entry.group == group
        ]
        fresh = [known.entry for known in all_known if not _is_past_grace(known, now)]
        missing = [known.entry for known in all_known if _is_past_grace(known, now)]
        unexpired = [
            entry
            for entry in missing
            if len(fresh) < IMMEDIATE_DROP_MEMBERS and not self._is_expired(entry, now)
        ]
        expired = [entry for entry in missing if entry not in unexpired]
        lacking = max(0, MIN_MEMBERS - len(fresh) - len(unexpired))
        for entry in expired[lacking:]:
            del self._known[entry.name]
        retained = unexpired + expired[:lacking]
        members = fresh + [entry._replace(draining=True) for entry in retained]
        return tuple(sorted(members))

    def get_leaving_since(self, entry: RosterEntry) -> float | None:
        """Return since when at the earliest a member leaves; None if it does not."""
        return self._known[entry.name].leaving_since if entry.draining else None

    def _is_expired(self, entry: RosterEntry, now: float) -> bool:
        """Return whether a missing entry is no longer a member."""
        return now >= self._known[entry.name].missing_since + MEMBER_EXPIRY

    def get_next_check(self, now: float) -> float | None:
        """Return when the members next change by time; None if no entry is missing."""
        times = (
            known.missing_since + delay
            for known in self._known.values()
            if known.missing_since is not None
            for delay in (MISSING_GRACE, MEMBER_EXPIRY)
        )
        return min((time for time in times if time > now), default=None)


def _is_older(reported: RosterEntry, known: RosterEntry) -> bool:
    """Return whether a reported entry shows an earlier state than the known one."""
    if reported.name == known.name:
        return known.draining and not reported.draining
    return get_start_time(reported.name) < get_start_time(known.name)


def _is_past_grace(known: _KnownEntry, now: float) -> bool:
    """Return whether an entry has been missing for longer than the grace period."""
    since = known.missing_since
    return since is not None and now >= since + MISSING_GRACE


def make_site(
    configuration: SiteConfiguration, roster: Roster, lost_after: float, now: float
) -> SiteSettings:
    """Return the settings in force.

    Parameters
    ----------
    configuration : SiteConfiguration
        The operators' configuration.
    roster : Roster
        The databases.
    lost_after : float
        Failure detection timeout: seconds without a message from the primary after
        which it counts as lost.
    now : float
        The current time, seconds.

    Returns
    -------
    SiteSettings
        Groups without databases are omitted.
    """
    groups = (
        _make_group(limits, roster, lost_after, now) for limits in configuration.groups
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
    limits: GroupLimits, roster: Roster, lost_after: float, now: float
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
            roster.get_leaving_since(entry),
        )
        for entry in roster.get_members(limits.name, now)
    )
    return GroupSettings(limits.name, "", databases, "", "", 0.0, lost_after)
