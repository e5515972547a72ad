"""Rate limit of log lines for each kind of event (token buckets).

Each kind has its own budget, so that a flood of one does not suppress the others.
Failures have a larger budget than successes.
"""

from collections import Counter

from beryltrack.events.messages import RequestStep

LINES_PER_SECOND = {RequestStep.SERVED: 1.0}
"""Average lines per second of each kind; the others have `DEFAULT_LINES_PER_SECOND`.
One served request per second shows normal operation."""

DEFAULT_LINES_PER_SECOND = 20.0
"""Average lines per second of each kind of failure. A line takes about 25 us, so that
all five kinds together stay under 0.3% of a core."""

BURST_SECONDS = 3.0
"""Seconds of a budget that may be used at once, as failures come in bursts."""


class LineBudget:
    """A token bucket of log lines for each kind of event."""

    def __init__(self):
        self._tokens: dict[RequestStep, float] = {}
        self._filled_at: dict[RequestStep, float] = {}
        self._suppressed: Counter[RequestStep] = Counter()

    def take_token(self, step: RequestStep, now: float) -> bool:
        """Take a token and return whether there was one; count the line if not."""
        rate = LINES_PER_SECOND.get(step, DEFAULT_LINES_PER_SECOND)
        capacity = max(rate * BURST_SECONDS, 1.0)
        elapsed = now - self._filled_at.get(step, now)
        tokens = min(capacity, self._tokens.get(step, capacity) + elapsed * rate)
        self._filled_at[step] = now
        if tokens < 1.0:
            self._tokens[step] = tokens
            self._suppressed[step] += 1
            return False
        self._tokens[step] = tokens - 1.0
        return True

    def take_suppressed(self) -> dict[str, int]:
        """Return the number of suppressed lines of each kind since the last call."""
        suppressed, self._suppressed = self._suppressed, Counter()
        return {step.value: count for step, count in suppressed.items()}
