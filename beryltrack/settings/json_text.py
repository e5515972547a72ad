"""Reads JSON that an operator wrote, and reports what is wrong with its text."""

import json
from collections import Counter

from beryltrack.findings import Finding


def load_json(text: str, source: str) -> tuple[object, tuple[Finding, ...]]:
    """Read JSON text.

    Parameters
    ----------
    text : str
        The text.
    source : str
        Where it came from, for the findings.

    Returns
    -------
    tuple
        The JSON value, None if it cannot be read, and the findings. A key that
        stands twice in one object is a finding: one of its values would be
        dropped unseen.
    """
    findings = []

    def build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
        counts = Counter(key for key, _ in pairs)
        findings.extend(
            Finding(source, "", f"the key {key!r} stands twice in one object")
            for key, count in counts.items()
            if count > 1
        )
        return dict(pairs)

    def refuse_constant(name: str) -> None:
        findings.append(Finding(source, "", f"{name} is no number of JSON"))

    try:
        value = json.loads(
            text, object_pairs_hook=build_object, parse_constant=refuse_constant
        )
    except json.JSONDecodeError as error:
        return None, (Finding(source, f"line {error.lineno}", f"no JSON: {error.msg}"),)
    except RecursionError:
        return None, (Finding(source, "", "is nested too deeply"),)
    except ValueError as error:
        # Python converts no whole number of more than some thousand digits.
        return None, (Finding(source, "", f"no JSON: {error}"),)
    return (None if findings else value), tuple(findings)
