"""A session that sends each request through a proxy drawn at random.

The session passes its token from each answer to the next request, as an application
behind a load balancer does, and checks each answer against its acknowledged writes.
"""

import random
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

import psycopg

from beryltrack_bench.roaming.records import (
    Duration,
    Effect,
    Outcome,
    Records,
    classify_error,
)

TOKEN = "beryltrack.session"
LARGE_ROWS = 600
COMMIT = "COMMIT"
ROLLBACK = "ROLLBACK"
# Times in seconds, shares as probabilities.
_CONNECT_TIMEOUT = 10
_COMMIT_SHARE = 0.75
_NEW_CONNECTION_SHARE = 0.3
_GIVE_UP_SHARE = 0.5
_MAX_ATTEMPTS = 200
_RETRY_INTERVAL = 0.02

Work = Callable[[psycopg.Connection], object]


class Login(NamedTuple):
    """User and database of the sessions' connections.

    Parameters
    ----------
    user : str
        The user.
    database : str
        The database group.
    """

    user: str
    database: str


class RequestOption(NamedTuple):
    """A session setting that carries a request option.

    Parameters
    ----------
    name, value : str
        Name and value of the setting.
    """

    name: str
    value: str


class Result(NamedTuple):
    """Result of one attempt of a request.

    Parameters
    ----------
    outcome : Outcome
        Its outcome as known to the caller.
    answer : object
        The return value of the work; None if it failed.
    """

    outcome: Outcome
    answer: object


class PairTransaction:
    """A transaction that writes one key into two tables.

    Parameters
    ----------
    key : str
        The key.
    end : str
        `COMMIT` or `ROLLBACK`.
    """

    def __init__(self, key: str, end: str):
        self.key = key
        self.is_commit_sent = False
        self._end = end

    def run(self, connection: psycopg.Connection) -> int:
        """Run the transaction; return how many of its own rows it read."""
        connection.execute("BEGIN")
        for table in ("roam_left", "roam_right"):
            connection.execute(f"INSERT INTO {table} VALUES (%s)", (self.key,))
        query = "SELECT count(*) FROM roam_left WHERE key = %s"
        count = connection.execute(query, (self.key,)).fetchone()[0]
        self.is_commit_sent = self._end == COMMIT
        connection.execute(self._end)
        return count


class RoamingSession:
    """One session.

    Parameters
    ----------
    name : str
        The session's name, the key of its row.
    proxies : tuple of str
        Addresses of the proxies.
    login : Login
        User and database of the connections.
    records : Records
        Collects requests, outcomes and violations.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        name: str,
        proxies: tuple[str, ...],
        login: Login,
        records: Records,
        rng: random.Random,
    ):
        self.name = name
        self._proxies = proxies
        self._login = login
        self._records = records
        self._rng = rng
        self._token = ""
        self._connections: dict[str, psycopg.Connection] = {}
        self._action = "begin"
        self._requests = 0
        self._value = 0
        self._acknowledged = 0
        self._unknown: set[int] = set()

    def begin(self) -> bool:
        """Insert the session's row; return whether that was acknowledged."""
        query = "INSERT INTO roam_register (session, value) VALUES (%s, 0)"
        effect = self._write_at_most_once(
            query, (self.name,), f"{self.name}-begin", False
        )
        return effect.outcome is Outcome.ACKNOWLEDGED

    def step(self) -> None:
        """Make one request, drawn at random."""
        actions = {
            self._write_register: 4,
            self._read_register: 8,
            self._read_register_without_token: 1,
            self._write_effect: 4,
            self._write_pair: 2,
            self._read_own_question: 2,
            self._read_large_result: 1,
        }
        (action,) = self._rng.choices(list(actions), list(actions.values()))
        self._action = action.__name__.strip("_")
        action()

    def end(self) -> None:
        """Close all connections."""
        for proxy in [*self._connections]:
            self._drop(proxy)

    def _write_register(self) -> None:
        """Increase the value in the session's row; a lower one never replaces it."""
        self._value += 1
        value = self._value
        query = "UPDATE roam_register SET value = %s WHERE session = %s AND value < %s"
        parameters = (value, self.name, value)
        started_at = time.monotonic()
        result = self._ask(lambda connection: connection.execute(query, parameters))
        if result.outcome is Outcome.ACKNOWLEDGED:
            self._acknowledged = value
            self._record_write(str(value), started_at)
        elif result.outcome in (Outcome.UNKNOWN, Outcome.UNEXPECTED):
            self._unknown.add(value)

    def _read_register(self) -> None:
        """Read the session's row and check that it shows the last write."""
        query = "SELECT session, value FROM roam_register WHERE session = %s"
        result = self._ask(
            lambda connection: connection.execute(query, (self.name,)).fetchall()
        )
        if result.outcome is Outcome.ACKNOWLEDGED:
            self._check_register(result.answer)

    def _read_register_without_token(self) -> None:
        """Read without the session token; the read must not be staler."""
        token, self._token = self._token, ""
        for proxy in [*self._connections]:
            self._drop(proxy)
        self._read_register()
        self._token = token

    def _check_register(self, rows: list[tuple[str, int]]) -> None:
        """Check a read of the session's row against its acknowledged writes."""
        if [row[0] for row in rows] != [self.name]:
            return self._records.report("mixed", f"{self.name} read {rows}")
        value = rows[0][1]
        if value < self._acknowledged:
            text = f"{self.name} read {value} after {self._acknowledged}"
            self._records.report("stale", text)
        elif value > self._acknowledged and value not in self._unknown:
            text = f"{self.name} read {value}, which was refused"
            self._records.report("untrue refusal", text)

    def _write_effect(self) -> None:
        """Write one row with an at-most-once request and record its outcome."""
        self._requests += 1
        key = f"{self.name}-{self._requests}"
        query = "INSERT INTO roam_effects (request_id, session) VALUES (%s, %s)"
        may_give_up = self._rng.random() < _GIVE_UP_SHARE
        effect = self._write_at_most_once(query, (key, self.name), key, may_give_up)
        self._records.at_most_once.append(effect)

    def _write_at_most_once(
        self, query: str, parameters: tuple[str, ...], key: str, may_give_up: bool
    ) -> Effect:
        """Repeat an at-most-once write until its outcome is known."""
        # Half of the requests carry their options in settings, half in a comment tag.
        settings = _make_option_settings(key) if self._rng.random() < 0.5 else ()
        text = query if settings else f"{query} {_make_option_tag(key)}"
        outcome = Outcome.NOT_RUN
        for _ in range(_MAX_ATTEMPTS):
            started_at = time.monotonic()
            result = self._ask(
                lambda connection: connection.execute(text, parameters), settings
            )
            outcome = _combine(outcome, result.outcome)
            if outcome is Outcome.ACKNOWLEDGED:
                self._record_write(key, started_at)
                break
            if may_give_up and outcome in (Outcome.NOT_RUN, Outcome.ROLLED_BACK):
                break
            time.sleep(_RETRY_INTERVAL)
        return Effect(key, outcome, started_at, time.monotonic())

    def _write_pair(self) -> None:
        """Write two rows in one transaction, which must be atomic."""
        self._requests += 1
        pair = PairTransaction(
            f"{self.name}-{self._requests}",
            COMMIT if self._rng.random() < _COMMIT_SHARE else ROLLBACK,
        )
        started_at = time.monotonic()
        result = self._ask(pair.run)
        if result.answer not in (None, 1):
            text = f"{pair.key} saw {result.answer} of its own rows"
            self._records.report("stale", text)
        if not pair.is_commit_sent:
            outcome = Outcome.ROLLED_BACK
        else:
            outcome = result.outcome
        if outcome is Outcome.ACKNOWLEDGED:
            self._record_write(pair.key, started_at)
        effect = Effect(pair.key, outcome, started_at, time.monotonic())
        self._records.pairs.append(effect)

    def _read_own_question(self) -> None:
        """Read back a random value that is unique to this request."""
        question = f"{self.name}-{self._rng.getrandbits(64)}"
        result = self._ask(
            lambda connection: connection.execute(
                "SELECT %s::text", (question,)
            ).fetchall()
        )
        is_answered = result.outcome is Outcome.ACKNOWLEDGED
        if is_answered and result.answer != [(question,)]:
            self._records.report("mixed", f"{question} was answered {result.answer}")

    def _read_large_result(self) -> None:
        """Read many rows and check that none is missing."""
        query = "SELECT g, repeat('x', 500) FROM generate_series(1, %s) AS g"
        result = self._ask(
            lambda connection: connection.execute(query, (LARGE_ROWS,)).fetchall()
        )
        if result.outcome is not Outcome.ACKNOWLEDGED:
            return
        if [row[0] for row in result.answer] != list(range(1, LARGE_ROWS + 1)):
            text = f"a large result came with {len(result.answer)} rows"
            self._records.report("mixed", text)

    def _record_write(self, key: str, started_at: float) -> None:
        """Record an acknowledged write."""
        effect = Effect(key, Outcome.ACKNOWLEDGED, started_at, time.monotonic())
        self._records.record_acknowledged(effect)

    def _ask(self, work: Work, settings: Sequence[RequestOption] = ()) -> Result:
        """Do some work through a proxy drawn at random and record its duration."""
        started_at = time.monotonic()
        result = self._send_once(work, settings)
        seconds = time.monotonic() - started_at
        self._records.durations.append(
            Duration(seconds, self._action, result.outcome.value, started_at)
        )
        return result

    def _send_once(self, work: Work, settings: Sequence[RequestOption]) -> Result:
        """Do some work through a proxy drawn at random; keep the answer's token."""
        proxy = self._rng.choice(self._proxies)
        is_sent = False
        try:
            connection = self._connect(proxy)
            for setting in settings:
                connection.execute(f"SET {setting.name} = '{setting.value}'")
            is_sent = True
            answer = work(connection)
        except psycopg.Error as error:
            return self._handle_error(proxy, error, is_sent)
        self._token = connection.info.parameter_status(TOKEN) or self._token
        self._records.count("acknowledged")
        self._reset(proxy, connection, settings)
        return Result(Outcome.ACKNOWLEDGED, answer)

    def _reset(
        self,
        proxy: str,
        connection: psycopg.Connection,
        settings: Sequence[RequestOption],
    ) -> None:
        """Reset the request options and drop the connection at random."""
        try:
            for setting in settings:
                connection.execute(f"RESET {setting.name}")
        except psycopg.Error:
            self._drop(proxy)
        if self._rng.random() < _NEW_CONNECTION_SHARE:
            self._drop(proxy)

    def _handle_error(self, proxy: str, error: psycopg.Error, is_sent: bool) -> Result:
        """Record a failed request and close its connection."""
        self._drop(proxy)
        outcome = classify_error(error, is_sent)
        self._records.count(f"{outcome.value} {error.sqlstate}")
        if outcome is Outcome.UNEXPECTED:
            self._records.report("unexpected error", f"{error.sqlstate}: {error}")
        return Result(outcome, None)

    def _connect(self, proxy: str) -> psycopg.Connection:
        """Return a connection to a proxy with the session's token set."""
        connection = self._connections.get(proxy)
        if connection is not None:
            if self._token:
                connection.execute(f"SET {TOKEN} = '{self._token}'")
            return connection
        host, _, port = proxy.rpartition(":")
        connection = psycopg.connect(
            host=host,
            port=int(port),
            user=self._login.user,
            dbname=self._login.database,
            options=f"-c {TOKEN}={self._token}" if self._token else "",
            connect_timeout=_CONNECT_TIMEOUT,
            sslmode="disable",
            autocommit=True,
        )
        self._connections[proxy] = connection
        return connection

    def _drop(self, proxy: str) -> None:
        """Close the connection to a proxy."""
        connection = self._connections.pop(proxy, None)
        if connection is not None:
            with suppress(psycopg.Error):
                connection.close()


def _make_option_settings(key: str) -> tuple[RequestOption, ...]:
    """Return the settings of a request that runs at most once."""
    return (
        RequestOption("beryltrack.request_id", key),
        RequestOption("beryltrack.idempotent", "off"),
    )


def _make_option_tag(key: str) -> str:
    """Return the SQL comment tag of a request that runs at most once."""
    return f"/*beryltrack_request_id='{key}',beryltrack_idempotent='off'*/"


def _combine(before: Outcome, latest: Outcome) -> Outcome:
    """Return the outcome of a request after one more attempt.

    An answer reports only its own attempt: once an attempt may have run, only an
    acknowledgement settles the request.
    """
    if latest is Outcome.ACKNOWLEDGED or before in (
        Outcome.NOT_RUN,
        Outcome.ROLLED_BACK,
    ):
        return latest
    return before
