"""Runs sessions that switch between a local site's proxies while primaries fail.

Start a local site with ``python -m beryltrack.daemon local`` and pass its ready
line::

    python -m beryltrack_bench.roam --ready-file FILE --sessions 16 --rounds 8

The last line of standard output is one JSON object. The exit code is 0 if all
guarantees hold, 2 if one is violated, and 1 for wrong usage.
"""

import heapq
import json
import random
import sys
import threading
import time
import uuid
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import psycopg
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput

from beryltrack.findings import format_finding
from beryltrack_bench.roaming.audit import count_effects
from beryltrack_bench.roaming.faults import FaultRecord, clear_faults, run_faults
from beryltrack_bench.roaming.local_site import ReadyLine, parse_ready_line
from beryltrack_bench.roaming.records import Duration, Records, Violation
from beryltrack_bench.roaming.session import Login, RoamingSession

EXIT_HELD = 0
EXIT_USAGE = 1
EXIT_VIOLATIONS = 2
_TABLES = (
    "roam_register (session TEXT PRIMARY KEY, value BIGINT)",
    "roam_effects (request_id TEXT, session TEXT)",
    "roam_left (key TEXT)",
    "roam_right (key TEXT)",
)
_MAX_SHOWN_VIOLATIONS = 20
_MAX_SHOWN_DURATIONS = 10
_JOIN_TIMEOUT = 60.0
"""Seconds after the faults within which all sessions must end."""

_THINK_TIME = 0.01
"""Seconds between two requests of a session."""


class RoamOptions(NamedTuple):
    """Options of a run.

    Parameters
    ----------
    sessions : int
        Number of concurrent sessions.
    rounds : int
        Number of faults of the primary.
    steps : int
        Minimum number of requests of each session.
    seed : int
        Seed of all random choices.
    """

    sessions: int
    rounds: int
    steps: int
    seed: int


class RoamReport(NamedTuple):
    """Results of a run.

    Parameters
    ----------
    counts : dict of str to int
        Number of answers by kind.
    faults : list of FaultRecord
        Each fault and its gap.
    violations : list of Violation
        All violated guarantees.
    slowest : list of Duration
        The requests that took longest.
    seconds : float
        Length of the run, seconds.
    """

    counts: dict[str, int]
    faults: list[FaultRecord]
    violations: list[Violation]
    slowest: list[Duration]
    seconds: float


def roam(site: ReadyLine, login: Login, options: RoamOptions) -> RoamReport:
    """Run the sessions under faults, then verify the rows in the databases.

    Parameters
    ----------
    site : ReadyLine
        The local site.
    login : Login
        User and database of all connections.
    options : RoamOptions
        Options of the run.

    Returns
    -------
    RoamReport
        Counts of answers and the violated guarantees.
    """
    clear_faults(site)
    _create_tables(site, login)
    records = Records()
    run = uuid.uuid4().hex[:8]
    stopped = threading.Event()
    threads = [
        threading.Thread(
            target=_run_session,
            args=(_make_session(site, login, records, run, options, number),)
            + (records, stopped, options.steps),
            daemon=True,
        )
        for number in range(options.sessions)
    ]
    started_at = time.monotonic()
    for thread in threads:
        thread.start()
    rng = random.Random(options.seed)
    faults = run_faults(site, records, options.rounds, rng)
    stopped.set()
    _join_threads(threads, records)
    seconds = time.monotonic() - started_at
    found = count_effects(site, login, run, records)
    found += (
        Violation("not replaced", f"{fault.fault}, gap {fault.gap}")
        for fault in faults
        if fault.gap is None or not fault.replaced
    )
    violations = records.violations + found
    slowest = heapq.nlargest(_MAX_SHOWN_DURATIONS, records.durations)
    return RoamReport(dict(records.counts), faults, violations, slowest, seconds)


def _create_tables(site: ReadyLine, login: Login) -> None:
    """Create the tables of the test through the first proxy."""
    host, _, port = site.proxies[0].rpartition(":")
    with psycopg.connect(
        host=host,
        port=int(port),
        user=login.user,
        dbname=login.database,
        sslmode="disable",
        autocommit=True,
    ) as connection:
        for table in _TABLES:
            connection.execute(f"CREATE TABLE IF NOT EXISTS {table}")


def _make_session(
    site: ReadyLine,
    login: Login,
    records: Records,
    run: str,
    options: RoamOptions,
    number: int,
) -> RoamingSession:
    """Return the session with a number."""
    rng = random.Random(f"{options.seed}/{number}")
    return RoamingSession(f"{run}-{number}", site.proxies, login, records, rng)


def _run_session(
    session: RoamingSession, records: Records, stopped: threading.Event, steps: int
) -> None:
    """Run one session until the faults are over and its minimum of steps is done."""
    try:
        if not session.begin():
            records.report("unexpected error", f"{session.name} could not begin")
            return
        while not stopped.is_set() or steps > 0:
            session.step()
            steps -= 1
            time.sleep(_THINK_TIME)
    except Exception as error:
        records.report("unexpected error", f"{session.name}: {error!r}")
    finally:
        session.end()


def _join_threads(threads: list[threading.Thread], records: Records) -> None:
    """Wait for all sessions; one that does not end in time is a violation."""
    deadline = time.monotonic() + _JOIN_TIMEOUT
    for thread in threads:
        thread.join(max(0.0, deadline - time.monotonic()))
        if thread.is_alive():
            records.report("unexpected error", "a session hangs")


class RoamCommand(Command):
    """Command that runs the sessions under faults and checks all answers."""

    name = "roam"
    description = "Lets sessions roam between proxies under faults"
    options = [
        option("ready-file", None, "file with the ready line; - reads it", False),
        option("sessions", None, "sessions at the same time", False, default="16"),
        option("rounds", None, "how often the primary is lost", False, default="8"),
        option("steps", None, "least requests of a session", False, default="50"),
        option("seed", None, "seed of all choices", False, default="1"),
        option("user", None, "user to log on as", False, default="app"),
        option("database", None, "database group", False, default="main"),
    ]

    def handle(self) -> int:
        """Run the sessions, print the report and return the exit code."""
        source = self.option("ready-file") or "-"
        text = sys.stdin.readline() if source == "-" else _read_line(source)
        site, findings = parse_ready_line(text, source)
        if site is None:
            self.line_error("\n".join(map(format_finding, findings)))
            return EXIT_USAGE
        numbers = {
            name: int(self.option(name)) for name in ("sessions", "rounds", "steps")
        }
        options = RoamOptions(**numbers, seed=int(self.option("seed")))
        login = Login(self.option("user"), self.option("database"))
        report = roam(site, login, options)
        self.line(format_report(report))
        return EXIT_VIOLATIONS if report.violations else EXIT_HELD


def format_report(report: RoamReport) -> str:
    """Return a report as one line of JSON."""
    promises = Counter(violation.promise for violation in report.violations)
    shown = [tuple(item) for item in report.violations[:_MAX_SHOWN_VIOLATIONS]]
    return json.dumps(
        {
            "seconds": round(report.seconds, 2),
            "counts": dict(sorted(report.counts.items())),
            "faults": [fault._asdict() for fault in report.faults],
            "slowest": [
                (round(item.seconds, 3), item.action, item.outcome)
                for item in report.slowest
            ],
            "violations": dict(promises),
            "first_violations": shown,
        }
    )


def _read_line(path: str) -> str:
    """Return the first line of a file."""
    return Path(path).read_text().partition("\n")[0]


def main() -> int:
    """Run the command line."""
    application = Application("roam")
    application.auto_exits(False)
    application.add(RoamCommand())
    return application.run(ArgvInput(["", RoamCommand.name, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
