"""`wire`: the cost of the protocol on both sides of the proxy, without sockets.

A caller's connection and a target's connection are joined by a handler without any
decisions and fed with prepared bytes. The figures are the cost of this package's code
between the two sockets: microseconds of processor time, and the number of function
calls, which is the same in each run.
"""

import sys
import time
from itertools import count, repeat
from typing import NamedTuple

from pygwire import messages as m
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from beryltrack.callers.extended import apply_effects, build_extended, plan_extended
from beryltrack.callers.factory import CallerFactory
from beryltrack.callers.messages import SimpleRequest
from beryltrack.connections.logon import Credentials
from beryltrack.connections.target import TargetConnection
from beryltrack.settings.messages import (
    Endpoint,
    GroupSettings,
    SiteSettings,
    UserSettings,
)
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.options import Options

STATEMENTS = 20_000
COUNTED = 200
ROWS = 1000
"""Timed exchanges, exchanges whose calls are counted, and rows of a large answer."""

_GROUP = GroupSettings("main", "team", (), "proxy", "", 0.0, 1.0)
_USER = UserSettings("app", "team", "")
_SITE = SiteSettings(1, (_GROUP,), (), (_USER,))
_TEXT_TYPE = 25
_TEXT = "SELECT name FROM device WHERE id = $1"
_FIELD = m.FieldDescription("name", 0, 0, _TEXT_TYPE, -1, -1, 0)
_POSITION = m.ParameterStatus("beryltrack.position", "3/123456")
_END = (m.CommandComplete("SELECT 1"), _POSITION, m.ReadyForQuery())
_ROW = m.DataRow([b"reader-000001"])
_BIND = (m.Bind("", "", [0], [b"17"], [0]), m.Describe("P", ""), m.Execute("", 0))
_NAMED = (m.Bind("", "s", [0], [b"17"], [0]), m.Describe("P", ""), m.Execute("", 0))


class Exchange(NamedTuple):
    """A caller's request and the target's answer.

    Parameters
    ----------
    request : bytes
        One protocol unit of the caller.
    answer : bytes
        The target's complete answer.
    """

    request: bytes
    answer: bytes


class MemoryTransport(StringTransport):
    """A transport that discards written bytes."""

    def write(self, data: bytes) -> None:
        """Discard bytes."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing."""


class DirectHandler:
    """Runs each unit on one target connection."""

    def __init__(self, target: TargetConnection):
        self._target = target

    def check_session(self, caller) -> None:
        """Accept each caller."""

    def drop_session(self, caller) -> None:
        """Do nothing: there is no state to drop."""

    def handle(self, unit, caller) -> Deferred:
        """Run a unit."""
        return Deferred.fromCoroutine(self._run(unit, caller))

    async def _run(self, unit, caller) -> None:
        target = self._target
        if isinstance(unit, SimpleRequest):
            end = await target.run(unit.wire, caller)
        else:
            plan = plan_extended(unit, caller.statements)
            built = build_extended(plan, target.prepared)
            end = await target.run(built.wire, caller, built.edits)
            names, table = target.prepared, caller.statements
            apply_effects(built.effects, end.completed, names, table)
        caller.write(end.tail)
        caller.send_ready(end.status)


class Path:
    """A caller's connection and a target's, joined in memory."""

    def __init__(self):
        clock = Clock()
        credentials = Credentials("main", "proxy", "")
        self.target = TargetConnection(clock, Endpoint("127.0.0.1", 1), credentials)
        self.target.makeConnection(MemoryTransport())
        welcome = (m.AuthenticationOk(), m.ReadyForQuery())
        self.target.dataReceived(_join(*welcome))
        factory = CallerFactory(clock, DirectHandler(self.target), lambda: _SITE)
        self.caller = factory.buildProtocol(None)
        self.caller.makeConnection(MemoryTransport())
        start = m.StartupMessage({"user": "app", "database": "main"})
        self.caller.dataReceived(start.to_wire())

    def run(self, exchange: Exchange, number: int) -> None:
        """Run one exchange a number of times."""
        for _ in repeat(None, number):
            self.caller.dataReceived(exchange.request)
            self.target.dataReceived(exchange.answer)


def _join(*messages: m.PGMessage) -> bytes:
    """Return the bytes of several messages."""
    return b"".join(message.to_wire() for message in messages)


def make_exchanges() -> dict[str, Exchange]:
    """Return the measured exchanges by name."""
    row = (m.RowDescription([_FIELD]), _ROW)
    parse = m.Parse("", _TEXT, [_TEXT_TYPE])
    return {
        "simple": Exchange(_join(m.Query("SELECT 1")), _join(*row, *_END)),
        "extended": Exchange(
            _join(parse, *_BIND, m.Sync()),
            _join(m.ParseComplete(), m.BindComplete(), *row, *_END),
        ),
        "prepared": Exchange(
            _join(*_NAMED, m.Sync()), _join(m.BindComplete(), *row, *_END)
        ),
        "rows": Exchange(
            _join(m.Query("SELECT 1")), _join(row[0], *[_ROW] * ROWS, *_END)
        ),
    }


def make_path() -> Path:
    """Return a path whose caller has prepared a statement."""
    path = Path()
    path.caller.dataReceived(_join(m.Parse("s", _TEXT, [_TEXT_TYPE]), m.Sync()))
    path.target.dataReceived(_join(m.ParseComplete(), m.ReadyForQuery()))
    return path


def measure_time(exchange: Exchange, number: int) -> float:
    """Return the processor time of one exchange, microseconds."""
    path = make_path()
    path.run(exchange, number // 10)
    started = time.process_time()
    path.run(exchange, number)
    return (time.process_time() - started) / number * 1e6


def count_calls(exchange: Exchange, number: int = COUNTED) -> float:
    """Return the number of function calls for one exchange."""
    path = make_path()
    path.run(exchange, number)
    calls = count()

    def observe(frame, event, argument) -> None:
        if event in ("call", "c_call"):
            next(calls)

    sys.setprofile(observe)
    try:
        path.run(exchange, number)
    finally:
        sys.setprofile(None)
    return next(calls) / number


def run(deployment: Deployment, seed: int, options: Options) -> dict:
    """Measure each exchange; the deployment and the seed are not used."""
    number = options.runs or STATEMENTS
    exchanges = make_exchanges()
    numbers = {name: number for name in exchanges} | {"rows": max(1, number // 100)}
    return {
        name: {
            "microseconds": round(measure_time(exchange, numbers[name]), 2),
            "calls": round(count_calls(exchange), 1),
        }
        for name, exchange in exchanges.items()
    }
