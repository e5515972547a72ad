"""A listening `CallerFactory` in front of a pool of connections to an echo target.

Units go to the connections directly, without routing or admission.
"""

import contextlib

import psycopg
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredQueue

from beryltrack.callers.extended import apply_effects, build_extended, plan_extended
from beryltrack.callers.factory import CallerFactory, CallerOptions
from beryltrack.callers.local import encode_simple_response
from beryltrack.callers.messages import SimpleRequest
from beryltrack.callers.statements import run_deallocate
from beryltrack.connections.messages import TargetLost
from beryltrack.connections.target import connect_target
from beryltrack.errors import SqlError, make_outcome_unknown_error
from beryltrack.settings.messages import (
    Endpoint,
    GroupSettings,
    SiteSettings,
    UserSettings,
)
from beryltrack.wire.messages import TransactionStatus
from tests.callers.echo_target import EchoFactory
from tests.reactor_thread import run

HOST = "127.0.0.1"


def make_settings(secret=""):
    group = GroupSettings("main", "team", (), "proxy", "", 0.0, 1.0)
    return SiteSettings(1, (group,), (), (UserSettings("app", "team", secret),))


class PooledHandler:
    """Runs units on pooled connections; a transaction keeps its connection."""

    def __init__(self):
        self.pool = DeferredQueue()
        self.pinned = {}
        self.dropped = []
        self.ends = []

    def check_session(self, caller):
        if caller.settings.get("beryltrack.session") == "bad":
            return SqlError("22023", "bad session")
        return None

    def drop_session(self, caller):
        self.dropped.append(caller)

    def handle(self, unit, caller):
        return Deferred.fromCoroutine(self.run(unit, caller))

    async def run(self, unit, caller):
        if isinstance(unit, SimpleRequest):
            local = run_deallocate(unit.text, caller.statements)
            if local is not None:
                caller.write(encode_simple_response(local))
                caller.send_ready(caller.status)
                return
        target = self.pinned.pop(caller, None) or await self.pool.get()
        caller.set_cancel_callback(target.cancel)
        try:
            end = await self.run_on(target, unit, caller)
        except TargetLost as lost:
            caller.send_error(make_outcome_unknown_error(lost.reason))
            caller.send_ready(TransactionStatus.IDLE)
            return
        self.ends.append(end)
        if end.status is TransactionStatus.IDLE or caller.is_closed:
            self.pool.put(target)
        else:
            self.pinned[caller] = target
        caller.write(end.tail + end.error_frame)
        caller.send_ready(end.status)

    async def run_on(self, target, unit, caller):
        if isinstance(unit, SimpleRequest):
            return await target.run(unit.wire, caller)
        plan = plan_extended(unit, caller.statements)
        built = build_extended(plan, target.prepared)
        end = await target.run(built.wire, caller, built.edits)
        apply_effects(built.effects, end.completed, target.prepared, caller.statements)
        return end


class ProxyHarness:
    """A listening caller factory, its handler and its target."""

    def __init__(self, settings, tls_context, options):
        self.target = EchoFactory()
        self.handler = PooledHandler()
        self.factory = CallerFactory(
            reactor, self.handler, lambda: settings, tls_context, options
        )

    async def start(self, connections):
        self.target_port = reactor.listenTCP(0, self.target, interface=HOST)
        endpoint = Endpoint(HOST, self.target_port.getHost().port)
        self.targets = [
            await connect_target(reactor, endpoint, "main", "proxy", "", 5.0)
            for _ in range(connections)
        ]
        for connection in self.targets:
            self.handler.pool.put(connection)
        self.port = reactor.listenTCP(0, self.factory, interface=HOST)
        self.number = self.port.getHost().port

    async def stop(self):
        self.factory.abort()
        for connection in self.targets:
            connection.close()
        await self.port.stopListening()
        await self.target_port.stopListening()

    def connect(self, **options):
        """Return a psycopg connection to the caller factory."""
        return psycopg.connect(
            host=HOST,
            port=self.number,
            dbname=options.pop("dbname", "main"),
            user=options.pop("user", "app"),
            autocommit=options.pop("autocommit", True),
            connect_timeout=5,
            **options,
        )


@contextlib.contextmanager
def run_harness(connections=1, settings=None, tls_context=None, options=None):
    """Run a harness in the reactor's thread."""
    harness = ProxyHarness(
        settings or make_settings(), tls_context, options or CallerOptions()
    )
    run(harness.start, connections)
    try:
        yield harness
    finally:
        run(harness.stop)
