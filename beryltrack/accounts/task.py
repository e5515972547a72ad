"""Lends this instance's rights, and keeps what others lend to it."""

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
"""Seconds until a link counts as out of reach; it is answered in 1 to 4 ms."""

ANSWER_TIMEOUT = 0.8
"""Seconds without an answer after which a link is given up: two messages' time, and
less than a loan lasts, so that a new link can renew it."""

LATE = 0.2
"""Seconds by which a turn is late in a process that was held up. The answers that came
meanwhile are read after it, so that no link is judged by their absence."""

CHANGE_DELAY = 0.02
"""Seconds after a change of the owners until all are told: changes come together."""

GetEndpoint = Callable[[str], Endpoint | None]


class _Link:
    """A link to one owner, open or being opened."""

    def __init__(self, since: float):
        self.lender: LoanLender | None = None
        self.since = since


class LendingTask:
    """Lends rights over links to owners, and takes those of others.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    name : str
        Name of this instance.
    quota : QuotaDecider
        Counts by the rights that this instance has.
    lending : LendingDecider
        Says to whom which rights go.
    get_endpoint : callable
        Returns where an instance takes links, None if it takes none.
    seconds : callable
        The node's time.
    rng : random.Random
        Source of jitter.
    observe_lost : callable
        Called with the name of an owner that has ended its link, was killed, leaves, or
        does not answer. The next one is used at once then by this instance, also where
        it has no request that would fail: the owner needs the parts of all.
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
        observe_lost: Callable[[str], object] = lambda name: None,
    ):
        self._observe_lost = observe_lost
        self.port = LoanBorrowerFactory(quota.shares, seconds)
        self._reactor = reactor
        self._name = name
        self._shares = quota.shares
        self._lending = lending
        self._get_endpoint = get_endpoint
        self._seconds = seconds
        self._rng = rng
        self._links: dict[str, _Link] = {}
        self._heard_at: dict[str, float] = {}
        self._timer = None
        self._is_running = False

    def start(self) -> None:
        """Lend from now on."""
        if not self._is_running:
            self._is_running = True
            self._tick()

    def stop(self) -> None:
        """Lend no more; what was lent ends."""
        self._is_running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for link in self._links.values():
            if link.lender is not None:
                link.lender.give_up()

    def has_answered(self, name: str, since: float) -> bool:
        """Return whether an owner has answered on its link since a time."""
        return self._heard_at.get(name, -math.inf) > since

    def renew_soon(self) -> None:
        """Tell owners soon: who they are has changed."""
        if self._is_running:
            self._timer.reset(
                min(CHANGE_DELAY, max(0.0, self._timer.getTime() - self._now))
            )

    @property
    def _now(self) -> float:
        return self._reactor.seconds()

    def _tick(self) -> None:
        """Tell each owner what it has."""
        is_late = self._timer is not None and self._now - self._timer.getTime() > LATE
        period = RENEW_PERIOD * self._rng.uniform(0.9, 1.1)
        self._timer = self._reactor.callLater(period, self._tick)
        now = self._seconds()
        if not is_late:
            self._judge_links(now)
        for name, offer in self._lending.plan(now).items():
            if name == self._name:
                self._keep(offer, now)
            else:
                self._tell(name, offer, now)

    def _keep(self, offer: Offer, now: float) -> None:
        """Take this instance's own part for itself."""
        self._lending.observe_sent(self._name, offer, now)
        self._shares.set_loan(
            self._name, Loan(offer.slots, offer.share, now + LOAN_TIME), now
        )
        self._lending.observe_accepted(self._name, offer)

    def _tell(self, name: str, offer: Offer, now: float) -> None:
        """Send an offer, over a new link if there is none."""
        link = self._links.get(name)
        if link is None:
            self._open(name, now)
        elif link.lender is not None and not link.lender.is_waiting:
            self._send(name, link, offer, now)

    def _judge_links(self, now: float) -> None:
        """Give up the links over which an answer is overdue, and their owners."""
        for name, link in tuple(self._links.items()):
            is_waiting = link.lender is not None and link.lender.is_waiting
            if is_waiting and now - link.since > ANSWER_TIMEOUT:
                log.warning("accounts: %s does not answer, others are asked.", name)
                link.lender.give_up()
                self._observe_lost(name)

    def _send(self, name: str, link: _Link, offer: Offer, now: float) -> None:
        """Send an offer over an open link."""
        link.since = now
        if link.lender.is_new:
            # It lends nothing: the borrower has no answer yet to count from.
            link.lender.tell(self._name, Offer(0, 0.0)).addCallback(
                lambda _: self._observe_first(name)
            )
            return
        self._lending.observe_sent(name, offer, now)
        link.lender.tell(self._name, offer).addCallback(
            lambda _: self._observe_taken(name, offer)
        )

    def _observe_taken(self, name: str, offer: Offer) -> None:
        """Take in that an owner has an offer."""
        self._heard_at[name] = self._seconds()
        if self._lending.observe_accepted(name, offer):
            self.renew_soon()

    def _observe_first(self, name: str) -> None:
        """Take in that a link works: what it is for can be lent now."""
        self._heard_at[name] = self._seconds()
        self.renew_soon()

    def _open(self, name: str, now: float) -> None:
        """Open a link to an owner."""
        place = self._get_endpoint(name)
        if place is None:
            return
        link = self._links[name] = _Link(now)
        endpoint = TCP4ClientEndpoint(
            self._reactor, place.host, place.port, CONNECT_TIMEOUT
        )
        connecting = connectProtocol(endpoint, LoanLender())
        connecting.addCallbacks(
            self._begin, self._fail, callbackArgs=(name, link), errbackArgs=(name,)
        )

    def _begin(self, lender: LoanLender, name: str, link: _Link) -> None:
        """Use a link that is open."""
        link.lender = lender
        lender.is_over.addCallback(self._end, name)
        if not self._is_running:
            lender.give_up()
            return
        self._send(name, link, Offer(0, 0.0), self._seconds())

    def _fail(self, failure, name: str) -> None:
        """Go on with the next owner: one could not be reached."""
        del self._links[name]
        if failure.check(ConnectionRefusedError):
            # Its process has ended, and nothing that was lent to it is left.
            self._lending.observe_ended(name)
        log.info("accounts: No link to %s: %s", name, failure.getErrorMessage())
        self._observe_lost(name)

    def _end(self, is_given_back: bool, name: str) -> None:
        """Take in that a link has ended."""
        link = self._links.pop(name)
        if is_given_back and self._is_running:
            log.info("accounts: %s has ended its link.", name)
            self._lending.observe_ended(name)
            self._observe_lost(name)
        if not link.lender.is_new:
            # One that takes links and ends them unanswered is asked once a turn.
            self.renew_soon()
