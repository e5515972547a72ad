"""Membership of the fleet, with failure suspicion and refutation as in SWIM.

The platform's instance list is combined with the states that peers announce. Only a
member itself raises its incarnation, and so refutes a wrong suspicion. Within one
incarnation the later state wins, so views converge in whatever order messages
arrive. The list provides contacts and shows which members are leaving; it never
removes a member, because it lags and can be unavailable.
"""

import ipaddress
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from beryltrack.findings import Finding
from beryltrack.peers.messages import (
    DEAD,
    GONE_STATES,
    JOINED,
    LEAVING,
    LEFT,
    LISTED,
    MEMBER_KIND,
    STATE_RANKS,
    SUSPECTED,
    GossipItem,
    Member,
)

SUSPICION_TIMEOUT = 2.0
"""Seconds after which a suspected member that has not refuted counts as dead."""

GONE_MEMBER_EXPIRY = 3600.0
"""Seconds after which a member that has left or is dead is dropped."""

REFUTATION_GRACE = 60.0
"""Seconds after a refutation in which failed connections raise no suspicion."""

LIST_LAG = 60.0
"""Seconds by which the instance list may lag."""

REFUTATION_PERIOD = 0.25
"""Minimum seconds between two refutations of this proxy."""

STATES_BY_RANK = {rank: state for state, rank in STATE_RANKS.items()}


class ListedInstance(Protocol):
    """The fields of an instance list entry that the decider reads."""

    name: str
    host: str
    port: int
    zone: str
    state: str


class Observation(NamedTuple):
    """Result of handling a member's state.

    Parameters
    ----------
    accepted : bool
        True if the state is new, to be stored and pushed to others.
    refutations : tuple of Member
        This proxy's own new entry if it has to refute the state; else empty.
    """

    accepted: bool
    refutations: tuple[Member, ...]


class TimeoutChanges(NamedTuple):
    """Changes that are due to timeouts.

    Parameters
    ----------
    changed : tuple of Member
        Members that count as dead now, as they did not refute in time, and this
        proxy itself if a refutation is due.
    expired : tuple of str
        Names of members that were dropped `GONE_MEMBER_EXPIRY` after they left or died.
    """

    changed: tuple[Member, ...]
    expired: tuple[str, ...]


class _Record(NamedTuple):
    """A member, the time of its last change of state and of its last refutation."""

    member: Member
    since: float
    refuted_at: float


IGNORED = Observation(False, ())
ACCEPTED = Observation(True, ())


def make_member_item(member: Member) -> GossipItem:
    """Return the gossip item that carries a member's state."""
    version = (member.incarnation, STATE_RANKS[member.state])
    value = [member.host, member.port, member.zone]
    return GossipItem(MEMBER_KIND, member.name, version, value)


def parse_member_item(
    item: GossipItem, source: str
) -> tuple[Member | None, list[Finding]]:
    """Parse and validate a member item.

    Parameters
    ----------
    item : GossipItem
        An item of the kind `MEMBER_KIND`.
    source : str
        Name of the peer that sent it, for the findings.

    Returns
    -------
    Member or None
        The member; None if the item is malformed.
    list of Finding
        All errors.
    """
    place = f"{item.kind}/{item.key}"
    if not isinstance(item.value, list | tuple) or len(item.value) != 3:
        return None, [Finding(source, place, "the value is not host, port and zone")]
    host, port, zone = item.value
    state = STATES_BY_RANK.get(item.version[1]) if len(item.version) == 2 else None
    checks = (
        (bool(item.key), "the name is empty"),
        (state not in (None, LISTED), "the version holds no valid state"),
        (_is_ip_address(host), "the host is not an IP address"),
        (type(port) is int and 0 < port < 65536, "the port is not a TCP port"),
        (isinstance(zone, str), "the availability zone is not text"),
    )
    findings = [Finding(source, place, text) for holds, text in checks if not holds]
    if findings:
        return None, findings
    return Member(item.key, host, port, zone, state, item.version[0]), []


class MembershipDecider:
    """The members of the fleet as one proxy sees them.

    Parameters
    ----------
    own : Member
        This proxy. Its incarnation should be higher than that of an earlier
        process of the same name, for example the time of its start; if it is
        not, the first state received of the earlier process is refuted.
    """

    def __init__(self, own: Member):
        self._own = own
        self._records: dict[str, _Record] = {}
        self._listed: dict[str, Member] = {}
        self._listed_as_leaving: frozenset[str] = frozenset()
        self._refuted_at = float("-inf")
        self._refuted_incarnation = own.incarnation
        self._members: tuple[Member, ...] | None = None

    @property
    def own(self) -> Member:
        """The entry of this proxy, as announced to others."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """All members with their state, this proxy among them, by name."""
        if self._members is None:
            known = {name: record.member for name, record in self._records.items()}
            everyone = self._listed | known | {self._own.name: self._own}
            self._members = tuple(everyone[name] for name in sorted(everyone))
        return self._members

    def get_member(self, name: str) -> Member | None:
        """Return a member by name, or None if it is unknown."""
        if name == self._own.name:
            return self._own
        record = self._records.get(name)
        return record.member if record else self._listed.get(name)

    def has_refuted_recently(self, name: str, now: float) -> bool:
        """Return whether a member refuted a suspicion within `REFUTATION_GRACE`."""
        record = self._records.get(name)
        return record is not None and now - record.refuted_at < REFUTATION_GRACE

    def observe_member(self, member: Member, now: float) -> Observation:
        """Handle a member's state that was received from a peer.

        Parameters
        ----------
        member : Member
            The member in the received state.
        now : float
            The current time, seconds.

        Returns
        -------
        Observation
            Whether the state is new, and the refutation if it concerns this proxy.
        """
        if member.name == self._own.name:
            return self._observe_own(member, now)
        record = self._records.get(member.name)
        if record is None and member.state in GONE_STATES:
            return IGNORED
        if record is not None and _get_precedence(member) <= _get_precedence(
            record.member
        ):
            return IGNORED
        refuted = record is not None and record.member.state in (SUSPECTED, DEAD)
        refuted_at = record.refuted_at if record else float("-inf")
        if refuted and member.state not in (SUSPECTED, *GONE_STATES):
            refuted_at = now
        self._store_record(_Record(member, now, refuted_at))
        return ACCEPTED

    def observe_instances(
        self, instances: Iterable[ListedInstance], now: float
    ) -> tuple[Member, ...]:
        """Apply the platform's instance list.

        Parameters
        ----------
        instances : iterable of ListedInstance
            The list, as far as the platform knows.
        now : float
            The current time, seconds.

        Returns
        -------
        tuple of Member
            Members that the list newly shows as leaving, to be announced.
        """
        entries = [entry for entry in instances if _has_valid_address(entry)]
        listed_before, leaving_before = self._listed, self._listed_as_leaving
        self._listed = {
            entry.name: Member(
                entry.name, entry.host, entry.port, entry.zone, LISTED, 0
            )
            for entry in entries
        }
        self._listed_as_leaving = frozenset(
            entry.name for entry in entries if entry.state == LEAVING
        )
        self._members = None
        changed = self._listed_as_leaving & (listed_before.keys() - leaving_before)
        return tuple(
            self._set_state(name, LEAVING, now)
            for name in sorted(self._listed_as_leaving)
            if self._is_leave_credible(name, name in changed, now)
        )

    def suspect(self, name: str, now: float) -> tuple[Member, ...]:
        """Suspect a member that is unreachable.

        Returns
        -------
        tuple of Member
            The suspected member, to be announced; empty if it is unknown, already
            suspected, or has left or died.
        """
        record = self._records.get(name)
        if record is None or record.member.state not in (JOINED, LEAVING):
            return ()
        return (self._set_state(name, SUSPECTED, now),)

    def handle_timeouts(self, now: float) -> TimeoutChanges:
        """Declare unrefuted members dead, and drop those that left or died long ago."""
        unrefuted = [
            name
            for name, record in self._records.items()
            if record.member.state == SUSPECTED
            and now - record.since >= SUSPICION_TIMEOUT
        ]
        expired = tuple(
            name
            for name, record in self._records.items()
            if record.member.state in GONE_STATES
            and now - record.since >= GONE_MEMBER_EXPIRY
        )
        for name in expired:
            del self._records[name]
            self._members = None
        dead = tuple(self._set_state(name, DEAD, now) for name in unrefuted)
        return TimeoutChanges(dead + self._refute(now), expired)

    def restart_suspicions(self, now: float) -> None:
        """Restart the timeouts of all suspicions, after this process was suspended."""
        self._records = {
            name: record._replace(since=now)
            if record.member.state == SUSPECTED
            else record
            for name, record in self._records.items()
        }

    def join(self, port: int) -> Member:
        """Set the port that this proxy listens on; return the entry to announce."""
        self._set_own(self._own._replace(port=port))
        return self._own

    def leave(self) -> Member:
        """Change this proxy to `LEAVING`; return the entry to announce."""
        self._set_own(self._own._replace(state=LEAVING))
        return self._own

    def finish(self) -> Member:
        """Change this proxy to `LEFT`; return the entry to announce."""
        self._set_own(self._own._replace(state=LEFT))
        return self._own

    def _observe_own(self, member: Member, now: float) -> Observation:
        """Handle a state of this proxy: adopt `LEAVING`, refute any other state.

        Two processes of one name refute each other without end. Refutations are
        therefore limited in rate, and one may be delayed until `handle_timeouts`.
        """
        if (
            _get_precedence(member) <= _get_precedence(self._own)
            or self._own.state == LEFT
        ):
            return IGNORED
        if member.state == LEAVING and member.incarnation == self._own.incarnation:
            self._set_own(self._own._replace(state=LEAVING))
            return ACCEPTED
        self._refuted_incarnation = max(
            self._refuted_incarnation, member.incarnation + 1
        )
        return Observation(False, self._refute(now))

    def _refute(self, now: float) -> tuple[Member, ...]:
        """Return this proxy in a higher incarnation, if a refutation is due."""
        needed = self._refuted_incarnation > self._own.incarnation
        if not needed or now - self._refuted_at < REFUTATION_PERIOD:
            return ()
        self._refuted_at = now
        self._set_own(self._own._replace(incarnation=self._refuted_incarnation))
        return (self._own,)

    def _is_leave_credible(self, name: str, changed: bool, now: float) -> bool:
        """Return whether a listed member's state `LEAVING` is credible.

        The list lags, so the entry may be of an earlier process of that name. It is
        not if the entry has just changed, or if the member joined `LIST_LAG` ago.
        """
        record = self._records.get(name)
        if record is None or record.member.state != JOINED:
            return False
        return changed or now - record.since >= LIST_LAG

    def _set_state(self, name: str, state: str, now: float) -> Member:
        """Change a member's state within its incarnation."""
        record = self._records[name]
        member = record.member._replace(state=state)
        self._store_record(_Record(member, now, record.refuted_at))
        return member

    def _store_record(self, record: _Record) -> None:
        """Store a record."""
        self._records[record.member.name] = record
        self._members = None

    def _set_own(self, own: Member) -> None:
        """Replace the entry of this proxy."""
        self._own = own
        self._members = None


def _get_precedence(member: Member) -> tuple[int, int]:
    """Return the precedence of a state among all states of one member."""
    return member.incarnation, STATE_RANKS[member.state]


def _has_valid_address(entry: ListedInstance) -> bool:
    """Return whether an entry of the list has a valid address."""
    return _is_ip_address(entry.host) and 0 < entry.port < 65536


def _is_ip_address(host: object) -> bool:
    """Return whether a value is the text of an IP address."""
    try:
        return isinstance(host, str) and bool(ipaddress.ip_address(host))
    except ValueError:
        return False
