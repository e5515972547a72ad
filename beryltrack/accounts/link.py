"""The connection over which an instance lends its quota shares to an owner.

Messages are length-prefixed frames of CBOR. The lender sends which slots it lends, and
the borrower acknowledges them. A lender sends its next offer only after the previous
one is answered. So an offer that arrives was sent after the borrower's previous answer,
and the borrower counts the loan from that answer: no clocks are compared, and a delayed
offer does not lengthen a loan. The first offer of a link lends nothing.
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
"""Maximum bytes of a frame: a name, a set of slots and three numbers."""

ACCEPTED = cbor2.dumps(True)
"""The borrower's answer: it has accepted the offer."""

_DECODE_ERRORS = (cbor2.CBORDecodeError, ValueError, TypeError, KeyError, OverflowError)


class OfferFrame(NamedTuple):
    """The fields of an offer, in their order on the wire.

    Parameters
    ----------
    lender : str
        The lender's name.
    slots : int
        The set of slots that it lends.
    share : float
        The lender's share of each limit, from 0 to 1.
    """

    lender: str
    slots: int
    share: float


def decode_offer(data: bytes) -> OfferFrame:
    """Decode an offer.

    Raises
    ------
    ValueError
        If the frame is malformed.
    """
    try:
        fields = cbor2.loads(data)
    except _DECODE_ERRORS as error:
        raise ValueError(f"malformed offer: {error!r}") from error
    match fields:
        case [str() as lender, int() as slots, float() as share]:
            if lender and 0 <= slots <= ALL_SLOTS and 0.0 <= share <= 1.0:
                return OfferFrame(lender, slots, share)
    raise ValueError("malformed offer: a field has a wrong type or is out of range")


class LoanBorrower(Int32StringReceiver):
    """The borrower's side of a link.

    Attributes
    ----------
    answered_at : float or None
        When it last answered, by the instance's monotonic clock; None before.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self):
        self.answered_at: float | None = None
        self._lender = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm on the new link."""
        self.transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle an offer and answer it; abort the link if it is malformed."""
        try:
            frame = decode_offer(string)
        except ValueError:
            self.transport.abortConnection()
            return
        self._lender = frame.lender
        self.answered_at = self.factory.accept_offer(self, frame)
        self.sendString(ACCEPTED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Drop the loan of this link."""
        self.factory.drop_link(self, self._lender)


class LoanBorrowerFactory(Factory):
    """Accepts the links of lenders.

    Parameters
    ----------
    shares : QuotaShareLedger
        Holds their loans.
    seconds : callable
        The instance's monotonic clock.
    """

    noisy = False
    protocol = LoanBorrower

    def __init__(self, shares: QuotaShareLedger, seconds: Callable[[], float]):
        self._shares = shares
        self._seconds = seconds
        self._links: dict[str, LoanBorrower] = {}
        self._is_leaving = False

    def buildProtocol(self, addr) -> LoanBorrower | None:  # noqa: N802
        """Return a link; None, which closes the connection, while leaving."""
        return None if self._is_leaving else super().buildProtocol(addr)

    def leave(self) -> None:
        """Return all loans by closing their links, and accept no new links."""
        self._is_leaving = True
        for link in tuple(self._links.values()):
            link.transport.loseConnection()

    def accept_offer(self, link: LoanBorrower, frame: OfferFrame) -> float:
        """Apply an offer; return the time of the answer by the instance's clock."""
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

    def drop_link(self, link: LoanBorrower, lender: str) -> None:
        """Drop a lender's loan, unless it lends over another link now."""
        if self._links.get(lender) is link:
            del self._links[lender]
            self._shares.drop_loan(lender, self._seconds())


class LoanLender(Int32StringReceiver):
    """The lender's side of a link.

    Attributes
    ----------
    is_unanswered : bool
        True until the first offer is answered.
    ended : Deferred of bool
        Fires once the link is closed: with True if the borrower closed it, and so holds
        no loan any more, with False if this side aborted it.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self):
        self.is_unanswered = True
        self.ended: Deferred[bool] = Deferred()
        self._answer: Deferred[None] | None = None
        self._is_aborted = False

    @property
    def is_waiting(self) -> bool:
        """True while an offer is not answered."""
        return self._answer is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm on the new link."""
        self.transport.setTcpNoDelay(True)

    def send_offer(self, lender: str, offer: Offer) -> Deferred[None]:
        """Send an offer; the result fires when the borrower has accepted it."""
        self._answer = Deferred()
        self.sendString(cbor2.dumps([lender, offer.slots, offer.share]))
        return self._answer

    def abort(self) -> None:
        """Abort the link; loans made over it last until they expire."""
        self._is_aborted = True
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle an answer; abort the link on an unexpected one."""
        if string != ACCEPTED or self._answer is None:
            self.abort()
            return
        self.is_unanswered = False
        answer, self._answer = self._answer, None
        answer.callback(None)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire `ended`."""
        self.ended.callback(not self._is_aborted)
