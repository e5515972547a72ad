"""The deployments that the experiments model, loaded from JSON files.

The users state the zones, sizes, delays and connection limits. The values that
they leave open (replication speed, workload) are in the same files, so that no
result of an experiment depends on a number that is only in code.
"""

import json
from importlib.resources import files
from typing import NamedTuple

from jsonschema import Draft202012Validator

from beryltrack.findings import Finding

DEPLOYMENTS = ("lectora", "jinhua")


class ReplicationModel(NamedTuple):
    """Replication speed of a deployment.

    Parameters
    ----------
    heartbeat : float
        Seconds between two heartbeats of a primary that has nothing to replicate.
    receive_jitter : float
        Maximum time that reception takes beyond the link's delay, seconds.
    apply_median : float
        Median time from reception to application, seconds.
    apply_sigma : float
        Standard deviation of the logarithm of the time from reception to
        application.
    """

    heartbeat: float
    receive_jitter: float
    apply_median: float
    apply_sigma: float


class Deployment(NamedTuple):
    """The model of one user's site.

    Parameters
    ----------
    name : str
        Name of the deployment.
    zones : tuple of str
        Its availability zones.
    zone_delay : float
        One-way delay between two availability zones, seconds.
    client_delay : float
        One-way delay between a caller and the site, seconds.
    proxies : int
        Number of proxies.
    groups : tuple of str
        Names of the database groups.
    databases_per_group : int
        Databases in each group.
    slots : int
        Statements that a database runs concurrently.
    max_connections : int
        Maximum number of connections to one database over all proxies.
    connection_setup : float
        Time to open a connection, seconds.
    replication : ReplicationModel
        Replication speed.
    workload : dict
        Workload settings of `steady` and `overload`; each experiment loads them
        into its own typed form.
    """

    name: str
    zones: tuple[str, ...]
    zone_delay: float
    client_delay: float
    proxies: int
    groups: tuple[str, ...]
    databases_per_group: int
    slots: int
    max_connections: int
    connection_setup: float
    replication: ReplicationModel
    workload: dict


def get_zone(deployment: Deployment, index: int) -> str:
    """Return the availability zone of the instance at an index (round robin)."""
    return deployment.zones[index % len(deployment.zones)]


def get_delay(deployment: Deployment, source: str, target: str) -> float:
    """Return the one-way delay between two availability zones, in seconds.

    Within a zone a tenth of the delay between zones is assumed, because the users
    state only the latter.
    """
    share = 0.1 if source == target else 1.0
    return deployment.zone_delay * share


def parse_deployment(
    text: str, source: str
) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Validate and load the JSON text of a deployment.

    Parameters
    ----------
    text : str
        JSON text.
    source : str
        Name of the text's source, used in findings.

    Returns
    -------
    deployment : Deployment or None
        None if there are findings.
    findings : tuple of Finding
        All errors of syntax and schema.
    """
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}"
        return None, (Finding(source, place, error.msg),)
    findings = tuple(
        Finding(source, "/" + "/".join(map(str, error.absolute_path)), error.message)
        for error in Draft202012Validator(_load_schema()).iter_errors(value)
    )
    if findings:
        return None, findings
    return _make_deployment(value), ()


def load_deployment(name: str) -> Deployment:
    """Load one of the deployments that ship with the bench.

    Raises
    ------
    ValueError
        If there is no such deployment or its file has findings.
    """
    if name not in DEPLOYMENTS:
        raise ValueError(f"no deployment {name!r}; known: {', '.join(DEPLOYMENTS)}")
    source = f"{name}.json"
    deployment, findings = parse_deployment(_read(source), source)
    if deployment is None:
        raise ValueError(f"{source}: {findings}")
    return deployment


def _make_deployment(value: dict) -> Deployment:
    """Return the typed form of a validated JSON object."""
    fields = {
        key: tuple(part) if isinstance(part, list) else part
        for key, part in value.items()
    }
    fields["replication"] = ReplicationModel(**value["replication"])
    return Deployment(**{"workload": {}, **fields})


def _load_schema() -> dict:
    """Return the JSON schema of deployment files."""
    return json.loads(_read("schema.json"))


def _read(name: str) -> str:
    """Return the text of a file in the deployments folder."""
    return files("beryltrack_bench").joinpath("deployments", name).read_text()
