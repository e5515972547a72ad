"""The daemon's command line: ``beryltrackd run`` and ``beryltrackd local``."""

import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from beryltrack.daemon.logs import configure_logs
from beryltrack.findings import format_finding
from beryltrack.settings.instance_file import load_instance_settings

EXIT_DONE = 0
EXIT_FINDINGS = 1
EXIT_FAILED = 1


class RunCommand(Command):
    """Starts one proxy."""

    name = "run"
    description = "Run one proxy with the settings of a file."
    options = [
        option("settings", None, "The instance's settings file.", flag=False),
        option("log-level", None, "Least level to log.", flag=False, default="INFO"),
    ]

    def handle(self) -> int:
        """Check the settings and run until SIGTERM."""
        path = self.option("settings")
        if not path:
            self.line_error("Name the settings file with --settings FILE.")
            return EXIT_FINDINGS
        settings, findings = load_instance_settings(Path(path).read_text(), path)
        if settings is None:
            for finding in findings:
                self.line_error(format_finding(finding))
            return EXIT_FINDINGS
        configure_logs(settings.name, self.option("log-level"))
        # The reactor is imported only once the settings file is valid.
        from beryltrack.daemon.process import run_proxy

        return run_proxy(settings)


class LocalCommand(Command):
    """Starts a local site of stand-ins and two proxies."""

    name = "local"
    description = "Run a local site on loopback: stand-ins and two proxies."
    options = [
        option("once", None, "Exit after the tour; 0 only if all of it held."),
        option("proxies", None, "Number of proxies.", flag=False, default="2"),
        option("log-level", None, "Least level to log.", flag=False, default="INFO"),
    ]

    def handle(self) -> int:
        """Run the site and its tour."""
        configure_logs("local", self.option("log-level"))
        from beryltrack.daemon.local import run_local_site

        return run_local_site(self.option("once"), int(self.option("proxies")))


def main() -> None:
    """Run the command line and exit with its code."""
    application = Application("beryltrackd")
    application.add(RunCommand())
    application.add(LocalCommand())
    sys.exit(application.run())
