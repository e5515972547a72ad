"""How often an instance opens its links to owners, in simulated time."""

import random

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from beryltrack.accounts.lending import RENEW_PERIOD, LendingDecider
from beryltrack.accounts.link import LoanBorrowerFactory
from beryltrack.accounts.quota import QuotaDecider
from beryltrack.accounts.shares import QuotaShareLedger
from beryltrack.accounts.task import CHANGE_DELAY, LendingTask
from beryltrack.settings.messages import Endpoint

STEP = 0.005


class Wire(StringTransport):
    """A connection that is open."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class Lender:
    """An instance that lends to the only owner of all accounts."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        lending = LendingDecider(lambda slot: "owner", 0.0, True)
        lending.set_members(("own", "owner"), 0.0)
        place = Endpoint("10.0.0.1", 3)
        self.task = LendingTask(
            self.reactor,
            "own",
            QuotaDecider(lambda name: None),
            lending,
            lambda name: place,
            self.reactor.seconds,
            random.Random(1),
        )
        self.task.start()

    @property
    def opened(self):
        return len(self.reactor.tcpClients)

    def take_link(self):
        """Have the owner's side take the last link; return this side's end."""
        link = self.reactor.tcpClients[-1][2].buildProtocol(None)
        link.makeConnection(Wire())
        return link

    def answer(self, link):
        """Have the owner answer the first message."""
        far = LoanBorrowerFactory(
            QuotaShareLedger(), self.reactor.seconds
        ).buildProtocol(None)
        far.makeConnection(Wire())
        far.dataReceived(link.transport.value())
        link.dataReceived(far.transport.value())


@pytest.fixture
def lender():
    return Lender()


def end(link):
    link.connectionLost(Failure(ConnectionDone()))


def test_an_owner_that_ends_each_link_at_once_is_asked_once_a_turn(lender):
    """One that leaves and is the only owner: there is no other to go on with."""
    ended = 0
    for _ in range(round(10 * RENEW_PERIOD / STEP)):
        if lender.opened > ended:
            ended += 1
            end(lender.take_link())
        lender.reactor.advance(STEP)
    assert 9 <= lender.opened <= 12


def test_after_a_link_that_was_answered_the_next_one_is_opened_at_once(lender):
    link = lender.take_link()
    lender.answer(link)
    end(link)
    lender.reactor.advance(CHANGE_DELAY)
    assert lender.opened == 2
