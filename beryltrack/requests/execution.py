"""Runs a planned unit, or a command that the proxy issues, on a connection."""

from pygwire import BackendMessageDecoder, ConnectionPhase
from pygwire.messages import DataRow, Query

from beryltrack.callers.caller import Caller
from beryltrack.callers.extended import apply_effects, build_extended
from beryltrack.connections.messages import TargetLost
from beryltrack.connections.target import TargetConnection
from beryltrack.requests.plan import RequestPlan
from beryltrack.requests.protocol import RunLost, RunResult
from beryltrack.requests.sink import AnswerSink
from beryltrack.requests.target_settings import TargetSettings
from beryltrack.wire.messages import ResponseSink
from beryltrack.wire.sinks import CollectingSink


async def run_plan(
    connection: TargetConnection, plan: RequestPlan, sink: AnswerSink, caller: Caller
) -> RunResult:
    """Run a planned unit on a connection.

    Parameters
    ----------
    connection : TargetConnection
        A connection without another running statement.
    plan : RequestPlan
        The unit.
    sink : AnswerSink
        Receives the answer's frames.
    caller : Caller
        Sender of the unit; may cancel it.

    Returns
    -------
    ResponseEnd or RunLost
        How the run ended.
    """
    caller.set_cancel_callback(connection.cancel)
    try:
        if plan.extended is None:
            return await connection.run(plan.request.wire, sink)
        built = build_extended(plan.extended, connection.prepared)
        end = await connection.run(built.wire, sink, built.edits)
    except TargetLost as lost:
        return RunLost(lost.sent, lost.reason)
    finally:
        caller.set_cancel_callback(None)
    apply_effects(built.effects, end.completed, connection.prepared, caller.statements)
    return end


async def run_command(
    connection: TargetConnection, text: str, sink: ResponseSink | None = None
) -> RunResult:
    """Run statements that the proxy issues on a connection.

    Parameters
    ----------
    connection : TargetConnection
        A connection without another running statement.
    text : str
        The statements.
    sink : ResponseSink, optional
        Receives the answer's frames.

    Returns
    -------
    ResponseEnd or RunLost
        How the run ended.
    """
    try:
        return await connection.run(Query(text).to_wire(), sink or CollectingSink())
    except TargetLost as lost:
        return RunLost(lost.sent, lost.reason)


async def apply_settings(
    connection: TargetConnection, caller: Caller, settings: TargetSettings
) -> RunResult | None:
    """Apply a caller's settings to a connection; return the failed run, or None."""
    change = settings.get_change(connection, caller)
    if not change:
        return None
    result = await run_command(connection, change)
    if isinstance(result, RunLost):
        # The caller's own unit was not sent.
        return RunLost(False, result.reason)
    if result.error is not None:
        connection.close()
        return result
    settings.record_applied(connection, caller)
    return None


def read_rows(frames: bytes) -> list[list[str]]:
    """Return the rows in the frames of an answer, as text."""
    decoder = BackendMessageDecoder()
    decoder.phase = ConnectionPhase.SIMPLE_QUERY
    decoder.feed(frames)
    return [
        [(value or b"").decode("utf-8") for value in message.columns]
        for message in decoder
        if isinstance(message, DataRow)
    ]
