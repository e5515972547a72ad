"""How often a lender opens links to an owner that closes them, in simulated time."""

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
    """An open connection."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


class Lender:
    """An instance that lends to the one owner of all accounts."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        lending = LendingDecider(lambda slot: "owner", 0.0, True)
        lending.set_members(("own", "owner"), 0.0)
        endpoint = Endpoint("10.0.0.1", 3)
        self.task = LendingTask(
            self.reactor,
            "own",
            QuotaDecider(lambda name: None),
            lending,
            lambda name: endpoint,
            self.reactor.seconds,
            random.Random(1),
        )
        self.task.start()

    @property
    def opened(self):
        return len(self.reactor.tcpClients)

    def accept_link(self):
        """Accept the last link on the owner's side; return the lender's end."""
        link = self.reactor.tcpClients[-1][2].buildProtocol(None)
        link.makeConnection(Wire())
        return link

    def answer(self, link):
        """Have the owner answer the first offer."""
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


def test_an_owner_that_closes_each_link_at_once_is_retried_once_a_tick(lender):
    """For example the only owner while it leaves: there is no other one to lend to."""
    ended = 0
    for _ in range(round(10 * RENEW_PERIOD / STEP)):
        if lender.opened > ended:
            ended += 1
            end(lender.accept_link())
        lender.reactor.advance(STEP)
    assert 9 <= lender.opened <= 12


def test_after_the_end_of_an_answered_link_the_next_one_is_opened_at_once(lender):
    link = lender.accept_link()
    lender.answer(link)
    end(link)
    lender.reactor.advance(CHANGE_DELAY)
    assert lender.opened == 2
