"""Collects and formats the log lines of all instances about one request."""

import json
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.events.messages import RequestStep

_FINAL_STEPS = frozenset(
    step.value for step in RequestStep if step is not RequestStep.RETRIED
)

REFUSAL_TEXTS = {
    "admission": "the receiving instance had no capacity for more requests",
    "queue_full": "the queue for the database was full",
    "too_late": "it could not have completed in time",
    "unreachable": "the database could not be reached",
    "no_share": "no connection to the database was available to it",
    "leaving": "the database accepted no new work",
    "over_limit": "its account had exceeded its limit",
    "owner_full": "the owner of the connections had reported a full queue",
}
"""Explanation of each refusal reason (the field ``verdict``)."""


class Explanation(NamedTuple):
    """The log lines about one request.

    Parameters
    ----------
    lines : tuple of dict
        All lines about it, oldest first.
    deciding : dict or None
        The last line of a final step, which states the outcome; None without one.
    """

    lines: tuple[dict, ...]
    deciding: dict | None


def read_lines(texts: Iterable[str]) -> Iterable[dict]:
    """Yield the JSON objects in log lines; lines without one are skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def explain_request(request: str, lines: Iterable[dict]) -> Explanation:
    """Return the lines about a request, in chronological order.

    Parameters
    ----------
    request : str
        The request's identifier.
    lines : iterable of dict
        Log lines of any number of instances.

    Returns
    -------
    Explanation
        Without lines if none was logged about it, for example because the budget was
        used up or the instance was killed.
    """
    found = sorted(
        (line for line in lines if _concerns(line, request)),
        key=lambda line: str(line.get("timestamp")),
    )
    ends = [line for line in found if line.get("step") in _FINAL_STEPS]
    return Explanation(tuple(found), ends[-1] if ends else None)


def _concerns(line: dict, request: str) -> bool:
    """Return whether a line is about a request or transaction, alone or with others."""
    identifiers = (line.get("request"), line.get("opened_by"))
    return request in identifiers or request in line.get("requests", ())


def format_line(line: dict) -> str:
    """Return a log line in human-readable form."""
    if "requests" in line:
        return (
            f"{line.get('timestamp')} {line.get('instance')}: {line.get('step')}"
            f" ({line.get('reason') or 'no error'}), like"
            f" {len(line['requests']) - 1} others within a second;"
            f" {line.get('primary') or 'no primary'} in term {line.get('term')}"
            f"{_format_priority(line)}"
        )
    confirmed = line.get("confirmed_ms")
    age = "never proven" if confirmed is None else f"proven {confirmed} ms ago"
    primary = line.get("primary") or "no primary"
    return (
        f"{line.get('timestamp')} {line.get('instance')}: {line.get('step')}"
        f" ({line.get('reason') or 'no error'}) after {line.get('elapsed_ms')} ms;"
        f" target {line.get('target') or 'none'}{_format_via(line)},"
        f" attempt {line.get('attempt')};"
        f" {primary} in term {line.get('term')}, {age};"
        f" settings {line.get('settings_version')};"
        f" pool {line.get('pool_busy')} of {line.get('pool_limit')}"
        f"{_format_priority(line)}{_format_latency(line)}"
    )


def explain_refusal(line: dict) -> str:
    """Return one sentence on why a request was refused, with the values behind it.

    Empty if the line has no refusal reason that `REFUSAL_TEXTS` lists.
    """
    reason = REFUSAL_TEXTS.get(line.get("verdict"))
    if reason is None:
        return ""
    wait, left = line.get("wait_expected_ms"), line.get("aim_left_ms")
    values = [
        "" if wait is None else f"a wait of {wait} ms was expected",
        "" if left is None else _format_latency_left(left),
    ]
    details = ", ".join(filter(None, values))
    return f"It was refused because {reason}{f' ({details})' if details else ''}."


def _format_priority(line: dict) -> str:
    """Return the priority of a request, empty if it is unknown."""
    priority = line.get("priority")
    return "" if priority is None else f"; priority {priority}"


def _format_latency(line: dict) -> str:
    """Return the remaining latency and the expected wait, as far as they are known."""
    wait, left = line.get("wait_expected_ms"), line.get("aim_left_ms")
    parts = (
        "" if left is None else f", {_format_latency_left(left)}",
        "" if wait is None else f", expected wait {wait} ms",
    )
    return "".join(parts)


def _format_latency_left(left: float) -> str:
    """Return how much of a target latency remains, or by how much it is exceeded."""
    if left < 0:
        return f"its target latency was exceeded by {-left} ms"
    return f"{left} ms of its target latency remained"


def _format_via(line: dict) -> str:
    """Return the owner through which a request went; empty if it went directly."""
    return f" through {line['way']}" if line.get("way") else ""
