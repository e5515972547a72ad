"""What planning a batch of the extended protocol gives; see `extended`."""

from typing import NamedTuple, Protocol

from beryltrack.callers.statements import PreparedStatement
from beryltrack.errors import SqlError
from beryltrack.wire.messages import Edit


class TargetNames(Protocol):
    """The statements that exist on one target connection."""

    def __contains__(self, name: str) -> bool:
        """Return whether the statement exists."""

    def touch(self, name: str) -> None:
        """Note that the statement exists and is used now."""

    def remove(self, name: str) -> None:
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


class PlannedStep(NamedTuple):
    """One frame of a batch, with the names that targets know.

    Parameters
    ----------
    wire : bytes
        The frame.
    effect : Effect or None
        What its completion means; None if the target does not answer it with
        ParseComplete or CloseComplete.
    prepared : PreparedStatement or None
        The statement that it prepares under its shared name; such a frame is
        sent only to connections that lack the statement.
    """

    wire: bytes
    effect: Effect | None = None
    prepared: PreparedStatement | None = None


class BuiltRequest(NamedTuple):
    """A batch as it goes to one target connection.

    Parameters
    ----------
    wire : bytes
        The frames to send.
    effects : tuple of Effect
        One for each ParseComplete or CloseComplete to come, in order.
    edits : tuple of Edit
        The edits of the effects, for the reader of the answer.
    """

    wire: bytes
    effects: tuple[Effect, ...]
    edits: tuple[Edit, ...]


class ExtendedPlan(NamedTuple):
    """What a batch does.

    Parameters
    ----------
    steps : tuple of PlannedStep
        All frames.
    common : BuiltRequest or None
        The batch as each connection takes it that has all `needed`; None if
        that depends on the connection.
    needed : tuple of PreparedStatement
        Statements from earlier units that a connection must know by name.
    used : tuple of str
        Texts of the statements that it parses, binds or describes.
    executed : tuple of str
        Texts of the statements that it runs, in order. A portal from an
        earlier unit counts as well.
    parsed : tuple of str
        Texts of the statements that it parses, in order.
    error : SqlError or None
        Why the batch cannot be run at all.
    """

    steps: tuple[PlannedStep, ...]
    common: BuiltRequest | None
    needed: tuple[PreparedStatement, ...]
    used: tuple[str, ...]
    executed: tuple[str, ...]
    parsed: tuple[str, ...]
    error: SqlError | None
