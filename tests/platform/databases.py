"""A scripted database of the line protocol on a real socket."""

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from beryltrack.settings.messages import DatabaseSettings, Endpoint
from beryltrack.wire.line_buffer import LineBuffer

HOST = "127.0.0.1"


class ScriptedDatabase(Protocol):
    """Answers each message from the factory's script."""

    def connectionMade(self):
        self.buffer = LineBuffer()
        self.factory.sessions.append(self)

    def dataReceived(self, data):
        for line in self.buffer.feed(data):
            self.factory.seen.append(line)
            answer = self.factory.answer(line)
            if answer is not None:
                self.transport.write(answer)


class DatabaseFactory(Factory):
    """Listens as one database.

    `answers` maps the prefix of a message to its answer; other messages get none.
    `seen` holds all received messages.
    """

    noisy = False
    protocol = ScriptedDatabase

    def __init__(self, **answers):
        self.answers = {
            b"START": b"READY I 3.7\r\n",
            b"QUERY - STATUS": b"DATAROW primary 3 3.9 0 0 1 2\r\n"
            b"COMPLETE -\r\nREADY I 3.7\r\n",
        }
        self.seen = []
        self.sessions = []
        self.port = None

    def answer(self, line):
        return next(
            (text for start, text in self.answers.items() if line.startswith(start)),
            None,
        )

    def listen(self):
        self.port = reactor.listenTCP(0, self, interface=HOST)
        return Endpoint(HOST, self.port.getHost().port)

    def make_settings(self, name="db-1"):
        return DatabaseSettings(name, self.listen(), "zone-a", 10, 3, False)

    def stop(self):
        for session in self.sessions:
            session.transport.abortConnection()
        return self.port.stopListening()
