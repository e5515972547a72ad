"""The report of a command: an exit code, a value and lines of text."""

import enum
from typing import NamedTuple

from beryltrack.findings import Finding, format_finding
from beryltrack.objects.messages import ErrorKind, PlatformError
from beryltrack.settings.change import FailureKind


class ExitCode(enum.IntEnum):
    """Exit codes of the tool, listed in the operators' documentation.

    OK: done, or there was nothing to do. FINDINGS: the input or the settings tree
    has findings, and nothing was written. USAGE: the command line is invalid.
    CONFLICT: another change came first. UNAVAILABLE: the platform refused or did
    not answer, and nothing more was written. UNKNOWN: it is unknown whether the
    change was made. PENDING: the change was made, but is not in force on all
    instances yet. INTERNAL: a fault of the tool.
    """

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    PENDING = 6
    INTERNAL = 70


EXIT_BY_FAILURE = {
    FailureKind.CONFLICT: ExitCode.CONFLICT,
    FailureKind.NOT_DONE: ExitCode.UNAVAILABLE,
    FailureKind.UNKNOWN: ExitCode.UNKNOWN,
}


class ErrorReport(NamedTuple):
    """The reason why a whole command failed.

    Parameters
    ----------
    error : str
        The reason.
    findings : tuple of Finding
        The findings of the input, if they are the reason.
    """

    error: str
    findings: tuple[Finding, ...] = ()


class Report(NamedTuple):
    """The outcome of a command.

    Parameters
    ----------
    exit_code : ExitCode
        The code to exit with.
    value : object
        A typed tuple, printed as JSON with `--json`.
    lines : tuple of str
        The same as text.
    """

    exit_code: ExitCode
    value: object
    lines: tuple[str, ...]


def report_findings(findings: tuple[Finding, ...]) -> Report:
    """Return the report of input with findings."""
    value = ErrorReport("the settings have findings", findings)
    return Report(ExitCode.FINDINGS, value, format_findings(findings))


def format_findings(findings: tuple[Finding, ...]) -> tuple[str, ...]:
    """Return a line for each finding."""
    return tuple(f"finding: {format_finding(item)}" for item in findings)


def report_usage(text: str) -> Report:
    """Return the report of an invalid command line."""
    return Report(ExitCode.USAGE, ErrorReport(text), (text,))


def report_platform(error: PlatformError) -> Report:
    """Return the report of a failed read from the platform."""
    text = f"the platform is not available: {error.text}"
    if error.kind is ErrorKind.INVALID:
        text = f"the platform gave no usable answer: {error.text}"
    return Report(ExitCode.UNAVAILABLE, ErrorReport(text), (text,))
