"""What a session keeps beside its transactions: values and prepared statements.

An instance answers by itself what sets them, and brings each connection that it lends
to the session to the same state.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_RETAINED = 1000
"""Values, and prepared statements, that one session may keep: far more than callers
use, and few enough that 2,000 sessions of one instance fit into its memory."""


class StatementShape(NamedTuple):
    """What a prepared statement does: its mode (READ or WRITE) and its shape."""

    mode: bytes
    text: bytes


@dataclass
class RetainedState:
    """What a session has set and prepared.

    Parameters
    ----------
    values : dict of bytes to bytes
        Session values by name.
    prepared : dict of bytes to StatementShape
        Prepared statements by the session's names.
    """

    values: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, StatementShape] = field(default_factory=dict)

    def set_value(self, name: bytes, value: bytes) -> bool:
        """Keep a value; return False if the session keeps too many."""
        return _keep(self.values, name, value)

    def prepare(self, name: bytes, shape: StatementShape) -> bool:
        """Keep a prepared statement; return False if the session keeps too many."""
        return _keep(self.prepared, name, shape)

    def deallocate(self, name: bytes) -> bool:
        """Drop a prepared statement; return False if there is none of this name."""
        return self.prepared.pop(name, None) is not None

    def reset(self) -> None:
        """Keep nothing."""
        self.values.clear()
        self.prepared.clear()


def _keep(kept: dict, name: bytes, value: object) -> bool:
    """Keep a value under a name unless that is one too many."""
    if name not in kept and len(kept) >= MAX_RETAINED:
        return False
    kept[name] = value
    return True
