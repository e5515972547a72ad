"""A fake database that speaks PostgreSQL with the stand-in's sessions and tables.

Log, replication, links and faults are those of `FakeDatabase`; the stand-in
database runs the statements. Only rows of the table `items` count as keys.
"""

import re
from collections.abc import Sequence
from functools import lru_cache
from random import Random

from beryltrack.groups.adapter import PromoteReply
from beryltrack.groups.messages import PRIMARY, DatabaseStatus, GrantReply
from beryltrack_bench.fakes.database import FakeDatabase
from beryltrack_bench.history import Executed, Promoted, WorkStarted
from beryltrack_standins.database.database import Database
from beryltrack_standins.database.dialect import Statement, StatementKind
from beryltrack_standins.database.engine import LoggedStatement, Value
from beryltrack_standins.database.replica_log import Entry, ReplicaLog
from beryltrack_standins.database.server import DatabaseOptions, DatabaseServer
from beryltrack_standins.database.session import Session
from beryltrack_standins.database.tables import Answer

CREATE_ITEMS = "CREATE TABLE items (key text)"

_INSERT = re.compile(r"INSERT INTO items\b.*?'([^']*)'", re.IGNORECASE)
_NO_WORK = frozenset((StatementKind.SET, StatementKind.SHOW, StatementKind.ROLLBACK))


class SqlDatabase(FakeDatabase):
    """A database of a fake group that runs SQL."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.engine = Database(self.node, self.name)
        self.log = self.engine.log
        self.server = self._make_server()
        self._seen = 0
        self.engine.subscribe(self._observe_change)

    def start(self) -> None:
        """Start to serve; transactions that a crash interrupted are rolled back."""
        self.server.stop()
        self.server.drop_sessions()
        self.server = self._make_server()
        self.engine.running = True
        # The timers that apply received entries ended with the process, so the
        # restarted process applies these entries at once.
        self.engine.set_apply_lag(0.0)
        super().start()

    def record_work(self) -> None:
        """Record that the database received new work."""
        self._record(WorkStarted(self.name, self.node.seconds()))

    def grant(self, term: int, candidate: str, lost_after: float) -> GrantReply:
        """Promise a term to a candidate; see `ReplicaLog.grant`."""
        return self.engine.grant(term, candidate, lost_after)

    def promote(self, term: int, candidate: str) -> PromoteReply:
        """Lead a granted term; see `ReplicaLog.promote`."""
        was_primary = self.log.role == PRIMARY
        promoted = self.engine.promote(term, candidate)
        if promoted and not was_primary:
            now = self.node.seconds()
            self._record(Promoted(self._group, term, frozenset(self.get_keys()), now))
        return PromoteReply(promoted, self.get_status())

    def stop_writes(self, term: int) -> DatabaseStatus:
        """Stop writes for a limited time if this is the primary of the term."""
        self.engine.stop_writes(term)
        return self.get_status()

    def receive(self, primary: ReplicaLog) -> None:
        """Receive new entries from a primary and schedule their application."""
        lag = self._rng.lognormvariate(0.0, self._model.apply_sigma)
        waited = self.lag_until - self.node.seconds()
        self.engine.apply_lag = max(waited, lag * self._model.apply_median)
        self.engine.pull(primary)

    def get_keys(self) -> tuple[str, ...]:
        """Return the keys of all applied writes, oldest first."""
        entries = self.log.entries[: self.log.applied_offset]
        return tuple(key for entry in entries for key in get_entry_keys(entry))

    def _make_server(self) -> DatabaseServer:
        """Return the server that accepts connections."""
        return _RecordingServer(self)

    def _observe_change(self) -> None:
        """Record new commits, send them to the replicas, and answer long polls."""
        entries = self.log.entries
        is_primary = self.log.role == PRIMARY
        new = entries[self._seen :] if is_primary else ()
        self._seen = len(entries)
        for keys in filter(None, map(get_entry_keys, new)):
            self._record(Executed(self._group, keys, self.node.seconds()))
        if new:
            self._replicate()
        self._notify()


class _RecordingServer(DatabaseServer):
    """A server whose sessions record new work."""

    def __init__(self, database: SqlDatabase):
        super().__init__(
            database.node, database.engine, DatabaseOptions(), Random(database.name)
        )
        self._sql_database = database

    def make_session(self) -> Session:
        """Return the session of a new connection."""
        session = _RecordingSession(self.clock, self.database, self._limits)
        session.on_work = self._sql_database.record_work
        return session


class _RecordingSession(Session):
    """A session that reports each statement outside of an open transaction."""

    on_work = staticmethod(lambda: None)

    async def run(self, statement: Statement, parameters: Sequence[Value]) -> Answer:
        """Run one statement; see `Session.run`."""
        if not self._in_block and statement.kind not in _NO_WORK:
            self.on_work()
        return await super().run(statement, parameters)


def get_entry_keys(entry: Entry) -> tuple[str, ...]:
    """Return the keys written by a commit, in the order of its statements."""
    found = (get_key(statement) for statement in entry.statements)
    return tuple(key for key in found if key is not None)


def get_key(statement: LoggedStatement) -> str | None:
    """Return the key inserted by a logged statement; None for other statements."""
    return _get_inserted(statement.text)


@lru_cache(4096)
def _get_inserted(text: str) -> str | None:
    """Return the key in an INSERT statement's text; None for other texts."""
    match = _INSERT.match(text)
    return match[1] if match else None
