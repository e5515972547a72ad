"""Type and help text of each metric of an instance on the platform.

Scrapers and dashboards show the texts; docs/OPERATIONS.md says how to act on them.
"""

from typing import NamedTuple


class Metric(NamedTuple):
    """Type and help text of one metric.

    Parameters
    ----------
    kind : str
        Its type in the Prometheus text format.
    help : str
        Its meaning, with its unit.
    """

    kind: str
    help: str


COUNTER, GAUGE, HISTOGRAM = "counter", "gauge", "histogram"

METRICS = {
    "beryltrack_requests_total": Metric(
        COUNTER, "Requests that ended, by kind, outcome and target."
    ),
    "beryltrack_priority_requests_total": Metric(
        COUNTER, "Requests that ended or were refused, by priority and account class."
    ),
    "beryltrack_priority_served_total": Metric(
        COUNTER, "Those that a target answered."
    ),
    "beryltrack_priority_in_aim_total": Metric(
        COUNTER, "Those that were answered within their route's target latency."
    ),
    "beryltrack_priority_refused_total": Metric(
        COUNTER, "Those that were refused before they ran, by reason."
    ),
    "beryltrack_priority_wait_seconds_total": Metric(
        COUNTER, "Seconds that they waited for a connection, refused ones included."
    ),
    "beryltrack_queue_time_seconds": Metric(
        HISTOGRAM, "Seconds that a request waited for a connection to a database."
    ),
    "beryltrack_confirm_wait_seconds": Metric(
        HISTOGRAM, "Seconds until a replica had received a commit."
    ),
    "beryltrack_settings_version": Metric(GAUGE, "Version of the settings in force."),
    "beryltrack_callers": Metric(GAUGE, "Open connections of callers."),
    "beryltrack_store_is_followed": Metric(
        GAUGE, "1 if this instance asks the store itself, 0 if it follows another."
    ),
    "beryltrack_store_era": Metric(
        GAUGE, "How often the store was restored from a backup; 0 if it does not tell."
    ),
    "beryltrack_unreadable_objects_total": Metric(
        COUNTER, "Objects of the store that could not be read."
    ),
    "beryltrack_store_silence_seconds": Metric(
        GAUGE, "Seconds since the store last answered, by kind of object."
    ),
    "beryltrack_store_revision": Metric(
        GAUGE, "The store's revision up to which changes are known, by kind."
    ),
    "beryltrack_pool_busy": Metric(
        GAUGE, "Connections to a database that run a statement or a transaction."
    ),
    "beryltrack_pool_waiting": Metric(
        GAUGE, "Requests that wait for a connection to a database."
    ),
    "beryltrack_account_operations_total": Metric(
        COUNTER, "Operations of an account that this instance ran."
    ),
    "beryltrack_account_refusals_total": Metric(
        COUNTER, "Operations of an account that its limit refused here."
    ),
    "beryltrack_account_lenders": Metric(
        GAUGE, "Instances that lend this one their part of the accounts' limits."
    ),
    "beryltrack_zone_bytes_total": Metric(
        COUNTER, "Bytes to and from other availability zones, by what they are for."
    ),
    "beryltrack_gate_limit": Metric(
        GAUGE, "Operations that this owner lets run at a database at once."
    ),
    "beryltrack_gate_running": Metric(
        GAUGE, "Operations that this owner has running at a database."
    ),
    "beryltrack_gate_waiting": Metric(
        GAUGE, "Operations that wait at this owner for a database, by priority."
    ),
    "beryltrack_gate_expected_wait_seconds": Metric(
        GAUGE, "Expected wait of an operation that comes now, by priority."
    ),
    "beryltrack_gate_refused_total": Metric(
        COUNTER, "Operations that were refused as they came, by reason."
    ),
    "beryltrack_gate_put_out_total": Metric(
        COUNTER, "Operations that were refused after they had waited, by reason."
    ),
}
"""All metrics, by name."""


def format_header(name: str) -> list[str]:
    """Return the HELP and TYPE lines of a metric; none if it is not in the catalog."""
    metric = METRICS.get(name)
    if metric is None:
        return []
    return [f"# HELP {name} {metric.help}", f"# TYPE {name} {metric.kind}"]
