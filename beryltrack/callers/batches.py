"""Data types of planned and built extended-protocol batches; see `extended`."""

from typing import NamedTuple, Protocol

from beryltrack.callers.statements import PreparedStatement
from beryltrack.errors import SqlError
from beryltrack.wire.messages import Edit


class TargetStatements(Protocol):
    """The prepared statements that exist on one target connection."""

    def __contains__(self, name: str) -> bool:
        """Return whether the statement exists."""

    def touch(self, name: str) -> None:
        """Record that the statement exists and has just been used."""

    def remove(self, name: str) -> None:
        """Record that the statement does not exist."""

    def is_stale(self, name: str) -> bool:
        """Return whether the statement exists but must be prepared again."""

    def get_excess(self, new_count: int) -> tuple[str, ...]:
        """Return the statements to close before `new_count` more are prepared."""


class Effect(NamedTuple):
    """The state change that the completion of one Parse or Close causes.

    Parameters
    ----------
    edit : Edit
        How the target's response is changed on its way to the caller.
    added, closed : str
        Statement name that the target then has, or no longer has; empty for
        none.
    name : str or None
        Statement name that changes in the caller's table; None for none.
    statement : PreparedStatement or None
        The statement that the caller's name then refers to; None if the name is
        dropped.
    """

    edit: Edit
    added: str = ""
    closed: str = ""
    name: str | None = None
    statement: PreparedStatement | None = None


class PlannedStep(NamedTuple):
    """One frame of a batch, with the statement names of the targets.

    Parameters
    ----------
    wire : bytes
        The frame.
    effect : Effect or None
        What its completion changes; None if the target does not respond to it with
        ParseComplete or CloseComplete.
    prepared : PreparedStatement or None
        The statement that it prepares under its shared name. Such a frame is sent
        only to connections that lack the statement.
    """

    wire: bytes
    effect: Effect | None = None
    prepared: PreparedStatement | None = None


class BuiltRequest(NamedTuple):
    """A batch as it is sent to one target connection.

    Parameters
    ----------
    wire : bytes
        The frames to send.
    effects : tuple of Effect
        One for each expected ParseComplete or CloseComplete, in order.
    edits : tuple of Edit
        The edits of the effects, for the reader of the response.
    """

    wire: bytes
    effects: tuple[Effect, ...]
    edits: tuple[Edit, ...]


class ExtendedPlan(NamedTuple):
    """A batch with its statements resolved, before a target connection is chosen.

    Parameters
    ----------
    steps : tuple of PlannedStep
        All frames.
    prebuilt : BuiltRequest or None
        The batch for every connection that has all `required` statements; None if
        the batch depends on the connection.
    required : tuple of PreparedStatement
        Named statements of earlier units that must exist on the connection.
    used : tuple of str
        Texts of the statements that it parses, binds or describes.
    executed : tuple of str
        Texts of the statements that it runs, in order, including portals of earlier
        units.
    parsed : tuple of str
        Texts of the statements that it parses, in order.
    error : SqlError or None
        Why the batch cannot be run; None if it can.
    """

    steps: tuple[PlannedStep, ...]
    prebuilt: BuiltRequest | None
    required: tuple[PreparedStatement, ...]
    used: tuple[str, ...]
    executed: tuple[str, ...]
    parsed: tuple[str, ...]
    error: SqlError | None
