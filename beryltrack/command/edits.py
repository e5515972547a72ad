"""Commands that change settings objects: plan, check, then write one at a time.

The platform has no transaction over several objects. They are written in the given
order until one fails, and the report has the outcome of each. A second run with the
same input writes the rest, as an object that has the wanted settings is left unchanged.
"""

import difflib
import json
import random
from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Failure, Result, Success

from beryltrack.command.report import (
    EXIT_BY_FAILURE,
    ExitCode,
    Report,
    format_findings,
    report_findings,
    report_platform,
)
from beryltrack.command.waiting import PendingInstance, format_pending
from beryltrack.findings import Finding
from beryltrack.objects.client import PlatformClient
from beryltrack.settings.change import ChangeDone, ChangeFailure, SettingsChange
from beryltrack.settings.paths import PREFIX
from beryltrack.settings.plan import PlannedChange, Settings, plan_changes
from beryltrack.settings.stored import ChangeRequest

DONE = "done"
REPLACED = "done, then replaced by another change"
UNCHANGED = "unchanged"
NOT_TRIED = "not tried"


class Author(NamedTuple):
    """The author of a change, for the audit record.

    Parameters
    ----------
    who, why : str
        Name and reason.
    when : str
        Time, UTC in ISO 8601.
    change_id : str
        Unique identifier of this run of the tool.
    """

    who: str
    why: str
    when: str
    change_id: str


class ChangeOutcome(NamedTuple):
    """The outcome for one object.

    Parameters
    ----------
    path : str
        Its path.
    outcome : str
        Result of the change.
    version : int
        Version of the object after the run, 0 if unknown.
    text : str
        The reason, if the change was not made.
    """

    path: str
    outcome: str
    version: int
    text: str


class ChangesReport(NamedTuple):
    """The outcomes for all objects of a run.

    Parameters
    ----------
    changes : tuple of ChangeOutcome
        The objects, in the order of the run.
    pending : tuple of PendingInstance
        Instances on which they were not in force in time; empty if there was no wait.
    """

    changes: tuple[ChangeOutcome, ...]
    pending: tuple[PendingInstance, ...] = ()


class DiffReport(NamedTuple):
    """The changes that a run would make, and the findings that would result."""

    changes: tuple[PlannedChange, ...]
    findings: tuple[Finding, ...]


class Editor:
    """Changes settings in the platform's store.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the delays between attempts.
    client : PlatformClient
        Client of the store.
    author : Author
        Author of the changes.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self, reactor, client: PlatformClient, author: Author, rng: random.Random
    ):
        self._reactor = reactor
        self._client = client
        self._author = author
        self._rng = rng

    async def apply(
        self, wanted: Mapping[str, Settings], if_version: int | None = None
    ) -> Report:
        """Check and write the wanted objects.

        Parameters
        ----------
        wanted : mapping of str to dict or None
            Settings by path; None deletes an object.
        if_version : int or None
            Version that each object must have; None for the current one.

        Returns
        -------
        Report
            The outcome for each object.
        """
        match await self._client.list(PREFIX):
            case Failure(error):
                return report_platform(error)
            case Success(tree):
                changes, findings = plan_changes(tree, wanted, self._author.when)
        if findings:
            return report_findings(findings)
        done = await self._write_all(changes, if_version)
        present = {item.path: item.version for item in tree.objects}
        return _report_changes(_build_outcomes(wanted, present, changes, done), done)

    async def _write_all(
        self, changes: tuple[PlannedChange, ...], if_version: int | None
    ) -> list[Result[ChangeDone, ChangeFailure]]:
        """Write one object after another until one fails."""
        results = []
        for number, change in enumerate(changes):
            version = change.version if if_version is None else if_version
            request = ChangeRequest(
                change.path,
                change.after,
                self._author.who,
                self._author.why,
                self._author.when,
                f"{self._author.change_id}-{number}",
                version,
            )
            task = SettingsChange(self._reactor, self._client, request, self._rng)
            results.append(await task.run())
            if isinstance(results[-1], Failure):
                break
        return results


def _build_outcomes(
    wanted: Mapping[str, Settings],
    present: Mapping[str, int],
    changes: tuple[PlannedChange, ...],
    results: list[Result[ChangeDone, ChangeFailure]],
) -> tuple[ChangeOutcome, ...]:
    """Return the outcome for each wanted object."""
    outcomes = {
        change.path: _build_outcome(change.path, result)
        for change, result in zip(changes, results, strict=False)
    }
    untried = {change.path for change in changes[len(results) :]}
    return tuple(
        outcomes.get(path)
        or ChangeOutcome(
            path,
            NOT_TRIED if path in untried else UNCHANGED,
            present.get(path, 0),
            "",
        )
        for path in wanted
    )


def _report_changes(
    outcomes: tuple[ChangeOutcome, ...],
    results: list[Result[ChangeDone, ChangeFailure]],
) -> Report:
    """Return the report of a run."""
    failures = [item.failure() for item in results if isinstance(item, Failure)]
    codes = [EXIT_BY_FAILURE[failure.kind] for failure in failures]
    return Report(
        codes[0] if codes else ExitCode.OK,
        ChangesReport(outcomes),
        tuple(_format_outcome(item) for item in outcomes),
    )


def add_pending(report: Report, pending: tuple[PendingInstance, ...]) -> Report:
    """Return the report of changes, with the instances that do not have them yet."""
    code = ExitCode.PENDING if pending else report.exit_code
    value = report.value._replace(pending=pending)
    lines = format_pending(pending) or ("in force on all instances",)
    return Report(code, value, report.lines + lines)


def _build_outcome(
    path: str, result: Result[ChangeDone, ChangeFailure]
) -> ChangeOutcome:
    """Return the outcome for one object whose change was tried."""
    match result:
        case Success(done):
            outcome = DONE if done.changed else UNCHANGED
            outcome = REPLACED if done.replaced else outcome
            return ChangeOutcome(path, outcome, done.version, "")
        case Failure(failure):
            kind = failure.kind.value
            return ChangeOutcome(path, kind, failure.version, failure.text)


def _format_outcome(item: ChangeOutcome) -> str:
    """Return one line of text for one object."""
    version = f" (version {item.version})" if item.version else ""
    text = f": {item.text}" if item.text else ""
    return f"{item.path}: {item.outcome}{version}{text}"


async def compute_diff(
    client: PlatformClient, wanted: Mapping[str, Settings], when: str
) -> Report:
    """Report what applying the wanted objects would change, without a write."""
    match await client.list(PREFIX):
        case Failure(error):
            return report_platform(error)
        case Success(tree):
            changes, findings = plan_changes(tree, wanted, when)
    lines = tuple(line for change in changes for line in format_change(change))
    code = ExitCode.FINDINGS if findings else ExitCode.OK
    report = DiffReport(changes, findings)
    return Report(code, report, lines + format_findings(findings))


def format_change(change: PlannedChange) -> tuple[str, ...]:
    """Return the lines of a unified diff of one object."""
    before, after = (
        [] if value is None else json.dumps(value, indent=2, sort_keys=True).split("\n")
        for value in (change.before, change.after)
    )
    label = f"{change.path} (version {change.version})"
    return tuple(difflib.unified_diff(before, after, label, change.path, lineterm=""))
