"""What happened in a run, as typed records that the checker reads.

An experiment records what callers, databases and proxies could see from
outside. Nothing here comes from the code under test, so that a defect in it
cannot hide itself.
"""

from enum import Enum
from typing import NamedTuple


class Refusal(Enum):
    """What an error told the caller of its request."""

    NOT_RUN = "not run"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "outcome unknown"


class WriteRequested(NamedTuple):
    """A caller sent a write transaction.

    Parameters
    ----------
    session : str
        The session that sent it.
    group : str
        The database group.
    keys : tuple of str
        One key for each of its statements, in order; unique to the request.
    at_most_once : bool
        True if the request is marked as non-idempotent.
    at : float
        When, seconds.
    """

    session: str
    group: str
    keys: tuple[str, ...]
    at_most_once: bool
    at: float


class WriteAcknowledged(NamedTuple):
    """A caller was told that its write is committed.

    Parameters
    ----------
    session : str
        The session.
    group : str
        The database group.
    keys : tuple of str
        The keys of the request.
    at : float
        When, seconds.
    """

    session: str
    group: str
    keys: tuple[str, ...]
    at: float


class WriteRefused(NamedTuple):
    """A caller was given an error for its write.

    Parameters
    ----------
    group : str
        The database group.
    keys : tuple of str
        The keys of the request.
    refusal : Refusal
        What the error said.
    at : float
        When, seconds.
    """

    group: str
    keys: tuple[str, ...]
    refusal: Refusal
    at: float


class ReadAnswered(NamedTuple):
    """A caller got the answer to a read.

    Parameters
    ----------
    session : str
        The session.
    group : str
        The database group.
    keys : frozenset of str
        The keys that the read saw.
    started_at : float
        When the caller sent it, seconds.
    """

    session: str
    group: str
    keys: frozenset[str]
    started_at: float


class Executed(NamedTuple):
    """A database committed a transaction.

    Parameters
    ----------
    group : str
        The database group.
    keys : tuple of str
        The statements that the commit holds.
    at : float
        When, seconds.
    """

    group: str
    keys: tuple[str, ...]
    at: float


class Promoted(NamedTuple):
    """A database became the primary of a term.

    Parameters
    ----------
    group : str
        The database group.
    term : int
        The new term.
    keys : frozenset of str
        The keys in its log at that moment.
    at : float
        When, seconds.
    """

    group: str
    term: int
    keys: frozenset[str]
    at: float


class FinalLog(NamedTuple):
    """The log of a group's last primary, after all faults are over.

    Parameters
    ----------
    group : str
        The database group.
    entries : tuple of tuple of str
        The keys of each committed transaction, oldest first.
    """

    group: str
    entries: tuple[tuple[str, ...], ...]


class RequestStarted(NamedTuple):
    """A proxy took in a request.

    Parameters
    ----------
    request : str
        The request, unique.
    proxy : str
        The proxy that took it in.
    at : float
        When, seconds.
    """

    request: str
    proxy: str
    at: float


class RequestAnswered(NamedTuple):
    """A caller got an answer, or an error that says what became of its request.

    Parameters
    ----------
    request : str
        The request that the caller had sent.
    rows : tuple of str
        What came as the answer; each row names the request that it belongs to.
    expected : tuple of str
        The whole answer to this request; empty after an error.
    at : float
        When, seconds.
    """

    request: str
    rows: tuple[str, ...]
    expected: tuple[str, ...]
    at: float


class ShutdownBegun(NamedTuple):
    """A proxy began a graceful shutdown.

    Parameters
    ----------
    proxy : str
        The proxy.
    at : float
        When, seconds.
    """

    proxy: str
    at: float


class ProxyCrashed(NamedTuple):
    """A proxy's process ended without a shutdown.

    Parameters
    ----------
    proxy : str
        The proxy.
    at : float
        When, seconds.
    """

    proxy: str
    at: float


class TargetLeft(NamedTuple):
    """A target said that it is leaving.

    Parameters
    ----------
    target : str
        The target.
    at : float
        When, seconds.
    """

    target: str
    at: float


class TargetReturned(NamedTuple):
    """A target took back that it is leaving.

    Parameters
    ----------
    target : str
        The target.
    at : float
        When, seconds.
    """

    target: str
    at: float


class WorkStarted(NamedTuple):
    """A target was given a request.

    Parameters
    ----------
    target : str
        The target.
    at : float
        When, seconds.
    """

    target: str
    at: float


class ChangeAccepted(NamedTuple):
    """The platform accepted a change of a settings object.

    Parameters
    ----------
    path : str
        The object's path.
    version : int
        The version that it got.
    at : float
        When, seconds.
    change_id : str
        The identifier that the change carries; empty if it has none.
    """

    path: str
    version: int
    at: float
    change_id: str = ""


class ChangeAnswered(NamedTuple):
    """An operator was told what became of a change.

    Parameters
    ----------
    change_id : str
        The change's identifier.
    refusal : Refusal or None
        None if it was said to be made.
    """

    change_id: str
    refusal: Refusal | None


class VersionInForce(NamedTuple):
    """A proxy was seen to act by a version of a settings object.

    Parameters
    ----------
    proxy : str
        The proxy's process; a restarted one has another name.
    path : str
        The object's path.
    version : int
        The version in force, zero if it knows none.
    at : float
        When, seconds.
    """

    proxy: str
    path: str
    version: int
    at: float


Event = (
    WriteRequested
    | WriteAcknowledged
    | WriteRefused
    | ReadAnswered
    | Executed
    | Promoted
    | FinalLog
    | RequestStarted
    | RequestAnswered
    | ShutdownBegun
    | ProxyCrashed
    | TargetLeft
    | TargetReturned
    | WorkStarted
    | ChangeAccepted
    | ChangeAnswered
    | VersionInForce
)

History = list[Event]
