"""An instance's part in the accounts of the fleet: their keys, rights and counts."""

import logging
import random
from collections.abc import Iterable

from twisted.internet.task import LoopingCall

from beryltrack.accounts.index import NO_ACCOUNTS, AccountIndex, build_account_index
from beryltrack.accounts.lending import LendingDecider
from beryltrack.accounts.link import LoanBorrowerFactory
from beryltrack.accounts.messages import AccountSettings
from beryltrack.accounts.quota import QuotaDecider
from beryltrack.accounts.task import LendingTask
from beryltrack.clock import get_monotonic_clock
from beryltrack.findings import Finding
from beryltrack.metrics.messages import MetricSample, format_label
from beryltrack.relay.directory import RelayDirectory
from beryltrack.relay.owners import Peer
from beryltrack.relay.probes import ProbeTask
from beryltrack.settings.messages import Endpoint
from beryltrack.settings.node import NodeSettings

log = logging.getLogger(__name__)

TELL_PERIOD = 1.0
"""Seconds between two lines about an account of which operations are refused."""

MOST_TOLD = 5
"""Accounts that a line is written of each time, those with most refusals: all of 10,000
accounts could be over their limits together."""

SOURCE = "settings"
"""What findings about accounts name as their place."""


class NodeAccounts:
    """The accounts as one instance knows them.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    settings : NodeSettings
        What the settings file of the process says.
    directory : RelayDirectory
        Says which instance runs an account's operations.
    rng : random.Random
        Source of jitter.
    probes_owners : bool
        False if an owner that was out of reach is asked again after a while.
    """

    def __init__(
        self,
        reactor,
        settings: NodeSettings,
        directory: RelayDirectory,
        rng: random.Random,
        probes_owners: bool = True,
    ):
        self._book: AccountIndex | None = None
        self._directory = directory
        self._seconds = get_monotonic_clock(reactor)
        self.quota = QuotaDecider(self._get_account, settings.tolerance)
        lending = LendingDecider(
            self._choose_owner, self._seconds(), settings.is_first_start
        )
        self._lending = lending
        self._task = LendingTask(
            reactor,
            settings.name,
            self.quota,
            lending,
            self._get_endpoint,
            self._seconds,
            rng,
            directory.avoid,
        )
        self._probes = ProbeTask(
            reactor,
            settings.name,
            directory,
            probes_owners,
        )
        self._telling = LoopingCall(self._tell_refusals)
        self._telling.clock = reactor
        directory.set_quota_holder_source(lending.get_holder)
        directory.set_owner_observer(self._task.renew_soon)

    @property
    def port(self) -> LoanBorrowerFactory:
        """What takes the rights of other instances."""
        return self._task.port

    def start(self) -> None:
        """Begin to probe owners that are passed over."""
        self._probes.start()

    def get_account_index(self) -> AccountIndex | None:
        """Return the accounts in force, None where callers need no key."""
        return self._book

    def set_accounts(
        self, accounts: tuple[AccountSettings, ...] | None
    ) -> list[Finding]:
        """Take in all accounts; return what is wrong with them."""
        if accounts is None:
            self._book = None
            return []
        self._book, findings = build_account_index(accounts, SOURCE)
        self.quota.drop_removed_accounts()
        self._start()
        return findings

    def set_members(self, peers: tuple[Peer, ...]) -> None:
        """Take in which instances there are."""
        self._lending.set_members((peer.name for peer in peers), self._seconds())
        self._start()

    def has_answered(self, name: str, since: float) -> bool:
        """Return whether an owner has answered this instance since a time."""
        return self._task.has_answered(name, since)

    def leave(self) -> None:
        """Give back what others have lent, so that they lend it to the next owner."""
        self._task.port.leave()

    def stop(self) -> None:
        """Lend no more."""
        self._task.stop()
        self._probes.stop()
        if self._telling.running:
            self._telling.stop()

    def _tell_refusals(self) -> None:
        """Log of which accounts operations were refused, and what that rested on."""
        refusals = self.quota.take_refusals(self._seconds())
        refusals.sort(key=lambda each: -each.refused)
        for each in refusals[:MOST_TOLD]:
            log.info(
                "accounts: %s is over its limit: %d refused, %d run; %.1f a second and "
                "%.0f at once in the fleet, %.2f of that here.",
                *each,
            )

    def get_samples(self) -> Iterable[MetricSample]:
        """Return how many operations ran and were refused here, by account."""
        for name, counts in self.quota.counts.items():
            labels = format_label("account", name)
            yield "beryltrack_account_operations_total", labels, counts.run
            yield "beryltrack_account_refusals_total", labels, counts.refused
        if self._book is not None:
            lenders = len(self.quota.shares.lenders)
            yield "beryltrack_account_lenders", "", lenders

    def _start(self) -> None:
        """Lend once there are accounts and the members are known."""
        if self._book is not None and self._directory.has_members:
            self._task.start()
            if not self._telling.running:
                self._telling.start(TELL_PERIOD, now=False)

    def _get_account(self, name: str) -> AccountSettings | None:
        """Return an account of the settings in force."""
        return (self._book or NO_ACCOUNTS).by_name.get(name)

    def _choose_owner(self, slot: int) -> str | None:
        """Return the name of the instance that is to run a slot's accounts."""
        if not self._directory.has_accounts:
            return None
        return self._directory.choose_slot_owner(slot).name

    def _get_endpoint(self, name: str) -> Endpoint | None:
        """Return where an instance takes rights."""
        peer = self._directory.get_peer(name)
        return None if peer is None else peer.quota_endpoint
