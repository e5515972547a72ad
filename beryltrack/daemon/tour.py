"""A demonstration on a local site: the consistency guarantees as a caller sees them."""

import json
import logging
import time
from typing import NamedTuple

import treq
from pygwire.messages import Query

from beryltrack.connections.target import TargetConnection, connect_target
from beryltrack.errors import SqlException
from beryltrack.requests.execution import read_rows
from beryltrack.requests.ledger import quote_literal
from beryltrack.requests.session_state import SESSION_SETTING
from beryltrack.settings.messages import Endpoint
from beryltrack.wire.sinks import CollectingSink

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 5.0
DECLARE_NEW = f"SET {SESSION_SETTING} = 'new'"


class TourStep(NamedTuple):
    """One step of the tour.

    Parameters
    ----------
    text : str
        Description of the step.
    has_passed : bool
        True if the outcome was as guaranteed.
    seconds : float
        Its duration, seconds.
    """

    text: str
    has_passed: bool
    seconds: float


async def run_tour(
    reactor, proxies: list[Endpoint], group: str, user: str, control_url: str
) -> bool:
    """Write and read through two proxies, before and after the loss of a primary.

    Parameters
    ----------
    reactor : reactor
        Opens connections.
    proxies : list of Endpoint
        The proxies.
    group, user : str
        Database name and user for the log-on.
    control_url : str
        URL for fault injection in the stand-ins.

    Returns
    -------
    bool
        True if every step passed.
    """
    first, second = [
        await connect_target(reactor, endpoint, group, user, "", CONNECT_TIMEOUT)
        for endpoint in (proxies[0], proxies[-1])
    ]
    steps = [
        await _time("create a table through proxy 1", _create(first)),
        await _time("write through proxy 1", _write(first, 1)),
        await _time("read it through proxy 2", _read(first, second, 1)),
        await _time("stop the primary", _stop_primary(control_url)),
        await _time("write again through proxy 2", _write(second, 2)),
        await _time("read both through proxy 1", _read(second, first, 2)),
    ]
    first.close()
    second.close()
    return all(step.has_passed for step in steps)


async def _time(text: str, step) -> TourStep:
    """Carry out a step, log it and return it."""
    started_at = time.monotonic()
    try:
        has_passed = await step
    except SqlException as error:
        log.error("tour: %s: %s", text, error)
        has_passed = False
    done = TourStep(text, has_passed, time.monotonic() - started_at)
    outcome = "held" if done.has_passed else "FAILED"
    log.info("tour: %s: %s after %.1f ms.", done.text, outcome, done.seconds * 1000)
    return done


async def _run(connection: TargetConnection, text: str) -> list[list[str]]:
    """Run a statement and return its rows."""
    sink = CollectingSink()
    end = await connection.run(Query(text).to_wire(), sink)
    if end.error is not None:
        raise SqlException(end.error)
    return read_rows(sink.frames)


async def _create(connection: TargetConnection) -> bool:
    """Declare a new session and create the tour's table."""
    await _run(connection, DECLARE_NEW)
    await _run(connection, "CREATE TABLE tour (id integer PRIMARY KEY)")
    return True


async def _write(connection: TargetConnection, number: int) -> bool:
    """Write one row."""
    await _run(connection, f"INSERT INTO tour VALUES ({number})")
    return True


async def _read(writer: TargetConnection, reader: TargetConnection, count: int) -> bool:
    """Pass the writer's session token to the reader and count the rows there."""
    [[token]] = await _run(writer, f"SHOW {SESSION_SETTING}")
    await _run(reader, f"SET {SESSION_SETTING} = {quote_literal(token)}")
    rows = await _run(reader, "SELECT count(*) FROM tour")
    return rows == [[str(count)]]


async def _stop_primary(control_url: str) -> bool:
    """Stop the primary; return whether the stand-ins accepted the fault."""
    answer = await treq.get(f"{control_url}/state")
    state = await answer.json()
    primary = next(
        name
        for name, database in state["databases"].items()
        if database["role"] == "primary"
    )
    body = json.dumps({"target": primary, "fault": "stop"}).encode()
    answer = await treq.post(f"{control_url}/faults", data=body)
    await answer.content()
    return answer.code < 300
