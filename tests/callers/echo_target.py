"""A minimal target that echoes statements, for tests of the callers' protocol.

A row contains the number of its connection, the statement and the parameters, so that a
test detects a response that was sent to the wrong request. ``rows COUNT SIZE`` returns
that many rows, ``write`` reports a position, ``fail`` returns an error, ``hang`` ends
only when cancelled, ``lost`` aborts the connection, and ``BEGIN``, ``COMMIT`` and
``ROLLBACK`` change the transaction status. Any other statement is echoed.
"""

from itertools import count

from pygwire import BackendConnection, TransactionStatus
from pygwire import messages as m
from twisted.internet.protocol import Factory, Protocol

TEXT = 25


def make_row(*values):
    return m.DataRow([value.encode() for value in values])


def make_description(number):
    names = [f"c{index}" for index in range(number)]
    return m.RowDescription(
        [m.FieldDescription(n, 0, 0, TEXT, -1, -1, 0) for n in names]
    )


def describe(text, values):
    """Return the description of the rows of a statement."""
    return make_description(1 if text.startswith("rows") else 2 + len(values))


class EchoTarget(Protocol):
    """One connection to the target."""

    def __init__(self, factory):
        self.factory = factory
        self.number = next(factory.numbers)
        self.wire = BackendConnection()
        self.status = TransactionStatus.IDLE
        self.statements = {}
        self.portals = {}
        self.failed = False

    def connectionMade(self):
        self.factory.connections[self.number] = self

    def connectionLost(self, reason=None):
        self.factory.connections.pop(self.number, None)

    def dataReceived(self, data):
        for message in self.wire.receive(data):
            self.factory.received.append(message)
            self.handle_message(message)

    def send(self, *messages):
        self.transport.write(b"".join(self.wire.send(x) for x in messages))

    def handle_message(self, message):
        if self.failed and not isinstance(message, m.Sync):
            return
        match message:
            case m.StartupMessage():
                self.send(m.AuthenticationOk(), m.BackendKeyData(self.number, b"mock"))
                self.send(m.ReadyForQuery())
            case m.CancelRequest(process_id=number):
                self.factory.connections[number].fail("57014")
                self.factory.connections[number].ready()
                self.transport.loseConnection()
            case m.Query(query_string=text):
                if self.run(text, (), True):
                    self.ready()
            case m.Parse(statement=name, query=text):
                if name and name in self.statements:
                    self.fail("42P05")
                elif text == "fail":
                    self.fail("42601")
                else:
                    self.statements[name] = message
                    self.send(m.ParseComplete())
            case m.Bind(portal=portal, statement=name, param_values=values):
                if name not in self.statements:
                    self.fail("26000")
                else:
                    self.portals[portal] = self.statements[name].query, values
                    self.send(m.BindComplete())
            case m.Describe(kind="P", name=name):
                self.send(describe(*self.portals[name]))
            case m.Describe(name=name) if name in self.statements:
                text = self.statements[name].query
                types = [TEXT] * text.count("$")
                self.send(m.ParameterDescription(types), describe(text, types))
            case m.Describe():
                self.fail("26000")
            case m.Execute(portal=portal):
                self.run(*self.portals[portal], False)
            case m.Close(kind=kind, name=name):
                (self.statements if kind == "S" else self.portals).pop(name, None)
                self.send(m.CloseComplete())
            case m.Sync():
                self.ready()

    def ready(self):
        self.failed = False
        if self.status is TransactionStatus.IDLE:
            self.portals.clear()
        self.send(m.ReadyForQuery(self.status))

    def fail(self, code, text="failed"):
        self.failed = not isinstance(self.factory.received[-1], m.Query)
        self.send(m.ErrorResponse({"S": "ERROR", "C": code, "M": text}))

    def run(self, text, values, described):
        """Run one statement; return whether it has been answered."""
        match text.split():
            case ["hang"]:
                return False
            case ["lost"]:
                self.transport.abortConnection()
                return False
            case ["fail", *_]:
                self.fail("22012")
            case ["BEGIN"]:
                self.status = TransactionStatus.IN_TRANSACTION
                self.send(m.CommandComplete("BEGIN"))
            case ["COMMIT" | "ROLLBACK" as tag]:
                self.status = TransactionStatus.IDLE
                self.send(m.CommandComplete(tag))
            case ["DISCARD", "ALL"]:
                self.statements.clear()
                self.send(m.CommandComplete("DISCARD ALL"))
            case ["write"]:
                self.send(m.CommandComplete("INSERT 0 1"))
                self.send(m.ParameterStatus("beryltrack.position", "1/7"))
            case ["rows", number, size]:
                rows = [make_row("x" * int(size))] * int(number)
                self.send(*([make_description(1)] if described else []), *rows)
                self.send(m.CommandComplete(f"SELECT {number}"))
            case _:
                row = make_row(str(self.number), text, *map(bytes.decode, values))
                description = [make_description(2)] if described else []
                self.send(*description, row, m.CommandComplete("SELECT 1"))
        return True


class EchoFactory(Factory):
    """Creates connections and records the messages that they receive."""

    noisy = False

    def __init__(self):
        self.numbers = count(1)
        self.connections = {}
        self.received = []

    def buildProtocol(self, addr):
        return EchoTarget(self)
