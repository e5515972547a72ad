"""Reads the settings file of one proxy process."""

import json

from beryltrack.findings import Finding
from beryltrack.settings.messages import InstanceSettings
from beryltrack.settings.options import INSTANCE, OptionKind
from beryltrack.settings.parsing import build_endpoint
from beryltrack.settings.schema import fill_defaults, validate_value


def load_instance_settings(
    text: str, source: str
) -> tuple[InstanceSettings | None, tuple[Finding, ...]]:
    """Check the text of an instance's settings file.

    Parameters
    ----------
    text : str
        The file's text, JSON.
    source : str
        Name of the file, for the findings.

    Returns
    -------
    tuple
        The settings, or None, and all findings.
    """
    value, findings = load_json(text, source)
    if not findings:
        findings = validate_value(INSTANCE, value, source)
    if findings:
        return None, findings
    filled = fill_defaults(INSTANCE.options, value)
    endpoints = {
        option.name: build_endpoint(filled[option.name])
        for option in INSTANCE.options
        if option.kind is OptionKind.ENDPOINT
    }
    return InstanceSettings(**filled | endpoints), ()


def load_json(text: str, source: str) -> tuple[object, tuple[Finding, ...]]:
    """Read JSON that an operator wrote.

    Parameters
    ----------
    text : str
        The text.
    source : str
        Where it came from, for the findings.

    Returns
    -------
    tuple
        The JSON value, None if it cannot be read, and the findings.
    """
    try:
        return json.loads(text), ()
    except json.JSONDecodeError as error:
        return None, (Finding(source, f"line {error.lineno}", f"no JSON: {error.msg}"),)
