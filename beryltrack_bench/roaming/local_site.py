"""Client of a running local site: its ready line and its control endpoint."""

import json
import time
import urllib.request
from typing import NamedTuple

from beryltrack.findings import Finding

PLATFORM = "platform"
# Times in seconds.
_HTTP_TIMEOUT = 10.0
_POLL_INTERVAL = 0.01


class ReadyLine(NamedTuple):
    """The line that a local site prints when it is ready.

    Parameters
    ----------
    proxies : tuple of str
        Addresses of the proxies, ``HOST:PORT``.
    databases : dict of str to str
        Addresses of the databases by name.
    control : str
        Base address of the control endpoint.
    """

    proxies: tuple[str, ...]
    databases: dict[str, str]
    control: str


class DatabaseState(NamedTuple):
    """State of one database as reported by the control endpoint.

    Parameters
    ----------
    name : str
        Its name.
    role : str
        ``primary`` or ``replica``.
    term : int
        Its term.
    received, applied : str
        Its positions, ``TERM/OFFSET``.
    peak_connections : int
        The maximum number of connections open at once.
    """

    name: str
    role: str
    term: int
    received: str
    applied: str
    peak_connections: int


def parse_ready_line(text: str, source: str) -> tuple[ReadyLine | None, list[Finding]]:
    """Parse the ready line of a local site.

    Parameters
    ----------
    text : str
        The line.
    source : str
        Name of its source, used in findings.

    Returns
    -------
    ready : ReadyLine or None
        The addresses; None if there are findings.
    findings : list of Finding
        Missing or malformed fields.
    """
    try:
        body = json.loads(text)
    except ValueError as error:
        return None, [Finding(source, "", f"not JSON: {error}")]
    if not isinstance(body, dict):
        return None, [Finding(source, "", "not a JSON object")]
    kinds = {"proxies": list, "databases": dict, "control": str}
    findings = [
        Finding(source, f"/{name}", "missing, empty or of the wrong type")
        for name, kind in kinds.items()
        if not isinstance(body.get(name), kind) or not body[name]
    ]
    if findings:
        return None, findings
    return ReadyLine(tuple(body["proxies"]), body["databases"], body["control"]), []


def set_fault(site: ReadyLine, target: str, fault: str, value: object = None) -> None:
    """Inject a fault; raise OSError if the control endpoint refuses it."""
    body = json.dumps({"target": target, "fault": fault, "value": value}).encode()
    request = urllib.request.Request(f"{site.control}/faults", body, method="POST")
    with urllib.request.urlopen(request, timeout=_HTTP_TIMEOUT):
        pass


def get_states(site: ReadyLine) -> tuple[DatabaseState, ...]:
    """Return the state of each database."""
    url = f"{site.control}/state"
    with urllib.request.urlopen(url, timeout=_HTTP_TIMEOUT) as answer:
        body = json.load(answer)
    return tuple(
        DatabaseState(
            name,
            item["role"],
            item["term"],
            item["received"],
            item["applied"],
            item["connections"]["peak"],
        )
        for name, item in body["databases"].items()
    )


def find_primary(site: ReadyLine) -> DatabaseState | None:
    """Return the primary of the highest term; None if there is none."""
    states = get_states(site)
    primaries = (state for state in states if state.role == "primary")
    return max(primaries, key=lambda state: state.term, default=None)


def wait_for_primary(
    site: ReadyLine, after_term: int, timeout: float
) -> DatabaseState | None:
    """Wait for a primary of a later term; return None after the timeout."""
    found = None

    def is_found() -> bool:
        nonlocal found
        found = find_primary(site)
        return found is not None and found.term > after_term

    return found if _poll(is_found, timeout) else None


def wait_for_agreement(site: ReadyLine, timeout: float) -> bool:
    """Wait until all databases have applied the same position."""
    return _poll(lambda: _is_agreed(get_states(site)), timeout)


def _is_agreed(states: tuple[DatabaseState, ...]) -> bool:
    """Return whether all databases have received and applied the same position."""
    positions = {state.received for state in states}
    return len(positions | {state.applied for state in states}) == 1


def _poll(condition, timeout: float) -> bool:
    """Poll a condition until it holds; return False after the timeout."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(_POLL_INTERVAL)
    return True
