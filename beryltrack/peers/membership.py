"""Who is a member of the fleet, and who is thought to be gone.

The platform's instance list is joined with the peers' own word. Members speak
for themselves: only a member raises its incarnation, and so refutes what others
wrongly said of it. Within one incarnation a later state wins, so that views
meet whatever order the news arrives in. The list brings contacts and tells who
is leaving; it never takes a member away, because it lags and can be down.
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
GONE_MEMBER_EXPIRY = 3600.0
REFUTATION_GRACE = 60.0
LIST_LAG = 60.0
REFUTATION_PERIOD = 0.25

STATES_BY_RANK = {rank: state for state, rank in STATE_RANKS.items()}


class ListedInstance(Protocol):
    """What the decider reads of an entry of the platform's instance list."""

    name: str
    host: str
    port: int
    zone: str
    state: str


class Observation(NamedTuple):
    """What came of a word about a member.

    Parameters
    ----------
    accepted : bool
        True if the word is news, to be kept and told to others.
    refutations : tuple of Member
        What this proxy has to say to it: a refutation, or nothing.
    """

    accepted: bool
    refutations: tuple[Member, ...]


class TimeoutChanges(NamedTuple):
    """What the passing of time has changed.

    Parameters
    ----------
    changed : tuple of Member
        Members whose suspicion was not refuted in time, now dead, and this
        proxy itself if it has to refute something.
    expired : tuple of str
        Names of members that went long ago.
    """

    changed: tuple[Member, ...]
    expired: tuple[str, ...]


class _Record(NamedTuple):
    """A member, since when it is in its state, and when it last refuted."""

    member: Member
    since: float
    refuted_at: float


IGNORED = Observation(False, ())
ACCEPTED = Observation(True, ())


def make_member_item(member: Member) -> GossipItem:
    """Return the item by which a member's state spreads."""
    version = (member.incarnation, STATE_RANKS[member.state])
    value = [member.host, member.port, member.zone]
    return GossipItem(MEMBER_KIND, member.name, version, value)


def parse_member_item(
    item: GossipItem, source: str
) -> tuple[Member | None, list[Finding]]:
    """Return the member that an item describes, or what is wrong with it.

    Parameters
    ----------
    item : GossipItem
        An item of the kind `MEMBER_KIND`.
    source : str
        Who sent it, for the findings.

    Returns
    -------
    Member or None
        The member; None if anything is wrong.
    list of Finding
        All that is wrong.
    """
    place = f"{item.kind}/{item.key}"
    if not isinstance(item.value, list | tuple) or len(item.value) != 3:
        return None, [Finding(source, place, "the value is not host, port and zone")]
    host, port, zone = item.value
    state = STATES_BY_RANK.get(item.version[1]) if len(item.version) == 2 else None
    checks = (
        (bool(item.key), "the name is empty"),
        (state not in (None, LISTED), "the version names no state"),
        (_is_ip_number(host), "the host is not an IP number"),
        (type(port) is int and 0 < port < 65536, "the port is not a TCP port"),
        (isinstance(zone, str), "the availability zone is not a text"),
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
        not, the first word about the earlier process is refuted.
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
        """What the proxy tells others of itself."""
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
        """Return a member by name, or None if nothing is known of it."""
        if name == self._own.name:
            return self._own
        record = self._records.get(name)
        return record.member if record else self._listed.get(name)

    def has_refuted_recently(self, name: str, now: float) -> bool:
        """Return whether a member refuted a suspicion a short time ago."""
        record = self._records.get(name)
        return record is not None and now - record.refuted_at < REFUTATION_GRACE

    def observe_member(self, member: Member, now: float) -> Observation:
        """Take a word about a member that was heard on the peer link.

        Parameters
        ----------
        member : Member
            What was said.
        now : float
            The current time, seconds.

        Returns
        -------
        Observation
            Whether it is news, and what to answer.
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
        """Take the platform's instance list.

        Parameters
        ----------
        instances : iterable of ListedInstance
            The list, as far as the platform knows.
        now : float
            The current time, seconds.

        Returns
        -------
        tuple of Member
            Members that the list newly says are leaving, to be told to others.
        """
        entries = [entry for entry in instances if _is_reachable(entry)]
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
        """Suspect a member that cannot be reached.

        Returns
        -------
        tuple of Member
            The suspected member to be told to others; empty if it is no news.
        """
        record = self._records.get(name)
        if record is None or record.member.state not in (JOINED, LEAVING):
            return ()
        return (self._set_state(name, SUSPECTED, now),)

    def handle_timeouts(self, now: float) -> TimeoutChanges:
        """Declare dead who did not refute in time, and forget who went long ago."""
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
        """Give all suspected members their whole time again, after an own pause."""
        self._records = {
            name: record._replace(since=now)
            if record.member.state == SUSPECTED
            else record
            for name, record in self._records.items()
        }

    def join(self, port: int) -> Member:
        """Take the port that this proxy listens on and return what to tell."""
        self._set_own(self._own._replace(port=port))
        return self._own

    def leave(self) -> Member:
        """Begin to leave and return what to tell the others."""
        self._set_own(self._own._replace(state=LEAVING))
        return self._own

    def finish(self) -> Member:
        """Have left and return what to tell the others."""
        self._set_own(self._own._replace(state=LEFT))
        return self._own

    def _observe_own(self, member: Member, now: float) -> Observation:
        """Take a word about this proxy: adopt that it is leaving, refute the rest.

        Two processes of one name refute each other without end, so that the
        next refutation may have to wait for `handle_timeouts`.
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
        """Return the own state in a higher incarnation, if one is needed and due."""
        needed = self._refuted_incarnation > self._own.incarnation
        if not needed or now - self._refuted_at < REFUTATION_PERIOD:
            return ()
        self._refuted_at = now
        self._set_own(self._own._replace(incarnation=self._refuted_incarnation))
        return (self._own,)

    def _is_leave_credible(self, name: str, changed: bool, now: float) -> bool:
        """Return whether the list's word that a member leaves is to be believed.

        The list lags: it may still speak of an earlier process of that name. A
        change seen in the list, or an old member, tells that it does not.
        """
        record = self._records.get(name)
        if record is None or record.member.state != JOINED:
            return False
        return changed or now - record.since >= LIST_LAG

    def _set_state(self, name: str, state: str, now: float) -> Member:
        """Put a member into another state of its incarnation."""
        record = self._records[name]
        member = record.member._replace(state=state)
        self._store_record(_Record(member, now, record.refuted_at))
        return member

    def _store_record(self, record: _Record) -> None:
        """Store a record."""
        self._records[record.member.name] = record
        self._members = None

    def _set_own(self, own: Member) -> None:
        """Change this proxy's own entry."""
        self._own = own
        self._members = None


def _get_precedence(member: Member) -> tuple[int, int]:
    """Return the order of words about one member."""
    return member.incarnation, STATE_RANKS[member.state]


def _is_reachable(entry: ListedInstance) -> bool:
    """Return whether an entry of the list has an address to connect to."""
    return _is_ip_number(entry.host) and 0 < entry.port < 65536


def _is_ip_number(host: object) -> bool:
    """Return whether a value is the text of an IP number."""
    try:
        return isinstance(host, str) and bool(ipaddress.ip_address(host))
    except ValueError:
        return False
