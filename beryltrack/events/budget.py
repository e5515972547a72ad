"""How many lines of each kind may be logged.

Each kind of event has a budget of its own, so that a flood of one leaves room for
the others; what went wrong has more than what went well.
"""

from collections import Counter

from beryltrack.events.messages import RequestStep

LINES_PER_SECOND = {RequestStep.SERVED: 1.0}
"""Lines a second of each kind, on average; others have `OTHER_LINES`. One served
request a second shows what is usual."""

OTHER_LINES = 20.0
"""Lines a second of each kind of which something went wrong: a line takes about
25 us, so that all five kinds together stay under 0.3% of a core."""

BURST = 3.0
"""Seconds of a budget that may be used at once, as failures come together."""


class LineBudget:
    """A token bucket for each kind of event."""

    def __init__(self):
        self._tokens: dict[RequestStep, float] = {}
        self._filled_at: dict[RequestStep, float] = {}
        self._suppressed: Counter[RequestStep] = Counter()

    def allows(self, step: RequestStep, now: float) -> bool:
        """Return whether a line may be logged; count it if not."""
        rate = LINES_PER_SECOND.get(step, OTHER_LINES)
        most = max(rate * BURST, 1.0)
        passed = now - self._filled_at.get(step, now)
        tokens = min(most, self._tokens.get(step, most) + passed * rate)
        self._filled_at[step] = now
        if tokens < 1.0:
            self._tokens[step] = tokens
            self._suppressed[step] += 1
            return False
        self._tokens[step] = tokens - 1.0
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return how many lines of each kind were left out since the last call."""
        suppressed, self._suppressed = self._suppressed, Counter()
        return {step.value: count for step, count in suppressed.items()}
