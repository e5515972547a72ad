"""One proxy of the matrix: the product's tasks over the fakes.

Only the transport is fake. Settings, group views, confirmation, failover and
the decisions after a failure are the product's own.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.error import ConnectionLost
from twisted.internet.task import deferLater

from beryltrack.groups.messages import NO_POSITION, LogPosition
from beryltrack.groups.task import GroupTask, ProbePolicy
from beryltrack.groups.view import get_database, has_applied
from beryltrack.requests.outcomes import (
    READ_ONLY_REFUSAL,
    NextStep,
    RequestState,
    RunFailure,
    decide_after_commit,
    decide_after_failure,
)
from beryltrack.requests.outcomes import CommitOutcome as RequestOutcome
from beryltrack.settings.messages import SiteSettings
from beryltrack.settings.task import SettingsTask
from beryltrack_bench.fakes.database import WriteRefused
from beryltrack_bench.fakes.group import FakeAdapter, FakeGroup
from beryltrack_bench.fakes.nodes import Node
from beryltrack_bench.fakes.platform import FakePlatformClient
from beryltrack_bench.history import Refusal

REQUEST_LIMIT = 2.0
"""Seconds that a proxy works on one request."""

PROBES = ProbePolicy(interval=0.1, suspect_interval=0.05)
"""A slow pace, so that more cells fit into the time of a run."""

RETRY_DELAY = 0.02
"""Seconds before a write that did not run is tried again."""


class WriteRequest(NamedTuple):
    """A write transaction as a caller sends it.

    Parameters
    ----------
    keys : tuple of str
        One key for each statement.
    marked : bool
        True if it is marked as non-idempotent.
    """

    keys: tuple[str, ...]
    marked: bool


class WriteReply(NamedTuple):
    """What a proxy tells the caller of its write.

    Parameters
    ----------
    refusal : Refusal or None
        None if the write is acknowledged.
    position : LogPosition
        The session's new token after an acknowledged write.
    """

    refusal: Refusal | None
    position: LogPosition = NO_POSITION


class ReadReply(NamedTuple):
    """What a proxy tells the caller of its read.

    Parameters
    ----------
    keys : frozenset of str or None
        The keys that were visible; None if the read was refused.
    """

    keys: frozenset[str] | None


class _Attempt(NamedTuple):
    """How one run of a write ended, and what is next."""

    step: NextStep
    position: LogPosition = NO_POSITION


class BenchProxy:
    """One incarnation of a proxy.

    Parameters
    ----------
    node : Node
        Where it runs.
    group : FakeGroup
        The database group.
    client : FakePlatformClient
        Its client of the platform.
    fleet : callable
        Gives the names of all live proxies.
    rng : Random
        Source of all jitter.
    """

    def __init__(
        self,
        node: Node,
        group: FakeGroup,
        client: FakePlatformClient,
        fleet: Callable[[], tuple[str, ...]],
        rng: Random,
    ):
        self.node = node
        self.name = f"{node.name}#{node.incarnation}"
        self.settings = SettingsTask(node, client, rng)
        self.task: GroupTask | None = None
        self.in_flight = 0
        self.leaving = False
        self._group = group
        self._fleet = fleet
        self._rng = rng
        self._idle: Deferred | None = None

    def start(self) -> None:
        """Learn the settings; the group is watched as soon as they are known."""
        self.settings.subscribe(self._take_settings)
        self.settings.start()

    def stop(self) -> None:
        """End all tasks, as the process does when it exits."""
        self.settings.stop()
        if self.task is not None:
            self.task.stop()

    async def leave(self) -> None:
        """Shut down gracefully: take nothing new, finish what is in flight."""
        self.leaving = True
        if self.in_flight:
            self._idle = Deferred()
            await self._idle
        self.stop()

    async def write(self, request: WriteRequest) -> WriteReply:
        """Run a write and say truthfully what became of it."""
        if self.leaving:
            return WriteReply(Refusal.NOT_RUN)
        self.in_flight += 1
        try:
            return await self._write(request)
        finally:
            self._finish()

    async def read(self, token: LogPosition) -> ReadReply:
        """Read from a database that shows all that the token stands for."""
        if self.leaving:
            return ReadReply(None)
        self.in_flight += 1
        try:
            return await self._read(token)
        finally:
            self._finish()

    def _finish(self) -> None:
        """Note that a request has its answer."""
        self.in_flight -= 1
        if not self.in_flight and self._idle is not None:
            self._idle.callback(None)

    def _take_settings(self, site: SiteSettings) -> None:
        """Watch the group by the settings in force."""
        found = next(
            (each for each in site.groups if each.name == self._group.name), None
        )
        if found is None:
            return
        if self.task is None:
            adapter = FakeAdapter(self._group, self.node)
            self.task = GroupTask(
                self.node, found, adapter, self.node.name, self._rng, PROBES
            )
            self.task.set_nodes(self._fleet())
            self.task.start()
        draining = frozenset(each.name for each in found.databases if each.draining)
        self.task.set_draining(draining)

    async def _write(self, request: WriteRequest) -> WriteReply:
        """Try a write until its outcome is known or its time is over."""
        state = RequestState(False, False, True, request.marked, False)
        deadline = self.node.seconds() + REQUEST_LIMIT
        refused = Refusal.NOT_RUN
        while self.node.seconds() < deadline:
            attempt = await self._attempt_write(request, state, deadline)
            match attempt.step:
                case NextStep.ANSWER:
                    return WriteReply(None, attempt.position)
                case NextStep.ROLLED_BACK:
                    return WriteReply(Refusal.ROLLED_BACK)
                case NextStep.UNKNOWN:
                    return WriteReply(Refusal.UNKNOWN)
                case NextStep.RESOLVE:
                    refused = Refusal.UNKNOWN
            if attempt.position != NO_POSITION and refused is Refusal.NOT_RUN:
                refused = Refusal.ROLLED_BACK
            await deferLater(self.node, RETRY_DELAY)
        return WriteReply(refused)

    async def _attempt_write(
        self, request: WriteRequest, state: RequestState, deadline: float
    ) -> _Attempt:
        """Run a write once on the present primary and wait for its confirmation."""
        primary = self.task.view.primary if self.task else ""
        if not primary:
            return _Attempt(NextStep.RETRY)
        sending = self._group.write(
            self.node, primary, *request.keys, marked=request.marked
        )
        left = deadline - self.node.seconds()
        try:
            position = await sending.addTimeout(left, self.node)
        except WriteRefused:
            failure = RunFailure(True, READ_ONLY_REFUSAL)
            return _Attempt(decide_after_failure(state, failure))
        except (ConnectionLost, TimeoutError):
            return _Attempt(decide_after_failure(state, RunFailure(True, "")))
        left = max(0.0, deadline - self.node.seconds())
        outcome = await self.task.confirm(position, left, primary)
        step = decide_after_commit(state, RequestOutcome(outcome.value))
        return _Attempt(step, position)

    async def _read(self, token: LogPosition) -> ReadReply:
        """Read from the first database that is known to be far enough."""
        deadline = self.node.seconds() + REQUEST_LIMIT
        while self.node.seconds() < deadline:
            target = self._choose(token)
            if target:
                reading = self._group.read(self.node, target)
                try:
                    result = await reading.addTimeout(REQUEST_LIMIT, self.node)
                    return ReadReply(frozenset(result.keys))
                except (ConnectionLost, TimeoutError):
                    pass
            await deferLater(self.node, RETRY_DELAY)
        return ReadReply(None)

    def _choose(self, token: LogPosition) -> str:
        """Return a database that covers a token, empty if none is known."""
        databases = self.task.view.databases if self.task else ()
        fit = (
            each.name
            for each in databases
            if each.reachable
            and not each.leaving
            and has_applied(get_database(self.task.view, each.name), token)
        )
        return next(fit, "")
