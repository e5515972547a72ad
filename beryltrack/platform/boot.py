"""Reads the settings file that the platform writes for each process."""

import json
from collections.abc import Mapping

from beryltrack.accounts.quota import Tolerance
from beryltrack.findings import Finding
from beryltrack.objects.fields import parse_address
from beryltrack.settings.messages import Endpoint
from beryltrack.settings.node import (
    DEFAULT_CHANGE_LIMIT,
    DEFAULT_DRAIN_LIMIT,
    NodeSettings,
)

READY_PATH = b"/api/readiness"
"""HTTP path of the readiness probe, which the platform requests each second."""

PATH_VARIABLE = "BERYLTRACK_BOOT"
"""Environment variable that holds the path of the file."""


def read_node_settings(
    environment: Mapping[str, str],
) -> tuple[NodeSettings | None, list[Finding]]:
    """Read the settings file whose path is in the environment.

    Returns
    -------
    tuple
        The settings, None if they cannot be read, and the findings.
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            fields = json.load(file)
        return parse_node_settings(fields), []
    except (OSError, KeyError, TypeError, ValueError) as error:
        return None, [Finding(path or PATH_VARIABLE, "", f"cannot be read: {error!r}")]


def parse_node_settings(fields: dict) -> NodeSettings:
    """Return the settings that the fields of the file hold.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a field is missing or malformed.
    """
    listen = fields["listen"]
    bounds = fields["bounds"]
    first_port = int(fields["internal_ports"][0])
    return NodeSettings(
        fields["node_name"],
        fields["zone"],
        parse_address(listen["front"]),
        parse_address(listen["ready"]),
        Endpoint(fields["ip"], first_port),
        Endpoint(fields["ip"], first_port + 1),
        parse_address(fields["platform"]["address"]),
        parse_address(fields["cloud"]["address"]),  # The promotion service.
        float(bounds["grace_s"]),
        bool(fields.get("first_start", True)),
        Endpoint(fields["ip"], first_port + 2),
        # A seed is another instance's control address; all use the same port numbers.
        tuple(
            Endpoint(parse_address(seed).host, first_port + 2)
            for seed in fields.get("seeds") or ()
            if parse_address(seed).host != fields["ip"]
        ),
        bool(bounds.get("fencing_enforced", True)),
        float(bounds.get("config_apply_ms", DEFAULT_CHANGE_LIMIT * 1000)) / 1000,
        float(bounds.get("drain_ms", DEFAULT_DRAIN_LIMIT * 1000)) / 1000,
        capacity=_read_capacity(fields.get("limits") or {}),
        tolerance=Tolerance(
            float(bounds.get("quota_overage", 0.0)),
            float(bounds.get("quota_slack", 0.0)),  # Operations in any window.
            float(bounds.get("quota_window_s", Tolerance().window)),
        ),
    )


def _read_capacity(limits: dict) -> float:
    """Return the processor time that the process may use, in cores of usual speed."""
    # "cores" is the speed of the core as a multiple of a usual one.
    return float(limits.get("cpu_share", 1.0)) * float(limits.get("cores", 1))
