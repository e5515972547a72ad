"""Lends this instance's quota shares to owners and borrows those of others."""

import logging
import math
import random
from collections.abc import Callable

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionRefusedError

from beryltrack.accounts.lending import (
    LOAN_TIME,
    RENEW_PERIOD,
    LendingDecider,
    Offer,
)
from beryltrack.accounts.link import LoanBorrowerFactory, LoanLender
from beryltrack.accounts.quota import QuotaDecider
from beryltrack.accounts.shares import Loan
from beryltrack.settings.messages import Endpoint

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.5
"""Seconds to connect a link before its owner counts as unreachable; a reachable one
answers in 1 to 4 ms."""

ANSWER_TIMEOUT = 0.8
"""Seconds without an answer after which a link is aborted: about two renewal periods,
and less than a loan lasts, so that a new link can renew the loan in time."""

MAX_TICK_DELAY = 0.2
"""Seconds of delay after which a tick shows that the process was stalled. Answers
that arrived meanwhile are read only after the tick, so it does not check for overdue
ones."""

CHANGE_DELAY = 0.02
"""Seconds from a change of the owners to the offers that follow from it, so that
changes are combined."""

GetEndpoint = Callable[[str], Endpoint | None]


class _Link:
    """A link to one owner, open or being opened.

    `since` is when it began to open, or when its last offer was sent.
    """

    def __init__(self, since: float):
        self.lender: LoanLender | None = None
        self.since = since


class LendingTask:
    """Lends quota shares over links to owners, and accepts those of others.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        Name of this instance.
    quota : QuotaDecider
        Counts operations by the shares that this instance holds.
    lending : LendingDecider
        Decides which slots are lent to which instance.
    get_endpoint : callable
        Returns the endpoint where an instance accepts links, None if it accepts none.
    seconds : callable
        The instance's monotonic clock.
    rng : random.Random
        Source of jitter.
    on_owner_lost : callable
        Called with the name of an owner that closed its link, was killed, leaves, or
        does not answer, so that this instance uses the next owner at once. This holds
        also without requests that would fail, as the next owner needs the shares of all
        instances.
    """

    def __init__(
        self,
        reactor,
        name: str,
        quota: QuotaDecider,
        lending: LendingDecider,
        get_endpoint: GetEndpoint,
        seconds: Callable[[], float],
        rng: random.Random,
        on_owner_lost: Callable[[str], object] = lambda name: None,
    ):
        self._on_owner_lost = on_owner_lost
        self.port = LoanBorrowerFactory(quota.shares, seconds)
        self._reactor = reactor
        self._name = name
        self._shares = quota.shares
        self._lending = lending
        self._get_endpoint = get_endpoint
        self._seconds = seconds
        self._rng = rng
        self._links: dict[str, _Link] = {}
        self._answered_at: dict[str, float] = {}
        self._timer = None
        self._is_running = False

    def start(self) -> None:
        """Start to lend."""
        if not self._is_running:
            self._is_running = True
            self._tick()

    def stop(self) -> None:
        """Stop lending and abort all links; the loans expire."""
        self._is_running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for link in self._links.values():
            if link.lender is not None:
                link.lender.abort()

    def has_answered(self, name: str, since: float) -> bool:
        """Return whether an owner has answered on its link after `since`."""
        return self._answered_at.get(name, -math.inf) > since

    def renew_soon(self) -> None:
        """Send offers within `CHANGE_DELAY`, as the choice of owners has changed."""
        if self._is_running:
            self._timer.reset(
                min(CHANGE_DELAY, max(0.0, self._timer.getTime() - self._now))
            )

    @property
    def _now(self) -> float:
        return self._reactor.seconds()

    def _tick(self) -> None:
        """Send the offers that are due; schedule the next tick."""
        is_late = (
            self._timer is not None
            and self._now - self._timer.getTime() > MAX_TICK_DELAY
        )
        period = RENEW_PERIOD * self._rng.uniform(0.9, 1.1)
        self._timer = self._reactor.callLater(period, self._tick)
        now = self._seconds()
        if not is_late:
            self._abort_overdue_links(now)
        for name, offer in self._lending.plan(now).items():
            if name == self._name:
                self._lend_to_self(offer, now)
            else:
                self._send_or_open(name, offer, now)

    def _lend_to_self(self, offer: Offer, now: float) -> None:
        """Lend this instance's share to itself."""
        self._lending.observe_sent(self._name, offer, now)
        self._shares.set_loan(
            self._name, Loan(offer.slots, offer.share, now + LOAN_TIME), now
        )
        self._lending.observe_accepted(self._name, offer)

    def _send_or_open(self, name: str, offer: Offer, now: float) -> None:
        """Send an offer, or open a link if there is none."""
        link = self._links.get(name)
        if link is None:
            self._open(name, now)
        elif link.lender is not None and not link.lender.is_waiting:
            self._send(name, link, offer, now)

    def _abort_overdue_links(self, now: float) -> None:
        """Abort the links with an overdue answer, and report their owners as lost."""
        for name, link in tuple(self._links.items()):
            is_waiting = link.lender is not None and link.lender.is_waiting
            if is_waiting and now - link.since > ANSWER_TIMEOUT:
                log.warning(
                    "accounts: owner %s did not answer an offer within %.1f s; lending"
                    " to the next owner.",
                    name,
                    ANSWER_TIMEOUT,
                )
                link.lender.abort()
                self._on_owner_lost(name)

    def _send(self, name: str, link: _Link, offer: Offer, now: float) -> None:
        """Send an offer over an open link."""
        link.since = now
        if link.lender.is_unanswered:
            # The first offer lends nothing: a loan counts from the borrower's last
            # answer.
            link.lender.send_offer(self._name, Offer(0, 0.0)).addCallback(
                lambda _: self._handle_first_answer(name)
            )
            return
        self._lending.observe_sent(name, offer, now)
        link.lender.send_offer(self._name, offer).addCallback(
            lambda _: self._handle_accepted(name, offer)
        )

    def _handle_accepted(self, name: str, offer: Offer) -> None:
        """Record that an owner accepted an offer."""
        self._answered_at[name] = self._seconds()
        if self._lending.observe_accepted(name, offer):
            self.renew_soon()

    def _handle_first_answer(self, name: str) -> None:
        """Record the first answer on a link: loans can be made over it now."""
        self._answered_at[name] = self._seconds()
        self.renew_soon()

    def _open(self, name: str, now: float) -> None:
        """Open a link to an owner."""
        owner_endpoint = self._get_endpoint(name)
        if owner_endpoint is None:
            return
        link = self._links[name] = _Link(now)
        endpoint = TCP4ClientEndpoint(
            self._reactor, owner_endpoint.host, owner_endpoint.port, CONNECT_TIMEOUT
        )
        connecting = connectProtocol(endpoint, LoanLender())
        connecting.addCallbacks(
            self._handle_connected,
            self._handle_connect_failure,
            callbackArgs=(name, link),
            errbackArgs=(name,),
        )

    def _handle_connected(self, lender: LoanLender, name: str, link: _Link) -> None:
        """Send the first offer over an open link."""
        link.lender = lender
        lender.ended.addCallback(self._handle_end, name)
        if not self._is_running:
            lender.abort()
            return
        self._send(name, link, Offer(0, 0.0), self._seconds())

    def _handle_connect_failure(self, failure, name: str) -> None:
        """Report an owner that cannot be reached as lost."""
        del self._links[name]
        if failure.check(ConnectionRefusedError):
            # A refused connection shows that its process has ended, and its loans too.
            self._lending.observe_ended(name)
        log.info(
            "accounts: cannot connect to owner %s: %s; lending to the next owner.",
            name,
            failure.getErrorMessage(),
        )
        self._on_owner_lost(name)

    def _handle_end(self, is_returned: bool, name: str) -> None:
        """Handle the end of a link; `is_returned` is True if the owner closed it."""
        link = self._links.pop(name)
        if is_returned and self._is_running:
            log.info(
                "accounts: owner %s closed its link; lending to the next owner.", name
            )
            self._lending.observe_ended(name)
            self._on_owner_lost(name)
        if not link.lender.is_unanswered:
            # An owner that closes links unanswered is retried only once a tick.
            self.renew_soon()
