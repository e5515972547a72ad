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
    """Return the settings of this process, and what is wrong.

    None if it cannot start with them; with wrong figures of its load it can.
    """
    settings, findings = read_node_settings(os.environ)
    disabled, wrong = read_disabled_mechanisms(os.environ)
    load, faulty = read_load_policy(os.environ)
    findings = [*findings, *wrong, *faulty]
    if settings is None or wrong:
        return None, findings
    return settings._replace(disabled=disabled, load=load), findings


def _log_findings(findings: list[Finding]) -> None:
    """Log what is wrong with the settings."""
    for finding in findings:
        log.error("daemon: Finding: %s", format_finding(finding))


def main() -> int:
    """Run an instance until SIGTERM and return its exit code."""
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
    # What was imported stays for good: it need not be looked at again, which saves
    # 30 ms of processor time at each full collection.
    gc.collect()
    gc.freeze()
    node = Node(reactor, settings, random.Random(), stream.write)

    def reload(*_: object) -> None:
        found, wrong = _read_settings()
        _log_findings(wrong)
        if found is None or found == settings:
            log.info("daemon: SIGHUP, the settings in force stay.")
        else:
            # Addresses and names of an instance are those of its whole life.
            log.warning("daemon: SIGHUP, what has changed holds at the next start.")

    signal.signal(signal.SIGHUP, reload)
    return InstanceProcess(reactor, node, node.endpoints).run()


if __name__ == "__main__":
    sys.exit(main())
