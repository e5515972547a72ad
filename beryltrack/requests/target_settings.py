"""Session settings such as ``search_path`` on pooled target connections.

A caller's settings live at the proxy. Before a connection serves a caller, it is
given the settings in which it differs, so that no setting of one caller is
ever seen by another.
"""

from weakref import WeakKeyDictionary

from beryltrack.callers.caller import Caller
from beryltrack.connections.target import TargetConnection
from beryltrack.requests.ledger import quote_literal
from beryltrack.sessions.request_options import SETTING_PREFIX

# Reported to the caller at its start-up, and the same on all connections.
_FIXED = frozenset(
    ("application_name", "client_encoding", "database", "replication", "user")
)


class TargetSettings:
    """Remembers which settings each connection has beside its defaults."""

    def __init__(self):
        self._applied: WeakKeyDictionary[TargetConnection, dict[str, str]] = (
            WeakKeyDictionary()
        )

    def get_change(self, connection: TargetConnection, caller: Caller) -> str:
        """Return the statements that give a connection a caller's settings.

        Parameters
        ----------
        connection : TargetConnection
            The connection.
        caller : Caller
            The caller that it is to serve.

        Returns
        -------
        str
            Empty in the usual case that nothing differs.
        """
        applied = self._applied.get(connection, {})
        wanted = get_target_settings(caller)
        if applied == wanted:
            return ""
        gone = (f"RESET {name}" for name in applied if name not in wanted)
        changed = (
            f"SET {name} TO {quote_literal(value)}"
            for name, value in wanted.items()
            if applied.get(name) != value
        )
        return "; ".join([*gone, *changed])

    def record_applied(self, connection: TargetConnection, caller: Caller) -> None:
        """Note that a connection now has a caller's settings."""
        self._applied[connection] = get_target_settings(caller)


def get_target_settings(caller: Caller) -> dict[str, str]:
    """Return those of a caller's settings that concern its targets."""
    return {
        name: value
        for name, value in caller.settings.items()
        if name not in _FIXED and not name.startswith(SETTING_PREFIX)
    }
