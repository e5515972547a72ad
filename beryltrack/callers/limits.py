"""Times and sizes that bound the connection of one caller."""

# Seconds from the connection to the end of the log-on.
STARTUP_TIMEOUT = 10.0

# Seconds that a caller may leave an open transaction alone.
TRANSACTION_IDLE_LIMIT = 60.0

# Bytes kept of a caller that sends while a unit of its own runs.
INPUT_LIMIT = 1 << 16

# Seconds that a connection stays open after its last error, so that the caller
# can read it: closing with unread input would reset the connection.
LINGER = 1.0

# Seconds in which the Sync of a batch may follow a Flush that cannot be served.
FLUSH_WAIT = 0.1
