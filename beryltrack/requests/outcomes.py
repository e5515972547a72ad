"""What to do when a request failed, without ever telling the caller an untruth.

A failed request falls into one of three classes: it provably did not run, it
provably was rolled back, or nobody can tell. Only the first may be retried for
any request; the last is resolved through the ledger if the request carries an
identifier, and reported as unknown otherwise.
"""

from enum import Enum
from typing import NamedTuple

from beryltrack.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS
from beryltrack.transactions.decider import CommitOutcome

READ_ONLY_REFUSAL = "25006"
"""SQLSTATE with which a database refuses a write that it may not take."""


REPEATABLE_REFUSALS = frozenset((CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS))
"""SQLSTATEs of a database that did not run the request: it shows too little, or
has no room. Another database, or the same one later, may run it."""


NOT_RUN_REFUSALS = REPEATABLE_REFUSALS | {READ_ONLY_REFUSAL}
"""SQLSTATEs by which a database says that it did not run a request."""


class NextStep(Enum):
    """What happens next to a request."""

    ANSWER = "answer"
    """Pass the target's own answer on."""
    RETRY = "retry"
    """It did not run: run it again, on a target chosen anew."""
    RESOLVE = "resolve"
    """Ask the ledger whether it ran."""
    ROLLED_BACK = "rolled back"
    """It had no effect and never will; tell the caller so."""
    UNKNOWN = "unknown"
    """It may have run; tell the caller so."""


class RequestState(NamedTuple):
    """What is known of a request when one run of it ends.

    Parameters
    ----------
    is_read : bool
        True if it cannot change data.
    in_transaction : bool
        True if the caller's explicit transaction was open before it.
    is_commit : bool
        True if the run would have made changes last: outside of an explicit
        transaction, or a ``COMMIT``.
    is_at_most_once : bool
        True if it carries an identifier and is marked as non-idempotent.
    is_answered : bool
        True if a part of the answer has gone to the caller.
    """

    is_read: bool
    in_transaction: bool
    is_commit: bool
    is_at_most_once: bool
    is_answered: bool


class RunFailure(NamedTuple):
    """How one run on a target failed.

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
        How its run failed.

    Returns
    -------
    NextStep
        The only step that is both safe and true.
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
    """Return the step after a target refused to write."""
    if state.in_transaction:
        return NextStep.ANSWER if state.is_read else NextStep.ROLLED_BACK
    return NextStep.ROLLED_BACK if state.is_answered else NextStep.RETRY


def _decide_for_read(state: RequestState) -> NextStep:
    """Return the step after the answer to a read was lost."""
    is_repeatable = not state.in_transaction and not state.is_answered
    return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK


def decide_after_commit(state: RequestState, outcome: CommitOutcome) -> NextStep:
    """Return the step that follows once the fate of a commit is known.

    Parameters
    ----------
    state : RequestState
        The request that committed on its primary.
    outcome : CommitOutcome
        Whether a majority received the commit.

    Returns
    -------
    NextStep
        The only step that is both safe and true.
    """
    if outcome == CommitOutcome.CONFIRMED:
        return NextStep.ANSWER
    if outcome == CommitOutcome.UNKNOWN:
        return NextStep.RESOLVE if state.is_at_most_once else NextStep.UNKNOWN
    is_repeatable = not state.in_transaction and not state.is_answered
    return NextStep.RETRY if is_repeatable else NextStep.ROLLED_BACK
