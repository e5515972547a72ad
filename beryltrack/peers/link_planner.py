"""Planner of control links: which to open, when to retry and which to close.

Links to the neighbours of `beryltrack.peers.placement` carry heartbeats and gossip.
In addition a proxy occasionally contacts a member that is not present: after a
network partition each side takes the other for dead, and one link between them
merges the two again.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.peers.actions import OpenLink
from beryltrack.peers.messages import PRESENT_STATES, Member
from beryltrack.peers.placement import get_neighbours
from beryltrack.settings.messages import Endpoint

FIRST_BACKOFF = 0.2
"""Longest delay after the first failure to open a link, seconds."""

MAX_BACKOFF = 30.0
"""Upper bound of the delay after repeated failures, seconds."""

MAX_BACKOFF_DOUBLINGS = 8

MAX_OPENED_AT_ONCE = 3
"""Links to neighbours that one call of `plan_opening` may open."""

CONTACT_PERIOD = 10.0
"""Mean seconds between contacts with members that are not present."""

UNLINKED_CONTACT_PERIOD = 1.0
"""The same while no link is open; seeds are contacted as well then."""

UNWANTED_GRACE = 3.0
"""Seconds after which a link to a former neighbour is closed."""


class _Attempt(NamedTuple):
    """Consecutive failures to open a link, and the time of the next attempt."""

    failures: int
    next_at: float


class LinkPlanner:
    """Decides which control links to open and to close.

    Parameters
    ----------
    own_name : str
        Name of this proxy.
    seeds : tuple of Endpoint
        Addresses to contact while no peer is linked.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, own_name: str, seeds: tuple[Endpoint, ...], rng: random.Random):
        self._own_name = own_name
        self._seeds = seeds
        self._rng = rng
        self._attempts: dict[str, _Attempt] = {}
        self._unwanted_since: dict[str, float] = {}
        self._next_contact_at = 0.0
        self._neighbours: tuple[str, ...] = ()
        self._members: tuple[Member, ...] | None = None

    def record_success(self, peer: str) -> None:
        """Reset the back-off of a peer whose link is open."""
        self._attempts.pop(peer, None)

    def record_failure(self, peer: str, now: float) -> int:
        """Back off from a peer; return its consecutive failures."""
        failures = self._attempts.get(peer, _Attempt(0, 0.0)).failures + 1
        doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
        longest = min(MAX_BACKOFF, FIRST_BACKOFF * 2**doublings)
        delay = longest * self._rng.uniform(0.5, 1.0)
        self._attempts[peer] = _Attempt(failures, now + delay)
        return failures

    def plan_opening(
        self, members: tuple[Member, ...], linked: Iterable[str], now: float
    ) -> list[OpenLink]:
        """Return the links to open now.

        Parameters
        ----------
        members : tuple of Member
            All members.
        linked : iterable of str
            Peers to which a link is open or opening.
        now : float
            The current time, seconds.

        Returns
        -------
        list of OpenLink
            At most `MAX_OPENED_AT_ONCE` and one contact, so that a change of the
            fleet causes no connection storm.
        """
        linked = set(linked)
        by_name = {member.name: member for member in members}
        missing = [
            by_name[name]
            for name in self._get_neighbours(members)
            if name not in linked and self._is_backoff_over(name, now)
        ]
        opening = [
            OpenLink(member.name, member.host, member.port)
            for member in missing[:MAX_OPENED_AT_ONCE]
        ]
        return opening + self._plan_contact(members, linked, now)

    def plan_closing(
        self, members: tuple[Member, ...], opened_here: Iterable[str], now: float
    ) -> list[str]:
        """Return the peers whose links this side opened and needs no longer.

        A link is kept for `UNWANTED_GRACE` seconds first, because views of the
        fleet change often while members come and go.
        """
        wanted = set(self._get_neighbours(members))
        unwanted = {peer for peer in opened_here if peer not in wanted}
        self._unwanted_since = {
            peer: self._unwanted_since.get(peer, now) for peer in unwanted
        }
        return [
            peer
            for peer, since in self._unwanted_since.items()
            if now - since >= UNWANTED_GRACE
        ]

    def _get_neighbours(self, members: tuple[Member, ...]) -> tuple[str, ...]:
        """Return the neighbours; computed again only when the members change."""
        if members is not self._members:
            self._members = members
            self._neighbours = get_neighbours(self._own_name, members)
            names = {member.name for member in members}
            self._attempts = {
                name: attempt
                for name, attempt in self._attempts.items()
                if name in names
            }
        return self._neighbours

    def _is_backoff_over(self, name: str, now: float) -> bool:
        """Return whether the back-off of a peer is over."""
        attempt = self._attempts.get(name)
        return attempt is None or now >= attempt.next_at

    def _plan_contact(
        self, members: tuple[Member, ...], linked: set[str], now: float
    ) -> list[OpenLink]:
        """Return at most one link to a member that is not present, or to a seed."""
        if now < self._next_contact_at:
            return []
        absent = [
            OpenLink(member.name, member.host, member.port)
            for member in members
            if member.name not in linked
            and member.name != self._own_name
            and member.state not in PRESENT_STATES
            and self._is_backoff_over(member.name, now)
        ]
        seeds = [OpenLink("", seed.host, seed.port) for seed in self._seeds]
        candidates = absent if linked else absent + seeds
        if not candidates:
            return []
        period = CONTACT_PERIOD if linked else UNLINKED_CONTACT_PERIOD
        self._next_contact_at = now + period * self._rng.uniform(0.5, 1.5)
        return [self._rng.choice(candidates)]
