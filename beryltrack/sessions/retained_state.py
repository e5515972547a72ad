"""State that a session retains between transactions: values, prepared statements.

An instance answers the statements that set this state itself, and sets up the same
state on each connection that it lends to the session.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_RETAINED = 1000
"""Maximum number of values, and of prepared statements, of one session: far more than
callers use, and few enough that 2,000 sessions of one instance fit into its memory."""


class StatementShape(NamedTuple):
    """A prepared statement: its mode (READ or WRITE) and its text (the shape)."""

    mode: bytes
    text: bytes


@dataclass
class RetainedState:
    """The values and prepared statements of a session.

    Parameters
    ----------
    values : dict of bytes to bytes
        Values by name.
    prepared : dict of bytes to StatementShape
        Prepared statements by the names that the session gave them.
    """

    values: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, StatementShape] = field(default_factory=dict)

    def set_value(self, name: bytes, value: bytes) -> bool:
        """Set a value; return False if the session has too many."""
        return _set_entry(self.values, name, value)

    def prepare(self, name: bytes, shape: StatementShape) -> bool:
        """Add a prepared statement; return False if the session has too many."""
        return _set_entry(self.prepared, name, shape)

    def deallocate(self, name: bytes) -> bool:
        """Remove a prepared statement; return False if the name is unknown."""
        return self.prepared.pop(name, None) is not None

    def reset(self) -> None:
        """Clear the state."""
        self.values.clear()
        self.prepared.clear()


def _set_entry(entries: dict, name: bytes, value: object) -> bool:
    """Set an entry; return False if it would exceed `MAX_RETAINED`."""
    if name not in entries and len(entries) >= MAX_RETAINED:
        return False
    entries[name] = value
    return True
