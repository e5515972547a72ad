"""Parses the settings file of one proxy process."""

from beryltrack.findings import Finding
from beryltrack.settings.json_text import load_json
from beryltrack.settings.messages import InstanceSettings
from beryltrack.settings.options import INSTANCE, OptionKind
from beryltrack.settings.parsing import build_endpoint
from beryltrack.settings.schema import fill_defaults, validate_value


def load_instance_settings(
    text: str, source: str
) -> tuple[InstanceSettings | None, tuple[Finding, ...]]:
    """Parse the text of an instance's settings file.

    Parameters
    ----------
    text : str
        The file's text, JSON.
    source : str
        The file's name, for the findings.

    Returns
    -------
    tuple
        The settings, None if they are invalid, and all findings.
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
    seeds = tuple(build_endpoint(row["endpoint"]) for row in filled["peer_seeds"])
    return InstanceSettings(**filled | endpoints | {"peer_seeds": seeds}), ()
