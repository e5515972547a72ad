"""Rewriting batches of the extended protocol for pooled target connections.

A batch is planned once: which statements it uses and runs. For each target
connection that it is tried on it is then built: statements that the connection
lacks are prepared first, names are exchanged, and a list of edits tells how
the answers to Parse and Close are matched to what the caller sent. What the
target really completed is applied to the tables afterwards.
"""

import struct
from collections.abc import Iterable, Iterator
from itertools import chain, islice
from typing import NamedTuple, Protocol

from pygwire.messages import Close, Describe

from beryltrack.callers.messages import (
    BindFrame,
    CloseFrame,
    DescribeFrame,
    ExecuteFrame,
    ExtendedRequest,
    Frame,
    ParseFrame,
)
from beryltrack.callers.statements import (
    PreparedStatement,
    StatementTable,
    encode_parse,
    make_full_error,
    make_statement,
)
from beryltrack.errors import SqlError
from beryltrack.wire.framing import LENGTH_SIZE
from beryltrack.wire.messages import Edit

_LENGTH = struct.Struct("!I")

STATEMENT = "S"

# A name that no statement has: closing it always succeeds and does nothing. Its
# CloseComplete stands in for the answer to a Parse or Close that the target
# need not see.
_NO_STATEMENT = "beryltrack_none"
_CLOSE_NOTHING = Close(STATEMENT, _NO_STATEMENT).to_wire()


class TargetNames(Protocol):
    """The statements that exist on one target connection."""

    def __contains__(self, name: str) -> bool:
        """Return whether the statement exists."""

    def touch(self, name: str) -> None:
        """Note that the statement exists and is used now."""

    def forget(self, name: str) -> None:
        """Note that the statement does not exist."""

    def is_stale(self, name: str) -> bool:
        """Return whether the statement exists but must be prepared anew."""

    def get_excess(self, coming: int) -> tuple[str, ...]:
        """Return the names to close before `coming` more are prepared."""


class Effect(NamedTuple):
    """What the completion of one Parse or Close means.

    Parameters
    ----------
    edit : Edit
        What becomes of the target's answer.
    added, closed : str
        Name that exists on the target from then on, or does not; empty for
        none.
    name : str or None
        The caller's name that changes; None for none.
    statement : PreparedStatement or None
        What the caller's name means then; None if it is dropped.
    """

    edit: Edit
    added: str = ""
    closed: str = ""
    name: str | None = None
    statement: PreparedStatement | None = None


class PlannedFrame(NamedTuple):
    """One frame of a batch and the statement that it is about.

    Parameters
    ----------
    frame : Frame
        The frame as the caller sent it.
    statement : PreparedStatement or None
        The statement that it parses or uses; None if none is known.
    """

    frame: Frame
    statement: PreparedStatement | None


class ExtendedPlan(NamedTuple):
    """What a batch does.

    Parameters
    ----------
    frames : tuple of PlannedFrame
        All frames with their statements.
    needed : tuple of PreparedStatement
        Statements from earlier units that a connection must know by name.
    unnamed : PreparedStatement or None
        The unnamed statement, if the batch uses it from an earlier unit.
    executed : tuple of str
        Texts of the statements that it runs, in order. A portal from an
        earlier unit counts as well.
    parsed : tuple of str
        Texts of the statements that it parses, in order.
    error : SqlError or None
        Why the batch cannot be run at all.
    """

    frames: tuple[PlannedFrame, ...]
    needed: tuple[PreparedStatement, ...]
    unnamed: PreparedStatement | None
    executed: tuple[str, ...]
    parsed: tuple[str, ...]
    error: SqlError | None


class BuiltRequest(NamedTuple):
    """A batch as it goes to one target connection.

    Parameters
    ----------
    wire : bytes
        The frames to send.
    effects : tuple of Effect
        One for each ParseComplete or CloseComplete to come, in order.
    """

    wire: bytes
    effects: tuple[Effect, ...]

    @property
    def edits(self) -> tuple[Edit, ...]:
        """The edits for the reader of the answer."""
        return tuple(effect.edit for effect in self.effects)


def plan_extended(request: ExtendedRequest, table: StatementTable) -> ExtendedPlan:
    """Return what a batch does.

    Parameters
    ----------
    request : ExtendedRequest
        The batch.
    table : StatementTable
        The caller's statements and portals; portals made by the batch are
        added to it.

    Returns
    -------
    ExtendedPlan
        The plan. It holds for this caller only.
    """
    planner = _Planner(table)
    frames = tuple(planner.plan(frame) for frame in request.messages)
    parses = any(isinstance(frame, ParseFrame) for frame in request.messages)
    return ExtendedPlan(
        frames,
        tuple(planner.needed.values()),
        planner.unnamed,
        tuple(planner.executed),
        tuple(planner.parsed),
        make_full_error() if parses and table.is_full else None,
    )


class _Planner:
    """Follows the names of a batch, frame by frame."""

    def __init__(self, table: StatementTable):
        self.needed: dict[str, PreparedStatement] = {}
        self.unnamed: PreparedStatement | None = None
        self.executed: list[str] = []
        self.parsed: list[str] = []
        self._table = table
        self._parsed_names: dict[str, PreparedStatement | None] = {}

    def plan(self, frame: Frame) -> PlannedFrame:
        """Return the frame with the statement that it is about."""
        match frame:
            case ParseFrame():
                return PlannedFrame(frame, self._parse(frame))
            case BindFrame():
                statement = self._use(frame.statement)
                if statement is not None:
                    self._table.set_portal(frame.portal, statement)
                return PlannedFrame(frame, statement)
            case DescribeFrame(kind="S"):
                return PlannedFrame(frame, self._use(frame.name))
            case ExecuteFrame():
                return PlannedFrame(frame, self._execute(frame))
            case CloseFrame():
                self._close(frame)
        return PlannedFrame(frame, None)

    def _parse(self, frame: ParseFrame) -> PreparedStatement:
        """Return the statement that a Parse makes."""
        statement = make_statement(frame.text, frame.types)
        self._parsed_names[frame.name] = statement
        self.parsed.append(frame.text)
        return statement

    def _use(self, name: str) -> PreparedStatement | None:
        """Return the statement of a name and note that it has to be there."""
        if name in self._parsed_names:
            return self._parsed_names[name]
        statement = self._table.get(name)
        if statement is None:
            return None
        if name:
            self.needed[statement.target_name] = statement
        else:
            self.unnamed = statement
        return statement

    def _execute(self, frame: ExecuteFrame) -> PreparedStatement | None:
        """Note what an Execute runs."""
        statement = self._table.get_portal(frame.portal)
        if statement is not None:
            self.executed.append(statement.text)
        return statement

    def _close(self, frame: CloseFrame) -> None:
        """Note what a Close takes away."""
        if frame.kind == STATEMENT:
            self._parsed_names[frame.name] = None
        else:
            self._table.drop_portal(frame.name)


def build_extended(plan: ExtendedPlan, names: TargetNames) -> BuiltRequest:
    """Return a planned batch as one target connection needs it.

    Parameters
    ----------
    plan : ExtendedPlan
        The plan.
    names : TargetNames
        The statements that exist on the connection.

    Returns
    -------
    BuiltRequest
        What to send and what its completion means.
    """
    missing = [entry for entry in plan.needed if not _touch(entry, names)]
    coming = len(missing) + len(plan.parsed)
    present = {entry.target_name for entry in plan.needed}
    excess = [name for name in names.get_excess(coming) if name not in present]
    stale = chain(missing, (entry.statement for entry in plan.frames))
    closed = dict.fromkeys(chain(excess, _get_stale(stale, names)))
    parts = chain(
        (_close(name) for name in closed),
        (_prepare_missing(statement) for statement in missing),
        _prepare_unnamed(plan.unnamed),
        (_build_frame(entry, names, present, excess) for entry in plan.frames),
    )
    wires, effects = zip(*parts, strict=True)
    return BuiltRequest(b"".join(wires), tuple(filter(None, effects)))


def apply_effects(
    effects: tuple[Effect, ...],
    completed: int,
    names: TargetNames,
    table: StatementTable,
) -> None:
    """Apply what a target completed to its names and the caller's table.

    Parameters
    ----------
    effects : tuple of Effect
        The effects of the built batch.
    completed : int
        How many of them the target completed, see `ResponseEnd`.
    names : TargetNames
        The statements on the connection.
    table : StatementTable
        The caller's statements.
    """
    for effect in islice(effects, completed):
        if effect.added:
            names.touch(effect.added)
        if effect.closed:
            names.forget(effect.closed)
        if effect.name is not None:
            _apply_to_table(effect, table)


def _apply_to_table(effect: Effect, table: StatementTable) -> None:
    """Apply one effect to the caller's table."""
    if effect.statement is None:
        table.drop(effect.name)
    else:
        table.set(effect.name, effect.statement)


def _touch(statement: PreparedStatement, names: TargetNames) -> bool:
    """Return whether a statement exists; if so, note that it is used now."""
    if statement.target_name not in names:
        return False
    names.touch(statement.target_name)
    return True


def _get_stale(
    statements: Iterable[PreparedStatement | None], names: TargetNames
) -> Iterator[str]:
    """Return the names among statements that must be closed before use."""
    targets = (entry.target_name for entry in statements if entry is not None)
    return filter(names.is_stale, targets)


def _close(name: str) -> tuple[bytes, Effect]:
    """Close a statement on the connection."""
    return Close(STATEMENT, name).to_wire(), Effect(Edit.DROP, closed=name)


def _prepare_missing(statement: PreparedStatement) -> tuple[bytes, Effect]:
    """Prepare a statement of an earlier unit on the connection."""
    name = statement.target_name
    return encode_parse(name, statement), Effect(Edit.DROP, added=name)


def _prepare_unnamed(
    statement: PreparedStatement | None,
) -> Iterator[tuple[bytes, Effect]]:
    """Prepare the unnamed statement of an earlier unit again."""
    if statement is not None:
        yield encode_parse("", statement), Effect(Edit.DROP)


def _build_frame(
    planned: PlannedFrame, names: TargetNames, present: set[str], excess: list[str]
) -> tuple[bytes, Effect | None]:
    """Return one frame as the target needs it, and what its completion means."""
    frame, statement = planned
    match frame:
        case ParseFrame(name=""):
            return frame.wire, Effect(Edit.PASS, name="", statement=statement)
        case ParseFrame():
            return _build_parse(frame, statement, names, present, excess)
        case CloseFrame(kind="S"):
            return _CLOSE_NOTHING, Effect(Edit.PASS, name=frame.name)
        case CloseFrame():
            return frame.wire, Effect(Edit.PASS)
        case BindFrame() if frame.statement and statement is not None:
            return _rename_bind(frame, statement.target_name), None
        case DescribeFrame(kind="S") if frame.name and statement is not None:
            return Describe(STATEMENT, statement.target_name).to_wire(), None
    return frame.wire, None


def _build_parse(
    frame: ParseFrame,
    statement: PreparedStatement,
    names: TargetNames,
    present: set[str],
    excess: list[str],
) -> tuple[bytes, Effect]:
    """Prepare a named statement, unless the connection has it already."""
    name = statement.target_name
    exists = name in present or (name in names and name not in excess)
    present.add(name)
    if exists:
        edit = Edit.AS_PARSE_COMPLETE
        return _CLOSE_NOTHING, Effect(edit, name=frame.name, statement=statement)
    effect = Effect(Edit.PASS, added=name, name=frame.name, statement=statement)
    return encode_parse(name, statement), effect


def _rename_bind(frame: BindFrame, name: str) -> bytes:
    """Return a Bind with another statement name and the same bytes else."""
    names = b"%b\x00%b\x00" % (frame.portal.encode(), name.encode())
    length = LENGTH_SIZE + len(names) + len(frame.wire) - frame.values_at
    return b"".join(
        (b"B", _LENGTH.pack(length), names, memoryview(frame.wire)[frame.values_at :])
    )
