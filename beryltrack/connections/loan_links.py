"""Peer links over which the budgets of different proxies exchange loan messages.

A budget exchanges messages with the few proxies with which it shares databases. A link
to such a peer is opened for the first message and stays open. Messages that cannot be
sent soon are dropped: requests for loans are repeated, and loans expire.
"""

import logging
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.interfaces import IReactorTime

from beryltrack.connections.budget_messages import (
    BudgetMessage,
    LiveHolders,
    SeatRecord,
)
from beryltrack.peers.link import PeerLink
from beryltrack.peers.messages import (
    JOINED,
    LISTED,
    LOANS,
    PRESENT_STATES,
    GossipItem,
    Member,
    Message,
)
from beryltrack.peers.task import PeerTask

log = logging.getLogger(__name__)

SEAT_KIND = "seat"
HOLDER_KIND = "member.holder"

MAX_QUEUED_MESSAGES = 64
"""Messages that wait for one link to open; the oldest beyond it are dropped."""

MAX_MESSAGE_AGE = 1.0
"""Seconds after which a message that waits for a link is not sent."""

OPEN_RETRY_PERIOD = 1.0
"""Seconds between two attempts to open a link to the same peer."""

SEPARATOR = "/"

LIVE_STATES = PRESENT_STATES | {LISTED}


class _QueuedMessage(NamedTuple):
    """A message that waits for a link to open."""

    message: BudgetMessage
    sent_at: float


def format_holder(name: str, incarnation: int) -> str:
    """Return a process's identifier: its instance's name and its incarnation."""
    return f"{name}{SEPARATOR}{incarnation}"


def get_holder_name(holder: str) -> str:
    """Return the instance's name in an identifier."""
    return holder.rpartition(SEPARATOR)[0]


def get_holder_incarnation(holder: str) -> int:
    """Return the incarnation in an identifier, zero if it has none."""
    start = holder.rpartition(SEPARATOR)[2]
    return int(start) if start.isdecimal() else 0


class LoanLinks:
    """A `BudgetPeers` over peer links and gossiped items.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    peers : PeerTask
        The peers of this proxy.
    incarnation : int
        Incarnation under which this process joined the peers.
    """

    def __init__(self, reactor: IReactorTime, peers: PeerTask, incarnation: int):
        self.holder = format_holder(peers.name, incarnation)
        self._reactor = reactor
        self._peers = peers
        self._incarnation = incarnation
        self._queued: defaultdict[str, deque[_QueuedMessage]] = defaultdict(
            lambda: deque(maxlen=MAX_QUEUED_MESSAGES)
        )
        self._opened_at: dict[str, float] = {}
        self._holders: dict[str, str] = {}
        self._eras: dict[str, int] = {}
        self._seats: dict[int, str] = {}
        self._receive: Callable[[str, BudgetMessage], None] | None = None
        self._observe_seats: Callable[[tuple[SeatRecord, ...]], None] | None = None

    def start(
        self,
        receive: Callable[[str, BudgetMessage], None],
        observe_seats: Callable[[tuple[SeatRecord, ...]], None],
    ) -> None:
        """Start to deliver messages and seats; publish this process's identifier."""
        self._receive = receive
        self._observe_seats = observe_seats
        self._peers.set_link_handler(LOANS, self)
        self._peers.subscribe(HOLDER_KIND, self._observe_holder)
        self._peers.subscribe(SEAT_KIND, self._observe_seat)
        self.publish_era(0)

    def get_live_holders(self) -> LiveHolders:
        """Return the live processes, by the instance list or by gossip.

        A process counts as gone only if its instance is missing from both, or if a
        later process of the same instance is known.
        """
        members = {member.name: member for member in self._peers.members}
        known = {*self._holders.values(), *self._seats.values()}
        live = frozenset(holder for holder in known if self._is_live(holder, members))
        staying = frozenset(
            holder
            for holder in live
            if _is_staying(members.get(get_holder_name(holder)))
        )
        return LiveHolders(live | {self.holder}, live - staying, self._eras)

    def send(self, holder: str, message: BudgetMessage) -> None:
        """Send a message to a process, opening a link if there is none."""
        name = get_holder_name(holder)
        link = self._peers.get_link(name, LOANS)
        if link is None:
            now = self._reactor.seconds()
            self._queued[name].append(_QueuedMessage(message, now))
            self._open(name, now)
        elif self._get_holder(link) == holder and not link.is_blocked:
            link.send(message)

    def publish_seat(self, record: SeatRecord) -> None:
        """Publish a seat's record to all proxies."""
        self._peers.publish(
            GossipItem(SEAT_KIND, str(record.seat), (record.version,), record.holder)
        )

    def publish_era(self, era: int) -> None:
        """Publish this process's identifier and the era of its confirmed seats."""
        version = (self._incarnation, era)
        own = GossipItem(HOLDER_KIND, self._peers.name, version, self.holder)
        self._peers.publish(own)

    def handle_link_opened(self, link: PeerLink) -> None:
        """Send the messages that waited for this link, unless they are too old."""
        now = self._reactor.seconds()
        for queued in self._queued.pop(link.peer.name, ()):
            if now - queued.sent_at <= MAX_MESSAGE_AGE:
                link.send(queued.message)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Deliver a loan message to the budget."""
        if isinstance(message, BudgetMessage):
            self._receive(self._get_holder(link), message)
        else:
            log.warning(
                "connections: ignored a message from %s that is no loan message",
                link.peer.name,
            )

    def handle_link_writable(self, link: PeerLink) -> None:
        """Do nothing: messages that could not be sent were dropped."""

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Do nothing: the next message opens a new link."""

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Drop the messages that waited for a link that could not be opened."""
        self._queued.pop(peer, None)

    def _open(self, name: str, now: float) -> None:
        """Open a link to a member, at most once per `OPEN_RETRY_PERIOD`."""
        member = next((m for m in self._peers.members if m.name == name), None)
        was_tried = now - self._opened_at.get(name, float("-inf")) < OPEN_RETRY_PERIOD
        if member is not None and not was_tried:
            self._opened_at[name] = now
            self._peers.open_link(member, LOANS)

    def _get_holder(self, link: PeerLink) -> str:
        return format_holder(link.peer.name, link.peer.incarnation)

    def _is_live(self, holder: str, members: dict[str, Member]) -> bool:
        name = get_holder_name(holder)
        member = members.get(name)
        latest = self._holders.get(name, "")
        is_latest = get_holder_incarnation(holder) >= get_holder_incarnation(latest)
        is_present = member is not None and member.state in LIVE_STATES
        listed = self._peers.listed
        return is_latest and (is_present or listed is None or name in listed)

    def _observe_holder(self, item: GossipItem) -> None:
        if isinstance(item.value, str):
            self._holders[item.key] = item.value
            self._eras[item.value] = item.version[1] if len(item.version) > 1 else 0

    def _observe_seat(self, item: GossipItem) -> None:
        is_valid = item.key.isdecimal() and isinstance(item.value, str)
        if not is_valid or len(item.version) != 1:
            log.warning(
                "connections: ignored a malformed seat record from a peer: seat %r",
                item.key,
            )
            return
        record = SeatRecord(int(item.key), item.version[0], item.value)
        self._seats[record.seat] = record.holder
        self._observe_seats((record,))


def _is_staying(member: Member | None) -> bool:
    """Return whether a member is running and not leaving."""
    return member is not None and member.state in (JOINED, LISTED)
