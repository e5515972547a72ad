"""A fake database: a `ReplicaLog`, replication over the fake network, statements.

A write appends one log entry with the keys of its statements, so that lost and
duplicated writes can be counted in the last primary's log. A read returns the
visible keys and the applied position.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from beryltrack.groups.adapter import PromoteReply, StatusWait
from beryltrack.groups.messages import (
    PRIMARY,
    DatabaseStatus,
    GrantReply,
    LogPosition,
)
from beryltrack_bench.deployment import ReplicationModel
from beryltrack_bench.fakes.network import Network
from beryltrack_bench.fakes.nodes import Node
from beryltrack_bench.history import (
    Event,
    Executed,
    Promoted,
    TargetLeft,
    TargetReturned,
    WorkStarted,
)
from beryltrack_standins.database.replica_log import ReplicaLog

STOPPED_WRITES_LIMIT = 2.0
"""Seconds after which a primary that stopped writes accepts them again."""


class WriteRefused(Exception):
    """SQLSTATE 25006: the database accepts no writes; this one did not run."""


class ReadResult(NamedTuple):
    """The result of a read.

    Parameters
    ----------
    keys : tuple of str
        Keys of the visible writes, oldest first.
    position : LogPosition
        The applied position at which the read ran.
    """

    keys: tuple[str, ...]
    position: LogPosition


class _Waiter(NamedTuple):
    """A long poll that waits for the status to change."""

    wait: StatusWait
    leaving: bool
    answer: Deferred


class FakeDatabase:
    """One database of a fake group.

    Parameters
    ----------
    node : Node
        The node that it runs on.
    network : Network
        The site's links.
    model : ReplicationModel
        Replication speed.
    rng : Random
        Source of the apply lag.
    group : str
        Name of its group, for the history.
    record : callable
        Called with each event for the history.
    """

    def __init__(
        self,
        node: Node,
        network: Network,
        model: ReplicationModel,
        rng: Random,
        group: str = "",
        record: Callable[[Event], None] = lambda event: None,
    ):
        self.node = node
        self.name = node.name
        self.log = ReplicaLog(node.name)
        self.peers: tuple[FakeDatabase, ...] = ()
        self.lag_until = 0.0
        self.service_time = 0.0
        self._network = network
        self._model = model
        self._rng = rng
        self._group = group
        self._record = record
        self._waiters: list[_Waiter] = []
        self._is_applying = False

    def start(self) -> None:
        """Start the primary's heartbeats, also after a restart."""
        self._is_applying = False
        self._waiters = []
        self._tick()

    def get_status(self) -> DatabaseStatus:
        """Return the status that the database reports."""
        return self.log.get_status(self.node.seconds())

    def wait_status(self, wait: StatusWait, timeout: float) -> Deferred:
        """Return the status as soon as it differs from what the proxy knows.

        Parameters
        ----------
        wait : StatusWait
            The conditions that end the wait, besides a change of the leaving flag.
        timeout : float
            Seconds after which the status is returned unconditionally.
        """
        waiter = _Waiter(wait, self.log.leaving, Deferred())
        if self._is_ready(waiter):
            waiter.answer.callback(self.get_status())
            return waiter.answer
        self._waiters.append(waiter)
        self.node.schedule(timeout, lambda: self._answer([waiter]), None)
        return waiter.answer

    def grant(self, term: int, candidate: str, lost_after: float) -> GrantReply:
        """Promise a term to a candidate; see `ReplicaLog.grant`."""
        reply = self.log.grant(term, candidate, lost_after, self.node.seconds())
        self._notify()
        return reply

    def promote(self, term: int, candidate: str) -> PromoteReply:
        """Lead a granted term; see `ReplicaLog.promote`."""
        was_primary = self.log.role == PRIMARY
        promoted = self.log.promote(term, candidate)
        if promoted:
            self._replicate()
        if promoted and not was_primary:
            now = self.node.seconds()
            self._record(Promoted(self._group, term, frozenset(self.get_keys()), now))
        self._notify()
        return PromoteReply(promoted, self.get_status())

    def stop_writes(self, term: int) -> DatabaseStatus:
        """Stop writes for `STOPPED_WRITES_LIMIT` if this is the term's primary."""
        if self.log.term == term and self.log.can_write():
            self.log.stopped_writes = True
            self.node.schedule(
                STOPPED_WRITES_LIMIT, lambda: self._resume_writes(term), None
            )
        return self.get_status()

    def set_leaving(self, leaving: bool) -> None:
        """Set whether the database announces that it is leaving."""
        self.log.leaving = leaving
        event = TargetLeft if leaving else TargetReturned
        self._record(event(self.name, self.node.seconds()))
        self._notify()

    def write(self, *keys: str, at_most_once: bool = False) -> Deferred:
        """Commit one write transaction.

        Parameters
        ----------
        *keys : str
            One key for each statement.
        at_most_once : bool
            True if a repeat must have no effect, as with the ledger's row.

        Returns
        -------
        Deferred
            The `LogPosition` of the commit; fails with `WriteRefused`.
        """
        return self._run(lambda: self._commit(keys, at_most_once))

    def read(self) -> Deferred:
        """Return a Deferred of a `ReadResult`."""
        return self._run(lambda: ReadResult(self.get_keys(), self.log.applied))

    def get_keys(self) -> tuple[str, ...]:
        """Return the keys of all applied writes, oldest first."""
        entries = self.log.entries[: self.log.applied_offset]
        return tuple(key for entry in entries for key in entry.statements)

    def _run(self, run: Callable[[], object]) -> Deferred:
        """Run a statement after its service time."""
        self._record(WorkStarted(self.name, self.node.seconds()))
        answer = Deferred()
        self.node.schedule(self.service_time, lambda: answer.callback(None), None)
        return answer.addCallback(lambda ignored: run())

    def _commit(self, keys: tuple[str, ...], at_most_once: bool) -> LogPosition:
        """Append a write to the log and send it to the replicas."""
        if not self.log.can_write():
            raise WriteRefused(f"{self.name} takes no writes")
        if at_most_once and (known := self._find_existing(keys)):
            return known
        position = self.log.append(keys)
        self._record(Executed(self._group, keys, self.node.seconds()))
        self.log.applied_offset = position.offset
        self._replicate()
        self._notify()
        return position

    def _find_existing(self, keys: tuple[str, ...]) -> LogPosition | None:
        """Return the position of an earlier commit of the same keys, if any."""
        offsets = enumerate(self.log.entries, start=1)
        found = (offset for offset, entry in offsets if entry.statements == keys)
        return next(map(self.log.get_position, found), None)

    def _resume_writes(self, term: int) -> None:
        """Accept writes again unless the term has changed."""
        if self.log.term == term:
            self.log.stopped_writes = False

    def _tick(self) -> None:
        """Send a heartbeat if this is the primary."""
        self._replicate()
        self.node.schedule(self._model.heartbeat, self._tick, None)

    def _replicate(self) -> None:
        """Send the log to each replica without waiting for an answer."""
        if self.log.can_write() or self.log.stopped_writes:
            for peer in self.peers:
                self._network.send(
                    self.node,
                    peer.node,
                    "replicate",
                    lambda p=peer: p.receive(self.log),
                )

    def receive(self, primary: ReplicaLog) -> None:
        """Receive new entries from a primary and schedule their application."""
        if self.log.receive(primary, self.node.seconds()):
            self._notify()
            self._apply_later()

    def _apply_later(self) -> None:
        """Schedule the application of received entries after the replica's lag."""
        if self._is_applying or self.log.applied_offset >= len(self.log.entries):
            return
        self._is_applying = True
        lag = self._rng.lognormvariate(0.0, self._model.apply_sigma)
        due = max(self.lag_until - self.node.seconds(), lag * self._model.apply_median)
        target = len(self.log.entries)
        self.node.schedule(due, lambda: self._apply(target), None)

    def _apply(self, offset: int) -> None:
        """Apply the entries up to an offset."""
        self._is_applying = False
        reached = min(offset, len(self.log.entries))
        self.log.applied_offset = max(self.log.applied_offset, reached)
        self._notify()
        self._apply_later()

    def _is_ready(self, waiter: _Waiter) -> bool:
        """Return whether a long poll can be answered."""
        log, wait = self.log, waiter.wait
        return (
            log.term != wait.term
            or log.leaving != waiter.leaving
            or 0 <= wait.received <= len(log.entries)
            or 0 <= wait.applied <= log.applied_offset
        )

    def _notify(self) -> None:
        """Answer the long polls that are ready."""
        ready = [waiter for waiter in self._waiters if self._is_ready(waiter)]
        if ready:
            self._answer(ready)

    def _answer(self, waiters: list[_Waiter]) -> None:
        """Answer long polls, each at most once."""
        for waiter in waiters:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.answer.callback(self.get_status())
