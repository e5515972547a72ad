"""Limits on the connections that an instance accepts."""

from beryltrack.daemon import node_options as options


class CallerConnectionLimits:
    """Limits on callers' connections; see `CallerLimits`."""

    stall_timeout = options.STALL_LIMIT
    max_pending = options.MAX_PIPELINED_STATEMENTS
    sockets = options.CALLER_SOCKETS

    def __init__(self, get_site):
        self._get_site = get_site

    def get_idle_timeout(self) -> float:
        """Return how long a transaction may be idle, seconds; 0 for no limit."""
        return self._get_site().transaction_idle


class RelayConnectionLimits(CallerConnectionLimits):
    """Limits on the sessions of other instances; see `CallerLimits`."""

    stall_timeout = options.RELAY_STALL_LIMIT
    sockets = options.TARGET_SOCKETS
