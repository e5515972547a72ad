"""Limits and timeouts of connection loans."""

from typing import NamedTuple


class LoanPolicy(NamedTuple):
    """Limits and timeouts of connection loans; all times are in seconds.

    Parameters
    ----------
    duration : float
        How long a loan lasts without renewal.
    margin : float
        Time that the lender adds, for clocks that run at different rates.
    renew_after : float
        Age of the last renewal at which the borrower requests the next.
    soft_end : float
        Time before the end of a loan in which it is not used for new requests.
    demand_window : float
        How long a peak of demand keeps connections from being lent.
    recall_limit : float
        Time after a recall from which a loan is not renewed.
    repeat_period : float
        Time after which an unanswered request or recall is sent again.
    first_backoff, max_backoff : float
        Bounds of the exponential back-off after a lender's refusal.
    max_asked_lenders : int
        Maximum number of lenders to ask at the same time.
    """

    duration: float = 2.0
    margin: float = 0.25
    renew_after: float = 0.7
    soft_end: float = 0.3
    demand_window: float = 1.0
    recall_limit: float = 10.0
    repeat_period: float = 0.3
    first_backoff: float = 0.25
    max_backoff: float = 4.0
    max_asked_lenders: int = 2
