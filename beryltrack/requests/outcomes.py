"""Decides the step after a failed run or a commit, so that each answer is true.

A failed run belongs to one of three classes: provably not run, provably rolled back,
or unknown. Any request may be retried after the first. The last is resolved through
the ledger for an at-most-once request, and otherwise reported as unknown. Sans-I/O.
"""

from enum import Enum
from typing import NamedTuple

from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS
from beryltrack.transactions.decider import CommitOutcome

READ_ONLY_REFUSAL = "25006"
"""SQLSTATE with which a database that is not the primary refuses a write."""


REPEATABLE_REFUSALS = frozenset((CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS))
"""SQLSTATEs of a database that did not run the request, as it lags behind or is full.
Another database, or the same one later, may run it."""


NOT_RUN_REFUSALS = REPEATABLE_REFUSALS | {READ_ONLY_REFUSAL}
"""SQLSTATEs of a database that did not run the request."""


class NextStep(Enum):
    """The step after a run or a commit of a request."""

    ANSWER = "answer"
    """Send the target's answer to the caller."""
    RETRY = "retry"
    """Run it again, on a newly chosen target: its run had no effect."""
    RESOLVE = "resolve"
    """Determine from the ledger whether it ran."""
    ROLLED_BACK = "rolled back"
    """Report to the caller that it had no effect and will have none."""
    UNKNOWN = "unknown"
    """Report to the caller that it may have run."""


class RequestState(NamedTuple):
    """The state of a request when one run of it ends.

    Parameters
    ----------
    is_read : bool
        True if it cannot change data.
    in_transaction : bool
        True if an explicit transaction of the caller was open before it.
    is_commit : bool
        True if the run would have committed: outside of an explicit transaction,
        or a ``COMMIT``.
    is_at_most_once : bool
        True if it carries an identifier and is declared non-idempotent.
    is_answered : bool
        True if the caller has been sent a part of the answer.
    """

    is_read: bool
    in_transaction: bool
    is_commit: bool
    is_at_most_once: bool
    is_answered: bool


class RunFailure(NamedTuple):
    """A failed run on a target.

    Parameters
    ----------
    is_sent : bool
        True if bytes of the request may have reached the target.
    sqlstate : str
        SQLSTATE of the target's answer; empty if the answer was lost.
    """

    is_sent: bool
    sqlstate: str


def decide_after_failure(state: RequestState, failure: RunFailure) -> NextStep:
    """Return the step that follows a failed run.

    Parameters
    ----------
    state : RequestState
        The request.
    failure : RunFailure
        The failed run.

    Returns
    -------
    NextStep
        The only step that is safe and reported truthfully.
    """
    if failure.sqlstate == READ_ONLY_REFUSAL:
        return _decide_after_refusal(state)
    if failure.sqlstate in REPEATABLE_REFUSALS and not state.in_transaction:
        return NextStep.ANSWER if state.is_answered else NextStep.RETRY
    if failure.sqlstate:
        return NextStep.ANSWER
    if state.is_read:
        return _decide_for_read(state)
    if state.in_transaction and not (state.is_commit and failure.is_sent):
        # The target rolls back a transaction whose connection it loses.
        return NextStep.ROLLED_BACK
    if not failure.is_sent:
        return NextStep.RETRY
    return NextStep.RESOLVE if state.is_at_most_once else NextStep.UNKNOWN


def _decide_after_refusal(state: RequestState) -> NextStep:
    """Return the step after a target refused a write."""
    if state.in_transaction:
        return NextStep.ANSWER if state.is_read else NextStep.ROLLED_BACK
    return NextStep.ROLLED_BACK if state.is_answered else NextStep.RETRY


def _decide_for_read(state: RequestState) -> NextStep:
    """Return the step after the answer to a read was lost."""
    is_repeatable = not state.in_transaction and not state.is_answered
    return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK


def decide_after_commit(state: RequestState, outcome: CommitOutcome) -> NextStep:
    """Return the step that follows the outcome of a commit.

    Parameters
    ----------
    state : RequestState
        The request that committed on its primary.
    outcome : CommitOutcome
        Whether a majority received the commit.

    Returns
    -------
    NextStep
        The only step that is safe and reported truthfully.
    """
    if outcome == CommitOutcome.CONFIRMED:
        return NextStep.ANSWER
    if outcome == CommitOutcome.UNKNOWN:
        return NextStep.RESOLVE if state.is_at_most_once else NextStep.UNKNOWN
    is_repeatable = not state.in_transaction and not state.is_answered
    return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK
