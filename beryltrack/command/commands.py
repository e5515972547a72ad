"""The commands of the tool: their arguments and options, and their actions."""

import getpass
import json
import math
import os
import uuid
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Success

from beryltrack.command.edits import Author, Editor, add_pending, compute_diff
from beryltrack.command.fleet import build_fleet_status, format_fleet
from beryltrack.command.instances import query_endpoints, query_listed_instances
from beryltrack.command.report import (
    ExitCode,
    Report,
    report_findings,
    report_platform,
    report_usage,
)
from beryltrack.command.runner import Action, CommandContext, Runner
from beryltrack.command.views import check_stored_settings, show_history, show_settings
from beryltrack.command.waiting import wait_until_in_force
from beryltrack.daemon.status import ObjectVersion
from beryltrack.events.explain import (
    explain_refusal,
    explain_request,
    format_line,
    read_lines,
)
from beryltrack.findings import Finding
from beryltrack.json_form import to_json
from beryltrack.settings.json_text import load_json
from beryltrack.settings.messages import Endpoint
from beryltrack.settings.paths import validate_team

PLATFORM_VARIABLE = "BERYLTRACK_PLATFORM"
COMMON_OPTIONS = (
    option("json", description="Print one JSON object.", flag=True),
    option(
        "platform",
        description=f"Address of the platform; else ${PLATFORM_VARIABLE}.",
        flag=False,
    ),
)
AUTHOR_OPTIONS = (
    option("who", description="Who makes the change.", flag=False),
    option("team", description="Refuse paths of any other team.", flag=False),
    option("wait", description="Seconds to wait until it is in force.", flag=False),
    option("why", description="Why, for the audit record.", flag=False, default=""),
)
PATH = argument("path", "Path of the object: settings/TEAM/KIND/NAME.")
FILE = argument("file", "File with a JSON object of settings by path; - for input.")


class ToolCommand(Command):
    """Base of the commands: finds the platform, runs an action, prints its report.

    Parameters
    ----------
    runner : Runner
        Runs the coroutine of the command.
    """

    def __init__(self, runner: Runner):
        self._runner = runner
        super().__init__()

    def handle(self) -> int:
        """Run the command, print its report and return its exit code."""
        report = self.make_report()
        if self.option("json"):
            outcome = {"outcome": report.exit_code.name.lower()}
            self.line(json.dumps(outcome | to_json(report.value)))
        else:
            failed = report.exit_code is not ExitCode.OK
            for line in report.lines:
                self._print(line, failed)
        return report.exit_code

    def make_report(self) -> Report:
        """Execute the command and return its report."""
        raise NotImplementedError

    def _print(self, line: str, failed: bool) -> None:
        """Print a line without markup, on standard error after a failure."""
        write = self.io.write_error_line if failed else self.io.write_line
        write(line.replace("<", "\\<"))

    def _run(self, action: Action) -> Report:
        """Run an action on the platform at the given address."""
        url = self.option("platform") or os.environ.get(PLATFORM_VARIABLE)
        if not url:
            return report_usage(f"give --platform or set {PLATFORM_VARIABLE}")
        return self._runner(url, action)

    def _load(self, source: str) -> tuple[object, tuple[Finding, ...]]:
        """Read JSON from a file, or from standard input for a dash."""
        try:
            text = self._read_input() if source == "-" else Path(source).read_text()
        except (OSError, UnicodeDecodeError) as error:
            return None, (Finding(source, "", f"the file cannot be read: {error}"),)
        return load_json(text, source)

    def _read_input(self) -> str:
        """Return the whole standard input."""
        return self.io.input.stream.read()

    def _load_tree(self) -> tuple[dict[str, object], tuple[Finding, ...]]:
        """Read a file of settings by path."""
        source = self.argument("file")
        value, findings = self._load(source)
        if not findings and not isinstance(value, dict):
            findings = (Finding(source, "", "an object of settings by path is needed"),)
        return value, findings

    def _build_author(self) -> Author:
        """Return the author, reason and time of the change."""
        return Author(
            self.option("who") or getpass.getuser(),
            self.option("why"),
            get_time(),
            uuid.uuid4().hex,
        )

    def _edit(self, wanted: dict[str, object], if_version: int | None = None) -> Report:
        """Write the wanted objects; with `--wait`, wait until they are in force."""
        author = self._build_author()
        findings = validate_team(wanted, self.option("team"))
        if findings:
            return report_findings(findings)

        limit = parse_seconds(self.option("wait"))
        if limit is None:
            return report_usage("--wait needs a number of seconds")

        async def apply(context: CommandContext) -> Report:
            editor = Editor(context.reactor, context.client, author, context.rng)
            report = await editor.apply(wanted, if_version)
            if limit and report.exit_code is ExitCode.OK:
                return await wait_for_changes(context, report, limit)
            return report

        return self._run(apply)


def parse_seconds(text: str | None) -> float | None:
    """Return a number of seconds; zero for no text, None for an invalid one."""
    try:
        seconds = float(text or 0.0)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < math.inf else None


async def wait_for_changes(
    context: CommandContext, report: Report, limit: float
) -> Report:
    """Wait until the changes of a report are in force on each instance."""
    wanted = tuple(
        ObjectVersion(line.path, line.version) for line in report.value.changes
    )
    pending = await wait_until_in_force(
        context.reactor, context.client, context.fetch, wanted, limit
    )
    return add_pending(report, pending)


def get_time() -> str:
    """Return the current time, UTC in ISO 8601."""
    return datetime.now(UTC).isoformat(timespec="milliseconds")


class SettingsGet(ToolCommand):
    """``settings get``."""

    name = "settings get"
    description = "Show an object, or list the objects under a prefix that ends in /."
    arguments = [PATH]
    options = [*COMMON_OPTIONS]

    def make_report(self) -> Report:
        """Show settings."""
        path = self.argument("path")
        return self._run(lambda context: show_settings(context.client, path))


class SettingsHistory(ToolCommand):
    """``settings history``."""

    name = "settings history"
    description = "Show who changed an object, or those under a prefix, newest first."
    arguments = [PATH]
    options = [*COMMON_OPTIONS]

    def make_report(self) -> Report:
        """Show audit records."""
        path = self.argument("path")
        return self._run(lambda context: show_history(context.client, path))


class SettingsSet(ToolCommand):
    """``settings set``."""

    name = "settings set"
    description = "Check and write one object."
    arguments = [PATH, argument("value", "A JSON object, a file, or - for input.")]
    options = [
        *COMMON_OPTIONS,
        *AUTHOR_OPTIONS,
        option("if-version", description="Version that it must have.", flag=False),
    ]

    def make_report(self) -> Report:
        """Write one object."""
        path, source = self.argument("path"), self.argument("value")
        is_text = source.lstrip().startswith("{")
        value, findings = load_json(source, path) if is_text else self._load(source)
        if findings:
            return report_findings(findings)
        wanted = self.option("if-version")
        if wanted is not None and not wanted.isdecimal():
            return report_usage("--if-version needs a number")
        if value is None:
            return report_findings((Finding(path, "", "an object is needed"),))
        return self._edit({path: value}, None if wanted is None else int(wanted))


class SettingsDelete(ToolCommand):
    """``settings delete``."""

    name = "settings delete"
    description = "Delete one object; its history stays."
    arguments = [PATH]
    options = [*COMMON_OPTIONS, *AUTHOR_OPTIONS]

    def make_report(self) -> Report:
        """Delete one object."""
        return self._edit({self.argument("path"): None})


class SettingsApply(ToolCommand):
    """``settings apply``."""

    name = "settings apply"
    description = "Check all objects of a file, then write them one after the other."
    arguments = [FILE]
    options = [*COMMON_OPTIONS, *AUTHOR_OPTIONS]

    def make_report(self) -> Report:
        """Write the objects of a file."""
        wanted, findings = self._load_tree()
        return report_findings(findings) if findings else self._edit(wanted)


class SettingsDiff(ToolCommand):
    """``settings diff``."""

    name = "settings diff"
    description = "Show what applying a file would change, writing nothing."
    arguments = [FILE]
    options = [*COMMON_OPTIONS]

    def make_report(self) -> Report:
        """Compare a file with the store."""
        wanted, findings = self._load_tree()
        if findings:
            return report_findings(findings)
        return self._run(
            lambda context: compute_diff(context.client, wanted, get_time())
        )


class SettingsCheck(ToolCommand):
    """``settings check``."""

    name = "settings check"
    description = "Check a file against the store, or the store itself."
    arguments = [argument("file", "File as for apply.", optional=True)]
    options = [*COMMON_OPTIONS]

    def make_report(self) -> Report:
        """Report all findings."""
        if self.argument("file") is None:
            return self._run(lambda context: check_stored_settings(context.client))
        wanted, findings = self._load_tree()
        if findings:
            return report_findings(findings)
        report = self._run(
            lambda context: compute_diff(context.client, wanted, get_time())
        )
        if report.exit_code is ExitCode.OK:
            return report._replace(lines=("no findings",))
        return report


class Status(ToolCommand):
    """``status``."""

    name = "status"
    description = "Show instances, groups, settings versions and counts."
    options = [
        *COMMON_OPTIONS,
        option(
            "at",
            description="HOST:PORT of an instance to ask without the platform.",
            flag=False,
            multiple=True,
        ),
    ]

    def make_report(self) -> Report:
        """Show the fleet."""
        endpoints, invalid = parse_endpoints(self.option("at"))
        if invalid:
            return report_usage(f"--at needs HOST:PORT, not {', '.join(invalid)}")
        if endpoints:
            # The action does not call the platform, so any address will do.
            return self._runner(
                "http://127.0.0.1", lambda context: show_instances(context, endpoints)
            )
        return self._run(show_fleet)


def parse_endpoints(
    texts: Iterable[str],
) -> tuple[tuple[Endpoint, ...], tuple[str, ...]]:
    """Return the endpoints in texts of the form HOST:PORT, and the invalid texts."""
    parts = [(text, *text.rpartition(":")[::2]) for text in texts]
    valid = tuple(
        Endpoint(host.strip("[]"), int(port))
        for _, host, port in parts
        if host and port.isdecimal()
    )
    invalid = tuple(
        text for text, host, port in parts if not host or not port.isdecimal()
    )
    return valid, invalid


async def show_instances(
    context: CommandContext, endpoints: tuple[Endpoint, ...]
) -> Report:
    """Show the instances at the given addresses."""
    fleet = build_fleet_status(await query_endpoints(endpoints, context.fetch))
    return Report(ExitCode.OK, fleet, format_fleet(fleet))


async def show_fleet(context: CommandContext) -> Report:
    """Show all instances in the platform's list."""
    match await query_listed_instances(context.client, context.fetch):
        case Failure(error):
            return report_platform(error)
        case Success(answers):
            fleet = build_fleet_status(answers)
            return Report(ExitCode.OK, fleet, format_fleet(fleet))


class Explain(Command):
    """``explain``."""

    name = "explain"
    description = "Show what the logs of all instances say of one request."
    arguments = [argument("request", "The request's identifier.")]
    options = [
        option("logs", description="A file of logs.", flag=False, multiple=True),
    ]

    def __init__(self, runner: Runner):
        super().__init__()

    def handle(self) -> int:
        """Show the lines, oldest first, and the one that decided the outcome."""
        texts = (
            text
            for name in self.option("logs")
            for text in Path(name).read_text(errors="replace").splitlines()
        )
        found = explain_request(self.argument("request"), read_lines(texts))
        if not found.lines:
            self.line_error("The logs hold no line of this request.")
            return ExitCode.FINDINGS
        for line in found.lines:
            self.line(format_line(line))
        if found.deciding is not None:
            reason = found.deciding.get("reason") or "no error"
            self.line(f"decided: {found.deciding.get('step')} ({reason})")
            refusal = explain_refusal(found.deciding)
            if refusal:
                self.line(refusal)
        return ExitCode.OK


COMMANDS = (
    SettingsGet,
    SettingsSet,
    SettingsApply,
    SettingsCheck,
    SettingsDiff,
    SettingsHistory,
    SettingsDelete,
    Status,
    Explain,
)
