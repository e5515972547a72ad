"""Timeouts and size limits of one caller's connection."""

# Seconds from the TCP connection to the end of the log-on.
STARTUP_TIMEOUT = 10.0

# Seconds that a caller may stay idle in an open transaction.
TRANSACTION_IDLE_TIMEOUT = 60.0

# Bytes buffered from a caller that sends while one of its units runs; beyond them
# reading from its connection pauses.
INPUT_LIMIT = 1 << 16

# Seconds that a connection stays open after its last error, so that the caller can
# read the error: closing a socket with unread input resets the connection.
LINGER_TIMEOUT = 1.0

# Seconds to wait for the Sync of a batch after a Flush that cannot be served.
FLUSH_SYNC_TIMEOUT = 0.1
