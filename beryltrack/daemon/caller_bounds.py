"""What bounds the connections that an instance takes."""

from beryltrack.daemon import node_options as options


class CallerBounds:
    """What bounds callers' connections; see `CallerLimits`."""

    stall_timeout = options.STALL_LIMIT
    max_pending = options.MOST_WAITING
    sockets = options.CALLER_SOCKETS

    def __init__(self, get_site):
        self._get_site = get_site

    def get_idle_timeout(self) -> float:
        """Return how long a transaction may rest, seconds; 0 for ever."""
        return self._get_site().transaction_idle


class RelayBounds(CallerBounds):
    """What bounds the sessions of other instances; see `CallerLimits`."""

    stall_timeout = options.RELAY_STALL
    sockets = options.TARGET_SOCKETS
