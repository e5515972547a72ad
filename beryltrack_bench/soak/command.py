"""The command `beryltrack-bench soak`: runs the soak on consecutive seeds."""

import json

from cleo.commands.command import Command
from cleo.helpers import option
from twisted.internet.defer import Deferred

from beryltrack_bench.soak.run import run_soak
from beryltrack_bench.soak.site import SoakOptions

EXIT_HELD, EXIT_VIOLATIONS = 0, 2


class SoakCommand(Command):
    """Runs the soak on some seeds and prints one JSON object for each."""

    name = "soak"
    description = "Run real processes under random faults and check the promises."
    options = [
        option("seed", None, "The first seed.", False, default="1"),
        option("runs", None, "How many seeds, in order.", False, default="1"),
        option("seconds", None, "Seconds of faults in each run.", False, default="15"),
        option("unfenced", None, "No fences, and former primaries go on.", True),
        option("forgetful", None, "Databases start again empty.", True),
        option("accounts", None, "Callers need keys, accounts have limits.", True),
        option("restores", None, "The store is restored from backups.", True),
        option("pauses", None, "Nodes are paused often, and all at once.", True),
        option("cuts", None, "Some nodes cannot reach the primary; no more.", True),
        option("foreign", None, "Others write entries that are no text.", True),
        option("leaving", None, "Some callers leave before their answer.", True),
        option("releases", None, "Primaries leave without a successor.", True),
        option("stops", None, "Nodes stop in turn before full databases.", True),
        option("nodes", None, "How many nodes; by the seed if 0.", False, default="0"),
    ]

    def handle(self) -> int:
        """Run the seeds; the exit code says whether all checks passed."""
        from twisted.internet import reactor

        first, runs = int(self.option("seed")), int(self.option("runs"))
        seconds = float(self.option("seconds"))
        options = SoakOptions(
            is_fenced=not self.option("unfenced"),
            is_forgetful=self.option("forgetful"),
            has_accounts=self.option("accounts"),
            has_store_restores=self.option("restores"),
            is_paused_often=self.option("pauses"),
            has_only_primary_cuts=self.option("cuts"),
            has_foreign_entries=self.option("foreign"),
            has_leaving_callers=self.option("leaving"),
            has_only_releases=self.option("releases"),
            has_only_stops=self.option("stops"),
            nodes=int(self.option("nodes")),
        )
        failures = []

        async def run_all() -> None:
            for seed in range(first, first + runs):
                result = await run_soak(reactor, seed, seconds, options)
                self.line(json.dumps(result._asdict()))
                if result.violations or not result.served_last:
                    failures.append(seed)

        def finish(failure: object) -> None:
            if failure is not None:
                failures.append(failure)
                self.line_error(str(failure))
            reactor.stop()

        def start() -> None:
            Deferred.fromCoroutine(run_all()).addBoth(finish)

        reactor.callWhenRunning(start)
        reactor.run()
        return EXIT_VIOLATIONS if failures else EXIT_HELD
