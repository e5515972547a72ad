"""Runs one cell of the fault matrix: a procedure with faults at chosen steps."""

import gc
import logging
from collections.abc import Iterator
from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from beryltrack_bench.checker import Violation, check_history
from beryltrack_bench.deployment import Deployment
from beryltrack_bench.fakes.nodes import Step
from beryltrack_bench.history import RequestAnswered, RequestStarted
from beryltrack_bench.matrix.caller import Session
from beryltrack_bench.matrix.faults import FAULT_SECONDS, FAULTS
from beryltrack_bench.matrix.procedures import PROCEDURE_TIMEOUT, PROCEDURES
from beryltrack_bench.matrix.proxy import POLICY
from beryltrack_bench.matrix.world import World

RECOVERY_LIMIT = 6.0
"""Seconds after the last fault within which a write must succeed again."""

REQUEST_LIMIT = POLICY.request_timeout + FAULT_SECONDS
"""Seconds within which a proxy must answer a request, including a pause."""

RUN_LIMIT = 4 * PROCEDURE_TIMEOUT
"""Seconds after which a procedure counts as stuck."""

SETTLE_TIME = 0.1
"""Seconds for replicas to catch up before the final log is recorded."""


class Strike(NamedTuple):
    """A fault injected at a step.

    Parameters
    ----------
    fault : str
        Name of the fault.
    step : int
        Number of the step, from zero, just before which the fault begins.
    """

    fault: str
    step: int


class Cell(NamedTuple):
    """One cell of the matrix, or a pair of faults.

    Parameters
    ----------
    procedure : str
        Name of the procedure.
    strikes : tuple of Strike
        The faults, by step.
    """

    procedure: str
    strikes: tuple[Strike, ...] = ()


class CellResult(NamedTuple):
    """The result of a run of a cell.

    Parameters
    ----------
    steps : tuple of Step
        The procedure's steps, in order.
    violations : tuple of Violation
        All violations of invariants.
    """

    steps: tuple[Step, ...]
    violations: tuple[Violation, ...]


def format_cell(cell: Cell) -> str:
    """Return the identifier of a cell, for example ``write:crash_primary@7``."""
    strikes = "+".join(f"{strike.fault}@{strike.step}" for strike in cell.strikes)
    return f"{cell.procedure}:{strikes}"


def parse_cell(text: str) -> Cell:
    """Return the cell that an identifier names.

    Raises
    ------
    ValueError
        If the procedure or fault is unknown or the identifier is malformed.
    """
    procedure, _, strikes = text.partition(":")
    parts = [part.partition("@") for part in strikes.split("+") if part]
    cell = Cell(procedure, tuple(Strike(name, int(step)) for name, _, step in parts))
    unknown = {strike.fault for strike in cell.strikes} - FAULTS.keys()
    if procedure not in PROCEDURES or unknown:
        raise ValueError(f"no such cell: {text!r}")
    return cell


def run_cell(deployment: Deployment, seed: int, cell: Cell) -> CellResult:
    """Run one cell and check its history.

    Parameters
    ----------
    deployment : Deployment
        The deployment to model.
    seed : int
        Seed of all random numbers.
    cell : Cell
        The procedure and its faults.
    """
    injector = _Injector(cell.strikes)
    world = World(deployment, seed, injector.observe)
    errors: list[str] = []
    # Coroutines of a crashed proxy end when they are garbage-collected. Outside
    # of the capture that does not count as an error of the code under test.
    gc.disable()
    with _ErrorCapture(errors):
        stuck = _run(world, injector, PROCEDURES[cell.procedure])
    gc.enable()
    violations = (
        *check_history(world.history),
        *(
            Violation("progress", text)
            for text in (*stuck, *find_overdue_requests(world))
        ),
        *(Violation("internal_error", text) for text in errors),
    )
    return CellResult(tuple(injector.steps), violations)


def _run(world: World, injector: "_Injector", procedure) -> list[str]:
    """Run the procedure with its faults and the recovery; return what got stuck."""
    stuck = []
    world.start()
    injector.begin(world)
    done = Deferred.fromCoroutine(procedure(world))
    if not world.site.run_until_fired(done, world.now + RUN_LIMIT):
        stuck.append("the procedure did not end")
    done.addErrback(lambda failure: stuck.append(failure.getErrorMessage()))
    injector.end()
    world.site.run_until(max(world.now, injector.faults_end_at))
    world.record_settings()
    if not _recover(world):
        stuck.append("no write succeeded after the faults")
    world.site.run_until(world.now + SETTLE_TIME)
    world.record_settings()
    world.record_final_log()
    for proxy in world.proxies.values():
        Deferred.fromCoroutine(proxy.stop())
    return stuck


def find_overdue_requests(world: World) -> Iterator[str]:
    """Yield the requests that a proxy held for longer than `REQUEST_LIMIT`.

    All requests of the procedures are short, so a request held for longer waits
    for an event that may never come. The limit allows for a pause of the proxy;
    requests that ended with a proxy's process do not count.
    """
    started = {}
    for event in world.history:
        match event:
            case RequestStarted(request, proxy, at):
                started[request] = (proxy, at)
            case RequestAnswered(request, _, _, at) if request in started:
                proxy, began = started.pop(request)
                if at - began > REQUEST_LIMIT:
                    yield f"{proxy} kept {request} for {at - began:.1f} s"
    running = {proxy.name for proxy in world.proxies.values() if proxy.node.alive}
    for request, (proxy, began) in started.items():
        if proxy in running and world.now - began > REQUEST_LIMIT:
            yield f"{proxy} kept {request} until the end"


def _recover(world: World) -> bool:
    """Write once more and read through each proxy; return whether both succeed."""
    limit = world.now + RECOVERY_LIMIT
    session = Session(world, "last")
    answered = Deferred.fromCoroutine(_use_all_proxies(world, session, limit))
    return (
        world.site.run_until_fired(answered, limit + PROCEDURE_TIMEOUT)
        and answered.result
    )


async def _use_all_proxies(world: World, session: Session, limit: float) -> bool:
    """Write once and read through all proxies in turn."""
    written = await session.write_until_acknowledged("last", limit=limit)
    return written and all([await session.read_until(limit) for _ in world.proxies])


class _Injector:
    """Counts the steps of a procedure and injects the faults at the chosen ones."""

    def __init__(self, strikes: tuple[Strike, ...]):
        self.steps: list[Step] = []
        self.faults_end_at = 0.0
        self._strikes = strikes
        self._world: World | None = None

    def observe(self, step: Step) -> None:
        """Count a step and inject the faults that are due before it."""
        world = self._world
        if world is None:
            return
        number = len(self.steps)
        self.steps.append(step)
        for strike in self._strikes:
            if strike.step == number:
                self._strike(world, strike)

    def begin(self, world: World) -> None:
        """Start counting."""
        self._world = world

    def end(self) -> None:
        """Stop counting."""
        self._world = None

    def _strike(self, world: World, strike: Strike) -> None:
        """Begin a fault and schedule its end."""
        fault = FAULTS[strike.fault]
        undo = fault.strike(world)
        self.faults_end_at = max(self.faults_end_at, world.now + fault.seconds)
        world.site.clock.callLater(fault.seconds, undo)


class _ErrorCapture(logging.Handler):
    """Collects the errors that the code under test logs or leaves unhandled."""

    def __init__(self, errors: list[str]):
        super().__init__(logging.ERROR)
        self._errors = errors

    def __enter__(self) -> "_ErrorCapture":
        globalLogPublisher.addObserver(self._observe)
        logging.getLogger("beryltrack").addHandler(self)
        return self

    def __exit__(self, *exception) -> None:
        globalLogPublisher.removeObserver(self._observe)
        logging.getLogger("beryltrack").removeHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        """Record a logged error."""
        self._errors.append(record.getMessage())

    def _observe(self, event: dict) -> None:
        """Record an unhandled failure of a Deferred."""
        if "log_failure" in event:
            self._errors.append(repr(event["log_failure"].value))
