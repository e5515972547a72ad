"""A fake connection without a socket, and a fake target that opens them."""

from twisted.internet.defer import Deferred


class FakeConnection:
    """A connection that is closed as soon as `close` is called."""

    def __init__(self):
        self.broken = False
        self.closed = Deferred()

    def close(self):
        if not self.closed.called:
            self.closed.callback(None)


class FakeTarget:
    """Opens connections at once, or when the test calls `finish_one`."""

    def __init__(self, at_once=True):
        self.at_once = at_once
        self.pending = []
        self.connections = []
        self.failure = None

    @property
    def open_count(self):
        return sum(not connection.closed.called for connection in self.connections)

    def connect(self, account=""):
        result = Deferred()
        self.pending.append(result)
        if self.at_once:
            self.finish_one()
        return result

    def finish_one(self):
        result = self.pending.pop(0)
        if self.failure is not None:
            result.errback(self.failure)
            return
        connection = FakeConnection()
        self.connections.append(connection)
        result.callback(connection)
