"""Puts together what all instances logged of one request."""

import json
from collections.abc import Iterable
from typing import NamedTuple

from beryltrack.events.messages import RequestStep

_FINAL = frozenset(
    step.value for step in RequestStep if step is not RequestStep.RETRIED
)


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
    )


def _format_way(line: dict) -> str:
    """Return through which owner a request went, if through any."""
    return f" through {line['way']}" if line.get("way") else ""
