"""Rewriting extended-protocol batches for pooled target connections.

`plan_extended` resolves once which statements a batch uses and runs. `build_extended`
then builds the batch for each target connection that is tried: it prepares statements
that the connection lacks, replaces the caller's statement names by the shared ones, and
lists the edits that match the responses to Parse and Close with the caller's frames.
`apply_effects` afterwards records what the target completed.
"""

import struct
from itertools import chain, islice

from pygwire.messages import Close, Describe

from beryltrack.callers.batches import (
    BuiltRequest,
    Effect,
    ExtendedPlan,
    PlannedStep,
    TargetStatements,
)
from beryltrack.callers.messages import (
    BindFrame,
    CloseFrame,
    DescribeFrame,
    ExecuteFrame,
    ExtendedRequest,
    Frame,
    ParseFrame,
    SyncFrame,
)
from beryltrack.callers.statements import (
    PreparedStatement,
    StatementTable,
    encode_parse,
    make_limit_error,
    make_statement,
)
from beryltrack.wire.framing import LENGTH_SIZE
from beryltrack.wire.messages import Edit

_LENGTH = struct.Struct("!I")

STATEMENT = "S"

# A name that no statement has: closing it always succeeds and has no effect. Its
# CloseComplete replaces the response to a Parse or Close that the target need not
# receive.
_NO_STATEMENT = "beryltrack_none"
_NOOP_CLOSE = Close(STATEMENT, _NO_STATEMENT).to_wire()


def plan_extended(request: ExtendedRequest, table: StatementTable) -> ExtendedPlan:
    """Plan a batch.

    Parameters
    ----------
    request : ExtendedRequest
        The batch.
    table : StatementTable
        The caller's statements and portals; the portals that the batch creates are
        added to it.

    Returns
    -------
    ExtendedPlan
        The plan, valid for this caller only.
    """
    planner = _Planner(table)
    steps = planner.plan(request.messages)
    return ExtendedPlan(
        steps,
        None if planner.has_named_parse else _join_steps(steps),
        tuple(planner.required.values()),
        planner.used,
        tuple(planner.executed),
        tuple(planner.parsed),
        make_limit_error() if planner.parsed and table.is_full else None,
    )


class _Planner:
    """Resolves the statement names of a batch, frame by frame."""

    def __init__(self, table: StatementTable):
        self.required: dict[str, PreparedStatement] = {}
        self.executed: list[str] = []
        self.parsed: list[str] = []
        self.has_named_parse = False
        self._unnamed: PreparedStatement | None = None
        self._table = table
        self._parsed_names: dict[str, PreparedStatement | None] = {}

    @property
    def used(self) -> tuple[str, ...]:
        """Texts of the statements that the batch parses, binds or describes."""
        texts = [*self.parsed, *(entry.text for entry in self.required.values())]
        if self._unnamed is not None:
            texts.append(self._unnamed.text)
        return tuple(texts)

    def plan(self, frames: tuple[Frame, ...]) -> tuple[PlannedStep, ...]:
        """Return the steps for the frames of a batch."""
        steps = [_PLANNERS[type(frame)](self, frame) for frame in frames]
        if self._unnamed is not None:
            wire = encode_parse("", self._unnamed)
            steps.insert(0, PlannedStep(wire, Effect(Edit.DROP)))
        return tuple(steps)

    def _plan_parse(self, frame: ParseFrame) -> PlannedStep:
        """Plan a Parse; a named statement is prepared under its shared name."""
        statement = make_statement(frame.text, frame.types)
        self._parsed_names[frame.name] = statement
        self.parsed.append(frame.text)
        effect = Effect(Edit.PASS, name=frame.name, statement=statement)
        if not frame.name:
            return PlannedStep(frame.wire, effect)
        self.has_named_parse = True
        wire = encode_parse(statement.target_name, statement)
        added = effect._replace(added=statement.target_name)
        return PlannedStep(wire, added, statement)

    def _plan_bind(self, frame: BindFrame) -> PlannedStep:
        """Plan a Bind; a named statement is bound by its shared name."""
        statement = self._require(frame.statement)
        if statement is None:
            return PlannedStep(frame.wire)
        self._table.set_portal(frame.portal, statement)
        if not frame.statement:
            return PlannedStep(frame.wire)
        return PlannedStep(_rename_bind(frame, statement.target_name))

    def _plan_describe(self, frame: DescribeFrame) -> PlannedStep:
        """Plan a Describe; a named statement is described by its shared name."""
        statement = self._require(frame.name) if frame.kind == STATEMENT else None
        if statement is None or not frame.name:
            return PlannedStep(frame.wire)
        return PlannedStep(Describe(STATEMENT, statement.target_name).to_wire())

    def _plan_execute(self, frame: ExecuteFrame) -> PlannedStep:
        """Plan an Execute and record the statement that it runs."""
        statement = self._table.get_portal(frame.portal)
        if statement is not None:
            self.executed.append(statement.text)
        return PlannedStep(frame.wire)

    def _plan_close(self, frame: CloseFrame) -> PlannedStep:
        """Plan a Close; a shared statement stays prepared on the connection."""
        if frame.kind == STATEMENT:
            self._parsed_names[frame.name] = None
            return PlannedStep(_NOOP_CLOSE, Effect(Edit.PASS, name=frame.name))
        self._table.drop_portal(frame.name)
        return PlannedStep(frame.wire, Effect(Edit.PASS))

    def _plan_sync(self, frame: SyncFrame) -> PlannedStep:
        """Plan a Sync."""
        return PlannedStep(frame.wire)

    def _require(self, name: str) -> PreparedStatement | None:
        """Return the statement of a name; record that the target must have it."""
        if name in self._parsed_names:
            return self._parsed_names[name]
        statement = self._table.get(name)
        if statement is None:
            return None
        if name:
            self.required[statement.target_name] = statement
        else:
            self._unnamed = statement
        return statement


_PLANNERS = {
    ParseFrame: _Planner._plan_parse,
    BindFrame: _Planner._plan_bind,
    DescribeFrame: _Planner._plan_describe,
    ExecuteFrame: _Planner._plan_execute,
    CloseFrame: _Planner._plan_close,
    SyncFrame: _Planner._plan_sync,
}


def build_extended(plan: ExtendedPlan, names: TargetStatements) -> BuiltRequest:
    """Build a planned batch for one target connection.

    Parameters
    ----------
    plan : ExtendedPlan
        The plan.
    names : TargetStatements
        The statements that exist on the connection.

    Returns
    -------
    BuiltRequest
        The frames to send and the effects of their completion.
    """
    missing = [entry for entry in plan.required if not _touch_if_present(entry, names)]
    if plan.prebuilt is not None and not missing:
        return plan.prebuilt
    prepared = [*missing, *(step.prepared for step in plan.steps if step.prepared)]
    present = {entry.target_name for entry in plan.required}
    excess = [name for name in names.get_excess(len(prepared)) if name not in present]
    stale = (entry.target_name for entry in prepared if _is_stale(entry, names))
    closed = dict.fromkeys(chain(excess, stale))
    steps = chain(
        map(_make_close_step, closed),
        map(_make_parse_step, missing),
        (_choose_step(step, names, present, closed) for step in plan.steps),
    )
    return _join_steps(tuple(steps))


def apply_effects(
    effects: tuple[Effect, ...],
    completed: int,
    names: TargetStatements,
    table: StatementTable,
) -> None:
    """Update a target's statements and a caller's table after a batch.

    Parameters
    ----------
    effects : tuple of Effect
        The effects of the built batch.
    completed : int
        Number of effects that the target completed; see `ResponseEnd`.
    names : TargetStatements
        The statements on the connection.
    table : StatementTable
        The caller's statements.
    """
    for effect in islice(effects, completed):
        if effect.added:
            names.touch(effect.added)
        if effect.closed:
            names.remove(effect.closed)
        if effect.name is not None:
            _apply_to_table(effect, table)


def apply_plan(plan: ExtendedPlan, table: StatementTable) -> None:
    """Update the caller's table after a batch that the proxy answered itself."""
    for step in plan.steps:
        if step.effect is not None and step.effect.name is not None:
            _apply_to_table(step.effect, table)


def _apply_to_table(effect: Effect, table: StatementTable) -> None:
    """Apply one effect to the caller's table."""
    if effect.statement is None:
        table.drop(effect.name)
    else:
        table.set(effect.name, effect.statement)


def _touch_if_present(statement: PreparedStatement, names: TargetStatements) -> bool:
    """Return whether a statement exists; if so, mark it as just used."""
    if statement.target_name not in names:
        return False
    names.touch(statement.target_name)
    return True


def _is_stale(statement: PreparedStatement, names: TargetStatements) -> bool:
    """Return whether a statement must be closed before it is prepared again."""
    return names.is_stale(statement.target_name)


def _make_close_step(name: str) -> PlannedStep:
    """Return the step that closes a statement on the connection."""
    return PlannedStep(Close(STATEMENT, name).to_wire(), Effect(Edit.DROP, closed=name))


def _make_parse_step(statement: PreparedStatement) -> PlannedStep:
    """Return the step that prepares a statement of an earlier unit."""
    name = statement.target_name
    return PlannedStep(encode_parse(name, statement), Effect(Edit.DROP, added=name))


def _choose_step(
    step: PlannedStep,
    names: TargetStatements,
    present: set[str],
    closed: dict[str, None],
) -> PlannedStep:
    """Return a step, or the replacement of a Parse that is not needed."""
    if step.prepared is None:
        return step
    name = step.prepared.target_name
    exists = name in present or (name in names and name not in closed)
    present.add(name)
    if not exists:
        return step
    effect = step.effect._replace(edit=Edit.AS_PARSE_COMPLETE)
    return PlannedStep(_NOOP_CLOSE, effect)


def _join_steps(steps: tuple[PlannedStep, ...]) -> BuiltRequest:
    """Combine steps into one request."""
    effects = tuple([step.effect for step in steps if step.effect is not None])
    edits = tuple([effect.edit for effect in effects])
    return BuiltRequest(b"".join([step.wire for step in steps]), effects, edits)


def _rename_bind(frame: BindFrame, name: str) -> bytes:
    """Return a Bind with another statement name and otherwise the same contents."""
    names = b"%b\x00%b\x00" % (frame.portal.encode(), name.encode())
    values = frame.wire[frame.values_offset :]
    length = LENGTH_SIZE + len(names) + len(values)
    return b"B" + _LENGTH.pack(length) + names + values
