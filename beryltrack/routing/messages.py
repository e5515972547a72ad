"""What routing is asked and what it answers."""

import math
from enum import Enum
from typing import NamedTuple

from beryltrack.groups.messages import LogPosition
from beryltrack.sessions.request_options import READS_ANY


class StatementKind(Enum):
    """What a statement does, as far as its text shows."""

    EMPTY = "empty"
    """Nothing to run."""
    READ = "read"
    """It provably changes nothing."""
    WRITE = "write"
    """It may change data."""
    BEGIN = "begin"
    """It opens a transaction."""
    BEGIN_READ_ONLY = "begin read only"
    """It opens a transaction that the target holds to reading."""
    COMMIT = "commit"
    """It ends a transaction and keeps its changes."""
    ROLLBACK = "rollback"
    """It ends a transaction and drops its changes."""
    SAVEPOINT = "savepoint"
    """It sets, releases or goes back to a savepoint."""
    TRANSACTION_SET = "transaction set"
    """It changes a setting for the current transaction only."""
    SESSION_SET = "session set"
    """It changes a setting of the session."""
    SHOW = "show"
    """It shows a setting."""
    DEALLOCATE = "deallocate"
    """It drops prepared statements."""
    DISCARD = "discard"
    """It drops state of the session."""
    UNSUPPORTED = "unsupported"
    """It needs a connection of its own, which pooled connections cannot give."""


class ReadRequest(NamedTuple):
    """A read, or a read-only transaction, that needs a database.

    Parameters
    ----------
    arrived_at : float
        When it arrived, by the node's clock, seconds.
    token : LogPosition or None
        What its session has written in the group; None if that is not known.
    max_age : float
        Staleness that it accepts, seconds, counted back from `arrived_at`.
    reads : str
        `READS_ANY` or `READS_PRIMARY`.
    zone : str
        Availability zone of this node; empty if it does not matter.
    sample : LogPosition or None
        A position of the primary that was sampled, and its term confirmed by
        a majority, after `arrived_at`; None if there is none.
    may_wait : bool
        False if it has waited for a replica before.
    excluded : tuple of str
        Databases that refused it.
    deadline : float
        When it must have been answered, by the node's clock, seconds.
    sequence : int
        Number of the request on this node, by which equal targets take turns.
    written_at : float
        When its session last wrote, by the node's clock.
    needed : LogPosition or None
        A position that shows all that was acknowledged before the needed time,
        for databases that check it; None if none is proven.
    tried_proof : bool
        True if a proof of the term was asked for since it arrived, and was of no use.
    account : str
        The client account whose read it is; empty where there are none.
    may_run_unproven : bool
        True if it may run at the primary while the proof that this one leads is asked
        for; its answer is held until then.
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
        True if the primary's term was confirmed by a majority since then.
    excluded : tuple of str
        Databases that refused it.
    opens_transaction : bool
        True if reads may follow in its transaction.
    """

    arrived_at: float
    sampled: bool = False
    excluded: tuple[str, ...] = ()
    opens_transaction: bool = False


class TargetLoad(NamedTuple):
    """The work of this node at one database.

    Parameters
    ----------
    database : str
        Name of the database.
    zone : str
        Its availability zone.
    outstanding : int
        Requests of this node that it runs or that queue for it.
    limit : int
        Requests that this node can have running there at once.
    wait : float
        Expected wait there of a request, by what owners tell, seconds; 0 if unknown.
    work : float
        Usual time of a statement there, seconds; 0 if unknown.
    """

    database: str
    zone: str
    outstanding: int
    limit: int
    wait: float = 0.0
    work: float = 0.0


class UseTarget(NamedTuple):
    """Run the request on this database now.

    Parameters
    ----------
    database : str
        Name of the database.
    is_replica : bool
        True if it counts as a replica in the share of reads.
    refreshes : bool
        True if the primary is to be sampled meanwhile, without a wait, so that
        later reads find the ages of replicas proven.
    after : LogPosition or None
        What the database must show, where it can check that itself.
    needs_proof : bool
        True if the answer counts only once it is proven that the database has led
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

    If the wait ends without that, choose again with `may_wait` false.

    Parameters
    ----------
    targets : tuple of AwaitedTarget
        The replicas, the best one first.
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
        refused as not run.
    needs_position : bool
        False if it suffices that the term is confirmed, without a position.
    """

    timeout: float
    needs_position: bool = True


class Refuse(NamedTuple):
    """No database can run the request now; it has not been sent to any.

    Parameters
    ----------
    sqlstate : str
        A code of the class that means that the request did not run.
    text : str
        Why.
    retry_after : float
        Seconds after which another attempt can succeed.
    """

    sqlstate: str
    text: str
    retry_after: float


Choice = UseTarget | WaitForTarget | NeedSample | Refuse
