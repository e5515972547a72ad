"""Refusals of callers whose database is not in the settings are logged."""

from types import SimpleNamespace

from beryltrack.errors import INVALID_CATALOG_NAME, SqlError
from beryltrack.events.messages import RequestStep
from beryltrack.requests.task import RequestTask

UNKNOWN = SqlError(INVALID_CATALOG_NAME, "no route serves orders")


class Events:
    """Records events, within its budget of log lines."""

    def __init__(self, has_room=True):
        self.has_room = has_room
        self.events = []
        self.noted = []

    def reserve_line(self, step):
        return self.has_room

    def record(self, event):
        self.events.append(event)

    def record_shared(self, request, shared):
        self.noted.append((request, shared.step, shared.reason))


class Caller:
    """A caller that asks for a database without a route."""

    account = ""
    database = "orders"
    status = None
    session = SimpleNamespace(pinned=None)

    def __init__(self):
        self.errors = []

    def send_error(self, error):
        self.errors.append(error)

    def send_ready(self, status):
        pass


def make_task(events):
    protocol = SimpleNamespace(
        check_session=lambda caller: UNKNOWN,
        describe_missing=lambda caller: UNKNOWN,
        get_request_id=lambda unit: unit,
    )
    services = SimpleNamespace(protocol=protocol, events=events)
    settings = SimpleNamespace(revision=58)
    return RequestTask(services, lambda: settings, lambda name: None)


def test_a_refused_session_is_logged_with_its_database_and_settings_version():
    events = Events()
    assert make_task(events).check_session(Caller()) is UNKNOWN
    (event,) = events.events
    assert (event.database, event.kind, event.step) == (
        "orders",
        "session",
        RequestStep.NOT_RUN,
    )
    assert (event.reason, event.settings_version) == (UNKNOWN.message, 58)


def test_a_statement_without_a_database_is_logged_by_its_identifier():
    events, caller = Events(), Caller()
    make_task(events).handle("r-1", caller)
    assert [(each.request, each.kind) for each in events.events] == [
        ("r-1", "statement")
    ]
    assert caller.errors == [UNKNOWN]


def test_beyond_the_line_budget_the_identifier_is_recorded():
    events = Events(has_room=False)
    make_task(events).handle("r-1", Caller())
    assert events.noted == [("r-1", RequestStep.NOT_RUN, UNKNOWN.message)]
