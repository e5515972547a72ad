"""Inputs and results of routing: statement kinds, requests, loads, choices."""

import math
from enum import Enum
from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack.sessions.request_options import READS_ANY


class StatementKind(Enum):
    """What a statement does, as far as its text shows."""

    EMPTY = "empty"
    """There is nothing to run."""
    READ = "read"
    """It provably changes nothing."""
    WRITE = "write"
    """It may change data."""
    BEGIN = "begin"
    """It opens a transaction."""
    BEGIN_READ_ONLY = "begin read only"
    """It opens a transaction in which the target permits reads only."""
    COMMIT = "commit"
    """It commits a transaction."""
    ROLLBACK = "rollback"
    """It rolls a transaction back."""
    SAVEPOINT = "savepoint"
    """It sets, releases or rolls back to a savepoint."""
    TRANSACTION_SET = "transaction set"
    """It changes a setting for the current transaction only."""
    SESSION_SET = "session set"
    """It changes a setting of the session."""
    SHOW = "show"
    """It shows a setting."""
    DEALLOCATE = "deallocate"
    """It deallocates prepared statements."""
    DISCARD = "discard"
    """It discards state of the session."""
    UNSUPPORTED = "unsupported"
    """It needs a dedicated connection, which pooling does not provide."""


class ReadRequest(NamedTuple):
    """A read, or a read-only transaction, that needs a database.

    Parameters
    ----------
    arrived_at : float
        When it arrived, by the node's clock, seconds.
    token : LogPosition or None
        The last position its session has written in the group; None if unknown.
    max_age : float
        Staleness that it accepts, seconds, counted back from `arrived_at`.
    reads : str
        `READS_ANY` or `READS_PRIMARY`.
    zone : str
        Availability zone of this node; empty if zones do not matter.
    sample : LogPosition or None
        A position of the primary that was sampled, with its term confirmed by
        a majority, after `arrived_at`; None if there is none.
    may_wait : bool
        False if it has already waited for a replica.
    excluded : tuple of str
        Databases that refused it.
    deadline : float
        When it must have been answered, by the node's clock, seconds.
    sequence : int
        Number of the request on this node, for round robin among equal targets.
    written_at : float
        When its session last wrote, by the node's clock, seconds.
    needed : LogPosition or None
        A position that includes all writes acknowledged before the needed time,
        for databases that check positions; None if none is proven.
    tried_proof : bool
        True if a proof of the term was requested since it arrived, without success.
    account : str
        The client account that sent it; empty where there are no accounts.
    may_run_unproven : bool
        True if it may run at the primary in parallel with the proof that this one
        leads; its answer is held back until the proof.
    via_zone : str
        Availability zone of the instance that runs the account's operations; empty if
        it is unknown.
    """

    arrived_at: float
    token: LogPosition | None
    max_age: float = 0.0
    reads: str = READS_ANY
    zone: str = ""
    sample: LogPosition | None = None
    may_wait: bool = True
    excluded: tuple[str, ...] = ()
    deadline: float = math.inf
    sequence: int = 0
    written_at: float = -math.inf
    needed: LogPosition | None = None
    tried_proof: bool = False
    account: str = ""
    may_run_unproven: bool = False
    via_zone: str = ""


class WriteRequest(NamedTuple):
    """A write, or a transaction that may write, that needs the primary.

    Parameters
    ----------
    arrived_at : float
        When it arrived, by the node's clock, seconds.
    sampled : bool
        True if a majority has confirmed the primary's term since `arrived_at`.
    excluded : tuple of str
        Databases that refused it.
    opens_transaction : bool
        True if it opens a transaction, in which reads may follow.
    """

    arrived_at: float
    sampled: bool = False
    excluded: tuple[str, ...] = ()
    opens_transaction: bool = False


class TargetLoad(NamedTuple):
    """The load of one database.

    Parameters
    ----------
    database : str
        Name of the database.
    zone : str
        Its availability zone.
    outstanding : int
        Requests of this node that run there or are queued for it.
    limit : int
        Requests that this node can run there concurrently.
    wait : float
        Expected queueing time there, by the owners' reports, seconds; 0 if unknown.
    service_time : float
        Typical service time of a statement there, seconds; 0 if unknown.
    """

    database: str
    zone: str
    outstanding: int
    limit: int
    wait: float = 0.0
    service_time: float = 0.0


class UseTarget(NamedTuple):
    """Run the request on this database now.

    Parameters
    ----------
    database : str
        Name of the database.
    is_replica : bool
        True if the database is a replica of the group.
    refreshes : bool
        True if the primary is to be sampled in the background, so that the
        freshness of replicas is proven for later reads.
    after : LogPosition or None
        The position that the database must show, where it can check that itself.
    needs_proof : bool
        True if the answer may be sent only once the database is proven to have led
        since the request arrived.
    """

    database: str
    is_replica: bool
    refreshes: bool = False
    after: LogPosition | None = None
    needs_proof: bool = False


class AwaitedTarget(NamedTuple):
    """A replica that can serve a read once it has applied a position.

    Parameters
    ----------
    database : str
        Name of the database.
    position : LogPosition
        What it must have applied.
    """

    database: str
    position: LogPosition


class WaitForTarget(NamedTuple):
    """Wait until one of some replicas is ready, then run the request there.

    If none is ready before the timeout, choose again with `may_wait` false.

    Parameters
    ----------
    targets : tuple of AwaitedTarget
        The replicas, best first.
    timeout : float
        Longest wait, seconds.
    """

    targets: tuple[AwaitedTarget, ...]
    timeout: float


class NeedSample(NamedTuple):
    """Sample the primary and have its term confirmed, then choose again.

    Parameters
    ----------
    timeout : float
        Longest wait, seconds. If there is no sample by then, the request is
        refused without having run.
    needs_position : bool
        False if confirmation of the term suffices, without a position.
    """

    timeout: float
    needs_position: bool = True


class Refuse(NamedTuple):
    """No database can run the request now; it has not been sent to any.

    Parameters
    ----------
    sqlstate : str
        A code that means that the request did not run.
    text : str
        The reason.
    retry_after : float
        Seconds after which the caller may retry.
    """

    sqlstate: str
    text: str
    retry_after: float


Choice = UseTarget | WaitForTarget | NeedSample | Refuse
