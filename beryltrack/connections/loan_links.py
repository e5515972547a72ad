"""The way by which budgets of different proxies talk: links of their own.

A budget talks to few others, those with which it shares databases. A link to
such a peer is opened when there is something to say and stays open. What
cannot be sent soon is dropped: a loan's request is repeated and a loan ends by
itself.
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
MOST_WAITING = 64
LONGEST_WAIT = 1.0
OPEN_PAUSE = 1.0
SEPARATOR = "/"

LIVE_STATES = PRESENT_STATES | {LISTED}


class _Waiting(NamedTuple):
    """A message that waits for its link to open."""

    message: BudgetMessage
    sent_at: float


def format_holder(name: str, incarnation: int) -> str:
    """Return the identifier of a process: its instance's name and its start."""
    return f"{name}{SEPARATOR}{incarnation}"


def get_holder_name(holder: str) -> str:
    """Return the instance's name in an identifier."""
    return holder.rpartition(SEPARATOR)[0]


def get_holder_start(holder: str) -> int:
    """Return the incarnation with which an identifier's process started."""
    start = holder.rpartition(SEPARATOR)[2]
    return int(start) if start.isdecimal() else 0


class LoanLinks:
    """A `BudgetPeers` over the peers' links and shared knowledge.

    Parameters
    ----------
    reactor : IReactorTime
        The clock.
    peers : PeerTask
        The peers of this proxy.
    incarnation : int
        What the peers were told at the start of this process.
    """

    def __init__(self, reactor: IReactorTime, peers: PeerTask, incarnation: int):
        self.holder = format_holder(peers.name, incarnation)
        self._reactor = reactor
        self._peers = peers
        self._incarnation = incarnation
        self._waiting: defaultdict[str, deque[_Waiting]] = defaultdict(
            lambda: deque(maxlen=MOST_WAITING)
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
        """Begin to hand on messages and seats, and tell who this process is."""
        self._receive = receive
        self._observe_seats = observe_seats
        self._peers.set_link_handler(LOANS, self)
        self._peers.subscribe(HOLDER_KIND, self._learn_holder)
        self._peers.subscribe(SEAT_KIND, self._learn_seat)
        self.publish_era(0)

    def get_live_holders(self) -> LiveHolders:
        """Return who is live, by the instance list or by the peers' word.

        A process is taken for gone only if its instance is gone by both, or if
        a later process of the same instance is known.
        """
        members = {member.name: member for member in self._peers.members}
        known = {*self._holders.values(), *self._seats.values()}
        live = frozenset(holder for holder in known if self._is_live(holder, members))
        wanting = frozenset(
            holder
            for holder in live
            if _is_staying(members.get(get_holder_name(holder)))
        )
        return LiveHolders(live | {self.holder}, live - wanting, self._eras)

    def send(self, holder: str, message: BudgetMessage) -> None:
        """Send a message to a process, opening a link if there is none."""
        name = get_holder_name(holder)
        link = self._peers.get_link(name, LOANS)
        if link is None:
            now = self._reactor.seconds()
            self._waiting[name].append(_Waiting(message, now))
            self._open(name, now)
        elif self._get_holder(link) == holder and not link.is_blocked:
            link.send(message)

    def publish_seat(self, record: SeatRecord) -> None:
        """Tell all proxies of a seat's object."""
        self._peers.publish(
            GossipItem(SEAT_KIND, str(record.seat), (record.version,), record.holder)
        )

    def publish_era(self, era: int) -> None:
        """Tell all proxies who this process is, and what era its seats are of."""
        version = (self._incarnation, era)
        own = GossipItem(HOLDER_KIND, self._peers.name, version, self.holder)
        self._peers.publish(own)

    def handle_link_opened(self, link: PeerLink) -> None:
        """Send what waited for this link, if it is not too old."""
        now = self._reactor.seconds()
        for waiting in self._waiting.pop(link.peer.name, ()):
            if now - waiting.sent_at <= LONGEST_WAIT:
                link.send(waiting.message)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Hand a budget's message on."""
        if isinstance(message, BudgetMessage):
            self._receive(self._get_holder(link), message)
        else:
            log.warning(
                "connections: %s sent a message that is not for loans", link.peer.name
            )

    def handle_link_writable(self, link: PeerLink) -> None:
        """Do nothing: what could not be sent was dropped."""

    def handle_link_closed(self, link: PeerLink, orderly: bool) -> None:
        """Do nothing: the next message opens a link again."""

    def handle_connect_failure(self, peer: str, purpose: str) -> None:
        """Drop what waited for a link that could not be opened."""
        self._waiting.pop(peer, None)

    def _open(self, name: str, now: float) -> None:
        """Open a link to a member, not more often than once a pause."""
        member = next((m for m in self._peers.members if m.name == name), None)
        is_tried = now - self._opened_at.get(name, float("-inf")) < OPEN_PAUSE
        if member is not None and not is_tried:
            self._opened_at[name] = now
            self._peers.open_link(member, LOANS)

    def _get_holder(self, link: PeerLink) -> str:
        return format_holder(link.peer.name, link.peer.incarnation)

    def _is_live(self, holder: str, members: dict[str, Member]) -> bool:
        name = get_holder_name(holder)
        member = members.get(name)
        latest = self._holders.get(name, "")
        is_latest = get_holder_start(holder) >= get_holder_start(latest)
        is_present = member is not None and member.state in LIVE_STATES
        listed = self._peers.listed
        return is_latest and (is_present or listed is None or name in listed)

    def _learn_holder(self, item: GossipItem) -> None:
        if isinstance(item.value, str):
            self._holders[item.key] = item.value
            self._eras[item.value] = item.version[1] if len(item.version) > 1 else 0

    def _learn_seat(self, item: GossipItem) -> None:
        is_known = item.key.isdecimal() and isinstance(item.value, str)
        if not is_known or len(item.version) != 1:
            log.warning("connections: a peer told of a malformed seat")
            return
        record = SeatRecord(int(item.key), item.version[0], item.value)
        self._seats[record.seat] = record.holder
        self._observe_seats((record,))


def _is_staying(member: Member | None) -> bool:
    """Return whether a member runs and is not leaving."""
    return member is not None and member.state in (JOINED, LISTED)
