"""One operation that a gate has let run, as its connection's statements tell of it."""

from twisted.python.failure import Failure

from beryltrack.errors import TOO_MANY_CONNECTIONS
from beryltrack.load.gate_task import GateTask
from beryltrack.load.limit import Outcome
from beryltrack.wire.messages import ResponseEnd


class GatedOperation:
    """Tells a gate of the statements of one operation; see `RunObserver`.

    Each statement that ends leaves its room at once. Whether it was the last one of
    its operation is only known when the connection is given back.

    Parameters
    ----------
    gate : GateTask
        Let it run.
    number : int
        Its number there.
    """

    def __init__(self, gate: GateTask, number: int):
        self._gate = gate
        self._number = number

    def observe_start(self) -> None:
        """Take in that a statement is sent."""
        self._gate.resume(self._number)

    def observe_end(self, seconds: float, end: ResponseEnd | Failure) -> None:
        """Take in that a statement has ended."""
        if isinstance(end, Failure):
            self._gate.rest(self._number, seconds, Outcome.LOST)
        elif end.error is None:
            self._gate.rest(self._number, seconds, Outcome.ANSWERED)
        else:
            # Most errors come at once, and tell nothing of how long statements take.
            is_full = end.error.sqlstate == TOO_MANY_CONNECTIONS
            outcome = Outcome.FULL if is_full else Outcome.ANSWERED
            self._gate.rest(self._number, None, outcome)

    def finish(self) -> None:
        """Take in that the connection was given back."""
        self._gate.finish(self._number)

    def give_up(self, failure: Failure) -> Failure:
        """Take in that it got no connection."""
        self._gate.cancel(self._number)
        return failure
