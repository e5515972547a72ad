"""Sessions that move between two proxies while primaries fail in each supported way."""

from beryltrack.daemon.local_site import GROUP, USER
from beryltrack_bench.roam import RoamOptions, roam
from beryltrack_bench.roaming.local_site import ReadyLine
from beryltrack_bench.roaming.session import Login
from tests.local_proxies import run_proxies


def test_no_guarantee_is_violated_while_primaries_fail():
    with run_proxies() as local:
        site = local.site
        ready = ReadyLine(
            tuple(_format_endpoint(proxy.endpoint) for proxy in local.proxies),
            {item.name: _format_endpoint(item.endpoint) for item in site.databases},
            site.control_url,
        )
        options = RoamOptions(sessions=4, rounds=4, steps=10, seed=1)
        report = roam(ready, Login(USER, GROUP), options)
    assert report.violations == []
    assert all(fault.gap is not None and fault.replaced for fault in report.faults)
    assert report.counts["acknowledged"] > 40


def _format_endpoint(endpoint):
    return f"{endpoint.host}:{endpoint.port}"
