"""Which requests a proxy takes on when it cannot take all.

A proxy bounds the requests that it holds. The bound follows the delay that the
process itself adds, so that a proxy short of processor time refuses early
rather than being late for all. Inside the bound each team has a share by its
weight; what a team leaves unused the others may use until it asks. A refusal
is given at once and is final: nothing of the request was run.
"""

from collections import defaultdict
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from beryltrack.errors import TOO_MANY_CONNECTIONS

DEFAULT_WEIGHT = 1.0
MIN_RETRY_AFTER = 0.05
SHRINK_FACTOR = 0.9


class AdmissionPolicy(NamedTuple):
    """The figures that steer admission.

    Parameters
    ----------
    max_requests : int
        Most requests held at once, running and waiting.
    min_requests : int
        The bound never falls below this.
    max_delay : float
        Seconds of delay inside the process above which the bound shrinks.
    shrink_after : float
        Seconds for which all delays must have been too long before that.
    adjust_period : float
        Least seconds between two changes of the bound.
    """

    max_requests: int = 1024
    min_requests: int = 64
    max_delay: float = 0.05
    shrink_after: float = 0.5
    adjust_period: float = 0.1


class AdmissionReason(Enum):
    """Why a request was refused; in each case it was not run."""

    EXPIRED = "the request's deadline has passed"
    OVERLOADED = "the proxy holds as many requests as it can"
    TEAM_SHARE = "the team uses more than its share of the proxy"


class Admit(NamedTuple):
    """Take a request on."""

    request: int


class RefuseRequest(NamedTuple):
    """Refuse a request, or put out one that was waiting.

    Parameters
    ----------
    request : int
        Number of the request.
    reason : AdmissionReason
        Why.
    retry_after : float
        Seconds after which a new attempt has a fair chance.
    sqlstate : str
        The SQLSTATE to answer with.
    """

    request: int
    reason: AdmissionReason
    retry_after: float
    sqlstate: str = TOO_MANY_CONNECTIONS


AdmissionAction = Admit | RefuseRequest


class _Admitted(NamedTuple):
    """A request that was taken on."""

    team: str
    admitted_at: float


class AdmissionDecider:
    """Decides which requests are taken on, and which waiting ones make room.

    Parameters
    ----------
    policy : AdmissionPolicy
        The figures that steer it.
    weights : mapping of str to float
        Weight of each team; others have `DEFAULT_WEIGHT`.
    """

    def __init__(
        self, policy: AdmissionPolicy, weights: Mapping[str, float] | None = None
    ):
        self._policy = policy
        self._weights = dict(weights or {})
        self._bound = float(policy.max_requests)
        self._admitted: dict[int, _Admitted] = {}
        # The waiting requests of each team, oldest first.
        self._waiting: defaultdict[str, dict[int, None]] = defaultdict(dict)
        self._counts: defaultdict[str, int] = defaultdict(int)
        self._adjusted_at = float("-inf")
        self._late_since: float | None = None
        self._average_time = MIN_RETRY_AFTER

    @property
    def bound(self) -> int:
        """Most requests to hold now."""
        return int(self._bound)

    @property
    def admitted_count(self) -> int:
        """Requests held, running and waiting."""
        return len(self._admitted)

    def get_count(self, team: str) -> int:
        """Return how many requests of a team are held."""
        return self._counts.get(team, 0)

    def admit(
        self, request: int, team: str, deadline: float, now: float
    ) -> list[AdmissionAction]:
        """Decide about a new request.

        Parameters
        ----------
        request : int
            Its number, unique in this proxy.
        team : str
            The team that it belongs to.
        deadline : float
            Time by which it must be done, seconds.
        now : float
            The current time, seconds.

        Returns
        -------
        list of AdmissionAction
            One action for this request; before it, a refusal of a waiting
            request of another team if that has to make room.
        """
        if deadline <= now:
            return [RefuseRequest(request, AdmissionReason.EXPIRED, 0.0)]
        if len(self._admitted) < self.bound:
            return [self._admit(request, team, now)]
        rival = self._choose_victim(team)
        if rival is None:
            return [self._refuse(request, AdmissionReason.OVERLOADED)]
        # The newest has waited least; to put it out wastes the least.
        newest = next(reversed(self._waiting[rival]))
        self._remove(newest)
        put_out = self._refuse(newest, AdmissionReason.TEAM_SHARE)
        return [put_out, self._admit(request, team, now)]

    def start(self, request: int) -> None:
        """Take in that a request runs: from now on it is not put out."""
        held = self._admitted.get(request)
        if held is not None:
            self._waiting[held.team].pop(request, None)

    def finish(self, request: int, now: float) -> None:
        """Take in that a request is over, in whatever way."""
        held = self._admitted.get(request)
        if held is None:
            return
        self._average_time += (now - held.admitted_at - self._average_time) / 8
        self._remove(request)

    def observe_delay(self, delay: float, now: float) -> None:
        """Take in how late the process ran a timer, seconds.

        One long pause, as a collection of garbage makes it, says nothing of
        the load, so the bound shrinks only while every delay has been too long
        for a while, by a tenth of what is held; as in congestion control it
        grows again by steps.
        """
        if delay <= self._policy.max_delay:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        if now - self._adjusted_at < self._policy.adjust_period:
            return
        self._adjusted_at = now
        most, least = self._policy.max_requests, self._policy.min_requests
        if self._late_since is None:
            self._bound = min(most, self._bound + most / 32)
        elif now - self._late_since >= self._policy.shrink_after:
            base = min(self._bound, max(len(self._admitted), least))
            self._bound = max(least, base * SHRINK_FACTOR)

    def _choose_victim(self, team: str) -> str | None:
        """Return the team that has to make room for `team`, or None."""
        active = {name for name, held in self._counts.items() if held} | {team}
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
        """Return the requests that a team may hold when all want more."""
        return max(1, int(per_weight * self._get_weight(team)))

    def _get_weight(self, team: str) -> float:
        return self._weights.get(team, DEFAULT_WEIGHT)

    def _admit(self, request: int, team: str, now: float) -> Admit:
        self._admitted[request] = _Admitted(team, now)
        self._waiting[team][request] = None
        self._counts[team] += 1
        return Admit(request)

    def _remove(self, request: int) -> None:
        held = self._admitted.pop(request)
        self._waiting[held.team].pop(request, None)
        self._counts[held.team] -= 1

    def _refuse(self, request: int, reason: AdmissionReason) -> RefuseRequest:
        return RefuseRequest(request, reason, max(MIN_RETRY_AFTER, self._average_time))
