"""Scripted targets: connections that answer from a script."""

from returns.result import Success
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from beryltrack.callers.caller import Caller, CallerIdentity
from beryltrack.callers.messages import SimpleRequest
from beryltrack.connections.messages import TargetLost
from beryltrack.daemon.metrics import InstanceMetrics
from beryltrack.errors import SqlError
from beryltrack.groups.messages import LogPosition
from beryltrack.groups.view import GroupView
from beryltrack.requests.admission_task import Ticket
from beryltrack.requests.answers import RequestContext
from beryltrack.requests.plan import RequestPlan
from beryltrack.requests.postgres import PostgresProtocol
from beryltrack.requests.services import make_services
from beryltrack.requests.session import CallerSession
from beryltrack.requests.targets import FoundTarget
from beryltrack.routing.messages import StatementKind
from beryltrack.sessions.request_options import RequestOptions
from beryltrack.settings.messages import GroupSettings
from beryltrack.transactions.decider import CommitOutcome
from beryltrack.wire.messages import ResponseEnd, TransactionStatus

IDLE = TransactionStatus.IDLE
OPEN = TransactionStatus.IN_TRANSACTION
FAILED = TransactionStatus.ERROR_TRANSACTION
LOST = "lost"


def make_end(status=IDLE, sqlstate="", position=None, tail=b""):
    """Return the end of an answer."""
    error = SqlError(sqlstate, "refused") if sqlstate else None
    place = LogPosition(1, position) if position else None
    return ResponseEnd(status, tail, error, b"", place, 0, 0)


class ScriptedConnection:
    """Answers each run with the next entry of its script."""

    via = ""

    def __init__(self, *script):
        self.script = list(script)
        self.texts = []
        self.broken = False
        self.prepared = ()

    def run(self, wire, sink, edits=()):
        self.texts.append(wire[5:-1].decode())
        entry = self.script.pop(0)
        return fail(TargetLost(True, "gone")) if entry is LOST else succeed(entry)

    def cancel(self):
        raise AssertionError("nothing is cancelled here")


class FakePool:
    """Records whether each connection is returned as reusable."""

    def __init__(self):
        self.released = []

    def release(self, connection, reusable, has_run=True):
        self.released.append(reusable)


class FakeGroupTask:
    """Confirms commits with scripted outcomes."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)

    def confirm(self, position, timeout, database=""):
        return succeed(self.outcomes.pop(0))

    def observe_position(self, database, position, sent_at=None):
        pass


class FakeRuntime:
    """A group with scripted databases."""

    def __init__(self, outcomes):
        self.settings = GroupSettings("main", "team", (), "app", "", 0.0, 0.3)
        self.task = FakeGroupTask(outcomes)
        self.view = GroupView("main", 1, "main-1")
        self.pools = {}


class Transport:
    """Records what a caller is sent."""

    def __init__(self):
        self.sent = b""

    def write(self, data):
        self.sent += data


def make_context(text, kind, outcomes=(CommitOutcome.CONFIRMED,), request_id=""):
    """Return the context of a simple query, and the transport of its caller."""
    clock, transport = Clock(), Transport()
    caller = Caller(clock, transport, CallerIdentity("app", "main", "here"), {})
    caller.session = CallerSession()
    services = make_services(
        clock, "zone-a", InstanceMetrics("test"), None, PostgresProtocol()
    )
    options = RequestOptions(0.0, request_id, not request_id, "any")
    plan = RequestPlan(SimpleRequest(text, b""), kind, text, None, options)
    ticket = Ticket(0, services.admission)
    runtime = FakeRuntime(outcomes)
    return RequestContext(services, runtime, caller, plan, 0.0, ticket), transport


def make_marked_context(**options):
    """Return the context of an at-most-once write."""
    return make_context("INSERT", StatementKind.WRITE, request_id="r-1", **options)


def script_targets(monkeypatch, module, *connections):
    """Make `module` find the scripted connections, in order."""
    pool, found = FakePool(), list(connections)

    async def find_primary(context):
        return Success(FoundTarget("main-1", False, pool, found.pop(0)))

    monkeypatch.setattr(module, "find_primary", find_primary)
    return pool


def run_to_end(context, coroutine):
    """Run a flow under its clock until it is done."""
    done = Deferred.fromCoroutine(coroutine)
    while not done.called:
        context.services.reactor.advance(0.05)
    return done.result
