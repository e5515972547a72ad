"""Puts together what all instances logged of one request."""

import json
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.events.messages import RequestStep

_FINAL = frozenset(
    step.value for step in RequestStep if step is not RequestStep.RETRIED
)

REFUSAL_TEXTS = {
    "admission": "the instance that it came to had no room for more requests",
    "queue_full": "too many requests waited for the database already",
    "too_late": "it could not have been done in time",
    "unreachable": "the database could not be reached",
    "no_share": "no connection to the database was left for it",
    "leaving": "the database takes no new work",
    "over_limit": "its account was over its limit",
    "owner_full": "an owner of the connections had told that too much waited there",
}
"""What the word of a refusal means."""


class Explanation(NamedTuple):
    """What is known of one request.

    Parameters
    ----------
    lines : tuple of dict
        What was logged of it, oldest first.
    deciding : dict or None
        The line that says how it ended.
    """

    lines: tuple[dict, ...]
    deciding: dict | None


def read_lines(texts: Iterable[str]) -> Iterable[dict]:
    """Return the JSON objects among lines of logs; others are passed over."""
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
    """Return what was logged of a request, in the order of time.

    Parameters
    ----------
    request : str
        The request's identifier.
    lines : iterable of dict
        Lines of the logs of any number of instances.

    Returns
    -------
    Explanation
        Without lines if nothing was logged of it, for example as the budget had
        no room or the instance was killed.
    """
    found = sorted(
        (line for line in lines if _tells_of(line, request)),
        key=lambda line: str(line.get("timestamp")),
    )
    ends = [line for line in found if line.get("step") in _FINAL]
    return Explanation(tuple(found), ends[-1] if ends else None)


def _tells_of(line: dict, request: str) -> bool:
    """Return whether a line tells of a request, of its transaction, or of many."""
    own = (line.get("request"), line.get("opened_by"))
    return request in own or request in line.get("requests", ())


def format_line(line: dict) -> str:
    """Return a line as an engineer reads it."""
    if "requests" in line:
        return (
            f"{line.get('timestamp')} {line.get('instance')}: {line.get('step')}"
            f" ({line.get('reason') or 'no trouble'}), like"
            f" {len(line['requests']) - 1} others within a second;"
            f" {line.get('primary') or 'no primary'} in term {line.get('term')}"
            f"{_format_priority(line)}"
        )
    confirmed = line.get("confirmed_ms")
    age = "never proven" if confirmed is None else f"proven {confirmed} ms ago"
    primary = line.get("primary") or "no primary"
    return (
        f"{line.get('timestamp')} {line.get('instance')}: {line.get('step')}"
        f" ({line.get('reason') or 'no trouble'}) after {line.get('elapsed_ms')} ms;"
        f" target {line.get('target') or 'none'}{_format_way(line)},"
        f" attempt {line.get('attempt')};"
        f" {primary} in term {line.get('term')}, {age};"
        f" settings {line.get('settings_version')};"
        f" pool {line.get('pool_busy')} of {line.get('pool_limit')}"
        f"{_format_priority(line)}{_format_demand(line)}"
    )


def explain_refusal(line: dict) -> str:
    """Return why a request was refused, and what that rested on, in one sentence.

    Empty for a line that refuses nothing, or that tells none of it.
    """
    words = REFUSAL_TEXTS.get(line.get("verdict"))
    if words is None:
        return ""
    wait, left = line.get("wait_expected_ms"), line.get("aim_left_ms")
    rested_on = [
        "" if wait is None else f"a wait of {wait} ms was expected",
        "" if left is None else _format_aim(left),
    ]
    known = ", ".join(filter(None, rested_on))
    return f"It was refused as {words}{f' ({known})' if known else ''}."


def _format_priority(line: dict) -> str:
    """Return the priority of a request, if it is known."""
    priority = line.get("priority")
    return "" if priority is None else f"; priority {priority}"


def _format_demand(line: dict) -> str:
    """Return the rest of what a request asked for and found, as far as it is known."""
    wait, left = line.get("wait_expected_ms"), line.get("aim_left_ms")
    parts = (
        "" if left is None else f", {_format_aim(left)}",
        "" if wait is None else f", expected wait {wait} ms",
    )
    return "".join(parts)


def _format_aim(left: float) -> str:
    """Return what is left of a target latency."""
    if left < 0:
        return f"its target latency was over for {-left} ms"
    return f"{left} ms of its target latency were left"


def _format_way(line: dict) -> str:
    """Return through which owner a request went, if through any."""
    return f" through {line['way']}" if line.get("way") else ""
