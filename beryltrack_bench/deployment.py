"""The deployments that the experiments measure, loaded from JSON files.

Places, sizes, delays and connection limits are those that the users stated.
What they left open (the pace of replication, the workload) stands in the same
files, so that no figure of an experiment rests on a number hidden in code.
"""

import json
from importlib.resources import files
from typing import NamedTuple

from jsonschema import Draft202012Validator

from beryltrack.findings import Finding

DEPLOYMENTS = ("lectora", "jinhua")


class ReplicationModel(NamedTuple):
    """How fast the replicas of a deployment follow.

    Parameters
    ----------
    heartbeat : float
        Seconds between two words of a primary that has nothing to replicate.
    receive_jitter : float
        Most seconds that reception takes beyond the link's delay.
    apply_median : float
        Median of the seconds from reception to application.
    apply_sigma : float
        Spread of that time: the standard deviation of its logarithm.
    """

    heartbeat: float
    receive_jitter: float
    apply_median: float
    apply_sigma: float


class Deployment(NamedTuple):
    """One user's site.

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
        Statements that a database runs at once.
    max_connections : int
        Most connections to one database over all proxies.
    connection_setup : float
        Seconds that a new connection takes.
    replication : ReplicationModel
        How fast replicas follow.
    workload : dict
        What `steady` and `overload` read of the workload; each experiment
        loads it into its own typed form.
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
    """Return the availability zone of the instance with a number, round robin."""
    return deployment.zones[index % len(deployment.zones)]


def get_delay(deployment: Deployment, source: str, target: str) -> float:
    """Return the one-way delay between two availability zones, in seconds.

    Inside a zone a tenth of the delay between zones is taken: the users state
    only the latter.
    """
    share = 0.1 if source == target else 1.0
    return deployment.zone_delay * share


def parse_deployment(
    text: str, source: str
) -> tuple[Deployment | None, tuple[Finding, ...]]:
    """Check the JSON text of a deployment and load it.

    Parameters
    ----------
    text : str
        JSON text.
    source : str
        Where the text came from, for the findings.

    Returns
    -------
    deployment : Deployment or None
        None if there are findings.
    findings : tuple of Finding
        Everything that is wrong.
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
    """Load one of the bench's own deployments.

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
    """Return the typed form of a checked JSON object."""
    fields = {
        key: tuple(part) if isinstance(part, list) else part
        for key, part in value.items()
    }
    fields["replication"] = ReplicationModel(**value["replication"])
    return Deployment(**{"workload": {}, **fields})


def _load_schema() -> dict:
    """Return the schema of a deployment's file."""
    return json.loads(_read("schema.json"))


def _read(name: str) -> str:
    """Return the text of a file beside the deployments."""
    return files("beryltrack_bench").joinpath("deployments", name).read_text()
