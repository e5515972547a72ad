"""The accounts of callers at one instance: keys, quota shares and counts.

Each account's limit holds for the whole fleet. The owner of the account's hash slot
runs its operations with quota shares that the other instances lend to it.
"""

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

REFUSAL_REPORT_PERIOD = 1.0
"""Seconds between two log lines about an account whose operations are refused."""

MAX_REPORTED_ACCOUNTS = 5
"""Accounts that are logged each time, those with the most refusals: all of 10,000
accounts may exceed their limits at once."""

SOURCE = "settings"
"""Source that findings about accounts name."""


class NodeAccounts:
    """The accounts at one instance.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Source of connections and timers.
    settings : NodeSettings
        The settings file of the process.
    directory : RelayDirectory
        Chooses the instance that runs an account's operations.
    rng : random.Random
        Source of jitter.
    probes_owners : bool
        True if an unreachable owner is used again only after it answers a probe;
        False if after a fixed time.
    """

    def __init__(
        self,
        reactor,
        settings: NodeSettings,
        directory: RelayDirectory,
        rng: random.Random,
        probes_owners: bool = True,
    ):
        self._account_index: AccountIndex | None = None
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
        self._refusal_report_loop = LoopingCall(self._report_refusals)
        self._refusal_report_loop.clock = reactor
        directory.set_quota_holder_source(lending.get_holder)
        directory.set_owner_observer(self._task.renew_soon)

    @property
    def port(self) -> LoanBorrowerFactory:
        """The listener that receives the quota shares of other instances."""
        return self._task.port

    def start(self) -> None:
        """Start to probe avoided owners."""
        self._probes.start()

    def get_account_index(self) -> AccountIndex | None:
        """Return the accounts in force, None where callers need no key."""
        return self._account_index

    def set_accounts(
        self, accounts: tuple[AccountSettings, ...] | None
    ) -> list[Finding]:
        """Set all accounts; return the findings about them."""
        if accounts is None:
            self._account_index = None
            return []
        self._account_index, findings = build_account_index(accounts, SOURCE)
        self.quota.drop_removed_accounts()
        self._start()
        return findings

    def set_members(self, peers: tuple[Peer, ...]) -> None:
        """Set the members of the fleet."""
        self._lending.set_members((peer.name for peer in peers), self._seconds())
        self._start()

    def has_answered(self, name: str, since: float) -> bool:
        """Return whether an owner has answered this instance since a time."""
        return self._task.has_answered(name, since)

    def leave(self) -> None:
        """Return borrowed quota shares, so that they are lent to the next owner."""
        self._task.port.leave()

    def stop(self) -> None:
        """Stop lending, probing and reporting."""
        self._task.stop()
        self._probes.stop()
        if self._refusal_report_loop.running:
            self._refusal_report_loop.stop()

    def _report_refusals(self) -> None:
        """Log the accounts with most refusals, their limits and the share used here."""
        refusals = self.quota.take_refusals(self._seconds())
        refusals.sort(key=lambda each: -each.refused)
        for each in refusals[:MAX_REPORTED_ACCOUNTS]:
            log.info(
                "accounts: Account %s exceeds its limit: %d operations refused, %d "
                "run; the fleet's limit is %.1f a second with bursts of %.0f, this "
                "instance's share is %.2f.",
                *each,
            )

    def get_samples(self) -> Iterable[MetricSample]:
        """Return the operations run and refused here by account, and the lenders."""
        for name, counts in self.quota.counts.items():
            labels = format_label("account", name)
            yield "beryltrack_account_operations_total", labels, counts.run
            yield "beryltrack_account_refusals_total", labels, counts.refused
        if self._account_index is not None:
            lenders = len(self.quota.shares.lenders)
            yield "beryltrack_account_lenders", "", lenders

    def _start(self) -> None:
        """Start to lend once there are accounts and the members are known."""
        if self._account_index is not None and self._directory.has_members:
            self._task.start()
            if not self._refusal_report_loop.running:
                self._refusal_report_loop.start(REFUSAL_REPORT_PERIOD, now=False)

    def _get_account(self, name: str) -> AccountSettings | None:
        """Return an account of the settings in force."""
        return (self._account_index or NO_ACCOUNTS).by_name.get(name)

    def _choose_owner(self, slot: int) -> str | None:
        """Return the name of the owner of an account hash slot, None if no accounts."""
        if not self._directory.has_accounts:
            return None
        return self._directory.choose_slot_owner(slot).name

    def _get_endpoint(self, name: str) -> Endpoint | None:
        """Return where an instance receives quota shares."""
        peer = self._directory.get_peer(name)
        return None if peer is None else peer.quota_endpoint
