"""Admission control of one instance: bounds its admitted requests, by team.

The bound on admitted requests, running and waiting, adapts to the delay of the
process's own timers (additive increase, multiplicative decrease), so that an
instance short of processor time refuses some requests early instead of delaying
all. Inside the bound each team has a share by its weight; other teams may use an
unused share until its team needs it. A refusal is given at once and is final:
nothing of the request was run. Sans-I/O: the time is passed in.
"""

from collections import defaultdict
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from beryltrack.errors import TOO_MANY_CONNECTIONS

DEFAULT_WEIGHT = 1.0
MIN_RETRY_AFTER = 0.05
"""Shortest time to retry that a refusal names, seconds."""
SHRINK_FACTOR = 0.9
"""Factor by which the bound shrinks at each change."""


class AdmissionPolicy(NamedTuple):
    """Parameters of admission control.

    Parameters
    ----------
    max_requests : int
        Upper limit of the bound on admitted requests, running and waiting.
    min_requests : int
        Lower limit of the bound.
    max_delay : float
        Delay of the process's timers above which the bound shrinks, seconds.
    shrink_after : float
        Time for which each delay must exceed `max_delay` before that, seconds.
    adjust_period : float
        Shortest time between two changes of the bound, seconds.
    """

    max_requests: int = 1024
    min_requests: int = 64
    max_delay: float = 0.05
    shrink_after: float = 0.5
    adjust_period: float = 0.1


class AdmissionReason(Enum):
    """Reason of a refusal; the request was not run."""

    EXPIRED = "the request's deadline has passed"
    OVERLOADED = "the proxy holds as many requests as it can"
    TEAM_SHARE = "the team uses more than its share of the proxy"


class Admit(NamedTuple):
    """Admit a request."""

    request: int


class RefuseRequest(NamedTuple):
    """Refuse a new request, or evict an admitted one that waits.

    Parameters
    ----------
    request : int
        Number of the request.
    reason : AdmissionReason
        Reason of the refusal.
    retry_after : float
        Time to wait before a retry, seconds.
    sqlstate : str
        SQLSTATE of the answer.
    """

    request: int
    reason: AdmissionReason
    retry_after: float
    sqlstate: str = TOO_MANY_CONNECTIONS


AdmissionAction = Admit | RefuseRequest


class _AdmittedRequest(NamedTuple):
    """An admitted request."""

    team: str
    admitted_at: float


class AdmissionDecider:
    """Decides which requests to admit, and which waiting ones to evict for them.

    Parameters
    ----------
    policy : AdmissionPolicy
        Parameters of the decisions.
    weights : mapping of str to float
        Weight by team; teams without an entry have `DEFAULT_WEIGHT`.
    """

    def __init__(
        self, policy: AdmissionPolicy, weights: Mapping[str, float] | None = None
    ):
        self._policy = policy
        self._weights = dict(weights or {})
        self._bound = float(policy.max_requests)
        self._admitted: dict[int, _AdmittedRequest] = {}
        # The waiting requests of each team, oldest first.
        self._waiting: defaultdict[str, dict[int, None]] = defaultdict(dict)
        self._counts: defaultdict[str, int] = defaultdict(int)
        self._adjusted_at = float("-inf")
        self._late_since: float | None = None
        self._average_time = MIN_RETRY_AFTER

    @property
    def bound(self) -> int:
        """Present bound on admitted requests."""
        return int(self._bound)

    @property
    def admitted_count(self) -> int:
        """Number of admitted requests, running and waiting."""
        return len(self._admitted)

    def get_count(self, team: str) -> int:
        """Return the number of a team's admitted requests."""
        return self._counts.get(team, 0)

    def admit(
        self, request: int, team: str, deadline: float, now: float
    ) -> list[AdmissionAction]:
        """Admit or refuse a new request.

        Parameters
        ----------
        request : int
            Its number, unique at this instance.
        team : str
            The team that it belongs to.
        deadline : float
            Time by which it must be done, seconds.
        now : float
            The current time, seconds.

        Returns
        -------
        list of AdmissionAction
            One action for this request, preceded by the refusal of another
            team's waiting request if that one is evicted.
        """
        if deadline <= now:
            return [RefuseRequest(request, AdmissionReason.EXPIRED, 0.0)]
        if len(self._admitted) < self.bound:
            return [self._admit(request, team, now)]
        victim = self._choose_victim(team)
        if victim is None:
            return [self._refuse(request, AdmissionReason.OVERLOADED)]
        # The newest request has waited least, so its eviction wastes the least.
        newest = next(reversed(self._waiting[victim]))
        self._remove(newest)
        eviction = self._refuse(newest, AdmissionReason.TEAM_SHARE)
        return [eviction, self._admit(request, team, now)]

    def start(self, request: int) -> None:
        """Record that a request runs; a running request is not evicted."""
        admitted = self._admitted.get(request)
        if admitted is not None:
            self._waiting[admitted.team].pop(request, None)

    def finish(self, request: int, now: float) -> None:
        """Record that a request has ended, with any outcome."""
        admitted = self._admitted.get(request)
        if admitted is None:
            return
        self._average_time += (now - admitted.admitted_at - self._average_time) / 8
        self._remove(request)

    def observe_delay(self, delay: float, now: float) -> None:
        """Adapt the bound to the delay of a timer of this process, seconds.

        A single long pause, such as a garbage collection, does not indicate load.
        The bound therefore shrinks only after every delay has been too long for
        `shrink_after`, by a tenth of the admitted requests; as in congestion
        control it grows again in fixed steps.
        """
        if delay <= self._policy.max_delay:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        if now - self._adjusted_at < self._policy.adjust_period:
            return
        self._adjusted_at = now
        upper, lower = self._policy.max_requests, self._policy.min_requests
        if self._late_since is None:
            self._bound = min(upper, self._bound + upper / 32)
        elif now - self._late_since >= self._policy.shrink_after:
            base = min(self._bound, max(len(self._admitted), lower))
            self._bound = max(lower, base * SHRINK_FACTOR)

    def _choose_victim(self, team: str) -> str | None:
        """Return the team that loses a waiting request to `team`, or None."""
        active = {name for name, count in self._counts.items() if count} | {team}
        per_weight = self._bound / sum(map(self._get_weight, active))
        if self._counts[team] >= self._compute_share(team, per_weight):
            return None
        excess = {
            name: self._counts[name] / self._get_weight(name)
            for name, waiting in self._waiting.items()
            if waiting and self._counts[name] > self._compute_share(name, per_weight)
        }
        return max(excess, key=excess.__getitem__, default=None)

    def _compute_share(self, team: str, per_weight: float) -> int:
        """Return the requests that a team may have while all teams want more."""
        return max(1, int(per_weight * self._get_weight(team)))

    def _get_weight(self, team: str) -> float:
        return self._weights.get(team, DEFAULT_WEIGHT)

    def _admit(self, request: int, team: str, now: float) -> Admit:
        self._admitted[request] = _AdmittedRequest(team, now)
        self._waiting[team][request] = None
        self._counts[team] += 1
        return Admit(request)

    def _remove(self, request: int) -> None:
        admitted = self._admitted.pop(request)
        self._waiting[admitted.team].pop(request, None)
        self._counts[admitted.team] -= 1

    def _refuse(self, request: int, reason: AdmissionReason) -> RefuseRequest:
        return RefuseRequest(request, reason, max(MIN_RETRY_AFTER, self._average_time))
