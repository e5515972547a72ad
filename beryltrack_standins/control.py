"""HTTP control endpoint of a local site: fault injection and state of the stand-ins."""

import json
from collections.abc import Mapping

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from beryltrack_standins.database.control_calls import format_position
from beryltrack_standins.database.server import DatabaseServer
from beryltrack_standins.platform.server import PlatformServer

HOST = "127.0.0.1"
PLATFORM = "platform"
DATABASE_FAULTS = (
    "stop",
    "start",
    "isolate",
    "heal",
    "lag",
    "leave",
    "freeze",
    "thaw",
)


class ControlServer(Resource):
    """Injects faults (``POST /faults``) and returns the state (``GET /state``).

    Parameters
    ----------
    reactor : reactor
        The reactor.
    databases : mapping of str to DatabaseServer
        The databases by name.
    platform : PlatformServer
        The platform.
    """

    isLeaf = True

    def __init__(
        self, reactor, databases: Mapping[str, DatabaseServer], platform: PlatformServer
    ):
        super().__init__()
        self._reactor = reactor
        self._databases = databases
        self._platform = platform
        self._port: IListeningPort | None = None

    @property
    def url(self) -> str:
        """The base address."""
        return f"http://{HOST}:{self._port.getHost().port}"

    def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        site = Site(self)
        site.noisy = False
        site.log = lambda request: None
        self._port = self._reactor.listenTCP(0, site, interface=HOST)

    def stop(self) -> Deferred[None]:
        """Stop listening."""
        return self._port.stopListening()

    def render_POST(self, request: Request) -> bytes:
        """Inject the fault in the request body."""
        try:
            body = json.loads(request.content.read())
            self.set_fault(body["target"], body["fault"], body.get("value"))
        except (ValueError, KeyError, TypeError) as error:
            request.setResponseCode(400)
            return _format_body({"error": f"{type(error).__name__}: {error}"})
        return _format_body({})

    def render_GET(self, request: Request) -> bytes:
        """Return the state of the stand-ins."""
        return _format_body(self.get_state())

    def set_fault(self, target: str, fault: str, value: object = None) -> None:
        """Inject a fault.

        Parameters
        ----------
        target : str
            A database's name, or ``platform``.
        fault : str
            One of `DATABASE_FAULTS`, or one of the platform's ``FAULTS``.
        value : object
            ``lag`` and ``slow``: seconds; ``leave``: False ends it; ``lose_answers``:
            the number of answers, all by default.

        Raises
        ------
        ValueError
            If the target or the fault is not known.
        """
        if target == PLATFORM:
            self._platform.set_fault(fault, value)
        elif target in self._databases:
            _set_database_fault(self._databases[target], fault, value)
        else:
            raise ValueError(f"no such target: {target}")

    def get_state(self) -> dict[str, object]:
        """Return the state of all stand-ins as a JSON object."""
        databases = {
            name: _describe_database(server) for name, server in self._databases.items()
        }
        calls = dict(self._platform.calls)
        platform = {"down": self._platform.faults.down, "calls": calls}
        return {"databases": databases, "platform": platform}


def _set_database_fault(server: DatabaseServer, fault: str, value: object) -> None:
    """Inject a fault into a database."""
    database = server.database
    match fault:
        case "stop":
            server.stop()
        case "start":
            server.start()
        case "isolate":
            database.isolated = True
        case "heal":
            database.isolated = False
        case "freeze":
            server.set_frozen(True)
        case "thaw":
            server.set_frozen(False)
        case "lag":
            database.set_apply_lag(float(value or 0.0))
        case "leave":
            database.set_leaving(value is not False)
        case _:
            raise ValueError(f"no such fault: {fault}")


def _describe_database(server: DatabaseServer) -> dict[str, object]:
    """Return the state of one database as a JSON object."""
    database = server.database
    status = database.status
    return {
        "role": status.role,
        "term": status.term,
        "received": format_position(status.received),
        "applied": format_position(status.applied),
        "history": status.history,
        "running": database.running,
        "isolated": database.isolated,
        "frozen": database.frozen,
        "leaving": status.leaving,
        "lag": database.apply_lag,
        "connections": server.counts._asdict(),
    }


def _format_body(value: object) -> bytes:
    """Return a value as a JSON body."""
    return json.dumps(value).encode()
