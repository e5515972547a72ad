"""Parses JSON text written by an operator and reports its errors as findings."""

import json
from collections import Counter

from beryltrack.findings import Finding


def load_json(text: str, source: str) -> tuple[object, tuple[Finding, ...]]:
    """Parse JSON text.

    Parameters
    ----------
    text : str
        The text.
    source : str
        The text's origin, for the findings.

    Returns
    -------
    tuple
        The JSON value, None if there are findings, and the findings. A key that
        occurs twice in one object is a finding, as one of its values would be
        dropped silently.
    """
    findings = []

    def build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        counts = Counter(key for key, _ in pairs)
        findings.extend(
            Finding(source, "", f"the key {key!r} occurs more than once in one object")
            for key, count in counts.items()
            if count > 1
        )
        return dict(pairs)

    def refuse_constant(name: str) -> None:
        findings.append(Finding(source, "", f"{name} is not a JSON number"))

    try:
        value = json.loads(
            text, object_pairs_hook=build_object, parse_constant=refuse_constant
        )
    except json.JSONDecodeError as error:
        return None, (
            Finding(source, f"line {error.lineno}", f"invalid JSON: {error.msg}"),
        )
    except RecursionError:
        return None, (Finding(source, "", "the JSON is nested too deeply"),)
    except ValueError as error:
        # Python refuses to convert an integer of more than some thousand digits.
        return None, (Finding(source, "", f"invalid JSON: {error}"),)
    return (None if findings else value), tuple(findings)
