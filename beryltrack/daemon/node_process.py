"""The process of one instance on the users' platform."""

import gc
import logging
import os
import random
import signal
import sys

from beryltrack.daemon.logs import configure_logs
from beryltrack.events.log import NonBlockingStream
from beryltrack.findings import Finding, format_finding
from beryltrack.load.settings import read_load_policy
from beryltrack.platform.boot import read_node_settings
from beryltrack.settings.mechanisms import read_disabled_mechanisms
from beryltrack.settings.node import NodeSettings

EXIT_FINDINGS = 1

log = logging.getLogger(__name__)


def _read_settings() -> tuple[NodeSettings | None, list[Finding]]:
    """Return the settings of this process and the findings.

    The settings are None if the process cannot start; invalid load settings are
    replaced by their defaults.
    """
    settings, findings = read_node_settings(os.environ)
    disabled, wrong = read_disabled_mechanisms(os.environ)
    load, faulty = read_load_policy(os.environ)
    findings = [*findings, *wrong, *faulty]
    if settings is None or wrong:
        return None, findings
    return settings._replace(disabled=disabled, load=load), findings


def _log_findings(findings: list[Finding]) -> None:
    """Log the findings about the settings."""
    for finding in findings:
        log.error("daemon: Invalid setting: %s", format_finding(finding))


def main() -> int:
    """Run an instance until SIGTERM and return its exit code."""
    # A hangup during the start is handled once the instance exists.
    hangups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: hangups.append(number))
    settings, findings = _read_settings()
    if settings is None:
        for finding in findings:
            print(format_finding(finding), file=sys.stderr)
        return EXIT_FINDINGS
    stream = NonBlockingStream(sys.stdout.fileno())
    configure_logs(settings.name, stream=stream)
    _log_findings(findings)
    from twisted.internet import reactor

    from beryltrack.clock import use_monotonic_time
    from beryltrack.daemon.lifecycle import InstanceProcess
    from beryltrack.daemon.node import Node

    use_monotonic_time(reactor)
    # Imported modules are never freed: freezing them saves 30 ms of processor time at
    # each full collection.
    gc.collect()
    gc.freeze()
    node = Node(reactor, settings, random.Random(), stream.write)

    def reload(*_: object) -> None:
        found, wrong = _read_settings()
        _log_findings(wrong)
        if found is None or found == settings:
            log.info("daemon: SIGHUP received, the settings are unchanged or invalid.")
        else:
            # Names and addresses of an instance are fixed for its lifetime.
            log.warning(
                "daemon: SIGHUP received, changed settings apply at the next start."
            )

    signal.signal(signal.SIGHUP, reload)
    if hangups:
        reload()
    return InstanceProcess(reactor, node, node.endpoints).run()


if __name__ == "__main__":
    sys.exit(main())
