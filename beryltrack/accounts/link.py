"""The link over which an instance lends its rights to one that owns connections.

Frames of CBOR. The lender says which slots it lends, and the borrower answers that it
has them. A lender sends its next message only when the last one is answered. So when a
message comes, the lender had sent it after the borrower's last answer, and the borrower
counts the loan from that answer: no clocks are compared, and a message that was on its
way for long is no longer loan. The first message of a link lends nothing.
"""

from collections.abc import Callable
from typing import NamedTuple

import cbor2
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from beryltrack.accounts.lending import LOAN_TIME, Offer
from beryltrack.accounts.shares import Loan, QuotaShareLedger
from beryltrack.accounts.slots import ALL_SLOTS

MAX_FRAME_BYTES = 1024
"""Largest frame: a name, a set of slots and three numbers."""

TAKEN = cbor2.dumps(True)
"""The borrower's answer."""

MALFORMED = (cbor2.CBORDecodeError, ValueError, TypeError, KeyError, OverflowError)


class OfferFrame(NamedTuple):
    """What a lender sends.

    Parameters
    ----------
    lender : str
        Its name.
    slots : int
        The set of slots that it lends.
    share : float
        Its part of each limit.
    """

    lender: str
    slots: int
    share: float


def decode_offer(data: bytes) -> OfferFrame:
    """Return what a frame says.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        fields = cbor2.loads(data)
    except MALFORMED as error:
        raise ValueError(f"no offer: {error!r}") from error
    match fields:
        case [str() as lender, int() as slots, float() as share]:
            if lender and 0 <= slots <= ALL_SLOTS and 0.0 <= share <= 1.0:
                return OfferFrame(lender, slots, share)
    raise ValueError("an offer is malformed")


class LoanBorrower(Int32StringReceiver):
    """The borrower's side of a link.

    `answered_at` is when it last answered, by the node's clock; None before.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self):
        self.answered_at: float | None = None
        self._lender = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Keep the link."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take an offer and answer it."""
        try:
            frame = decode_offer(string)
        except ValueError:
            self.transport.abortConnection()
            return
        self._lender = frame.lender
        self.answered_at = self.factory.take(self, frame)
        self.sendString(TAKEN)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Give back what was lent over this link."""
        self.factory.lose(self, self._lender)


class LoanBorrowerFactory(Factory):
    """Takes the links of lenders.

    Parameters
    ----------
    shares : RightsLedger
        Keeps what they lend.
    seconds : callable
        The node's time.
    """

    noisy = False
    protocol = LoanBorrower

    def __init__(self, shares: QuotaShareLedger, seconds: Callable[[], float]):
        self._shares = shares
        self._seconds = seconds
        self._links: dict[str, LoanBorrower] = {}
        self._is_leaving = False

    def buildProtocol(self, addr) -> LoanBorrower | None:  # noqa: N802
        """Return a link; none once this instance leaves, as it is to be passed over."""
        return None if self._is_leaving else super().buildProtocol(addr)

    def leave(self) -> None:
        """Give back all that was lent, and take no more."""
        self._is_leaving = True
        for link in tuple(self._links.values()):
            link.transport.loseConnection()

    def take(self, link: LoanBorrower, frame: OfferFrame) -> float:
        """Take an offer; return the time at which it is answered."""
        now = self._seconds()
        if self._is_leaving:
            link.transport.loseConnection()
        elif link.answered_at is not None:
            self._links[frame.lender] = link
            until = link.answered_at + LOAN_TIME
            self._shares.set_loan(
                frame.lender, Loan(frame.slots, frame.share, until), now
            )
        return now

    def lose(self, link: LoanBorrower, lender: str) -> None:
        """Give back what an instance lent, unless it lends over another link now."""
        if self._links.get(lender) is link:
            del self._links[lender]
            self._shares.drop_loan(lender, self._seconds())


class LoanLender(Int32StringReceiver):
    """The lender's side of a link.

    `is_new` is True until the first message is answered. `is_over` fires once the link
    has ended: with True if the other side ended it, and so has nothing any more, with
    False if this side gave it up.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self):
        self.is_new = True
        self.is_over: Deferred[bool] = Deferred()
        self._answer: Deferred[None] | None = None
        self._is_given_up = False

    @property
    def is_waiting(self) -> bool:
        """True while a message is not answered."""
        return self._answer is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Keep the link."""
        self.transport.setTcpNoDelay(True)

    def tell(self, lender: str, offer: Offer) -> Deferred[None]:
        """Send an offer; fires when the borrower has it."""
        self._answer = Deferred()
        self.sendString(cbor2.dumps([lender, offer.slots, offer.share]))
        return self._answer

    def give_up(self) -> None:
        """End the link; what was lent over it lasts until its end."""
        self._is_given_up = True
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take an answer."""
        if string != TAKEN or self._answer is None:
            self.give_up()
            return
        self.is_new = False
        answer, self._answer = self._answer, None
        answer.callback(None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell that the link has ended."""
        self.is_over.callback(not self._is_given_up)
