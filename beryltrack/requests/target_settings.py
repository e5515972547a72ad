"""Session settings such as ``search_path`` on pooled target connections.

The proxy stores each caller's settings. Before a connection serves a caller, the
settings in which it differs are applied, so that no caller sees another's settings.
"""

from weakref import WeakKeyDictionary

from beryltrack.callers.caller import Caller
from beryltrack.connections.target import TargetConnection
from beryltrack.requests.ledger import quote_literal
from beryltrack.sessions.request_options import SETTING_PREFIX

# The same on all connections, and reported to the caller at start-up.
_FIXED = frozenset(
    ("application_name", "client_encoding", "database", "replication", "user")
)


class TargetSettings:
    """Tracks the non-default settings of each connection."""

    def __init__(self):
        self._applied: WeakKeyDictionary[TargetConnection, dict[str, str]] = (
            WeakKeyDictionary()
        )

    def get_change(self, connection: TargetConnection, caller: Caller) -> str:
        """Return the statements that apply a caller's settings to a connection.

        Parameters
        ----------
        connection : TargetConnection
            The connection.
        caller : Caller
            The caller that it serves next.

        Returns
        -------
        str
            The statements; empty if no setting differs, as is usual.
        """
        applied = self._applied.get(connection, {})
        wanted = get_target_settings(caller)
        if applied == wanted:
            return ""
        resets = (f"RESET {name}" for name in applied if name not in wanted)
        changed = (
            f"SET {name} TO {quote_literal(value)}"
            for name, value in wanted.items()
            if applied.get(name) != value
        )
        return "; ".join([*resets, *changed])

    def record_applied(self, connection: TargetConnection, caller: Caller) -> None:
        """Record that a connection has a caller's settings."""
        self._applied[connection] = get_target_settings(caller)


def get_target_settings(caller: Caller) -> dict[str, str]:
    """Return the caller's settings that apply to targets."""
    return {
        name: value
        for name, value in caller.settings.items()
        if name not in _FIXED and not name.startswith(SETTING_PREFIX)
    }
