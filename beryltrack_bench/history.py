"""Typed events of a run, the input of the checker.

An experiment records what callers, databases and proxies observe from outside.
No event comes from the code under test, so a defect there cannot hide itself.
"""

from enum import Enum
from typing import NamedTuple


class Refusal(Enum):
    """The outcome of a request that an error reports to its caller."""

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
        One key for each statement, in order; unique to the request.
    at_most_once : bool
        True if the request has an identifier and must run at most once.
    at : float
        When, seconds.
    """

    session: str
    group: str
    keys: tuple[str, ...]
    at_most_once: bool
    at: float


class WriteAcknowledged(NamedTuple):
    """A caller received the acknowledgement of its write.

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
    """A caller received an error for its write.

    Parameters
    ----------
    group : str
        The database group.
    keys : tuple of str
        The keys of the request.
    refusal : Refusal
        The outcome that the error reports.
    at : float
        When, seconds.
    """

    group: str
    keys: tuple[str, ...]
    refusal: Refusal
    at: float


class ReadAnswered(NamedTuple):
    """A caller received the answer to a read.

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
        The keys of the committed statements.
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
    """The log of a group's last primary after all faults have ended.

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
    """A proxy received a request.

    Parameters
    ----------
    request : str
        Unique name of the request.
    proxy : str
        The receiving proxy.
    at : float
        When, seconds.
    """

    request: str
    proxy: str
    at: float


class RequestAnswered(NamedTuple):
    """A caller received an answer, or an error that reports its request's outcome.

    Parameters
    ----------
    request : str
        The request that the caller sent.
    rows : tuple of str
        The rows received; each names the request that it belongs to.
    expected : tuple of str
        The complete answer to this request; empty after an error.
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
    """A target announced that it is leaving.

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
    """A target withdrew its announcement that it is leaving.

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
    """A target received a request.

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
        The object's new version.
    at : float
        When, seconds.
    change_id : str
        The identifier of the change; empty if it has none.
    """

    path: str
    version: int
    at: float
    change_id: str = ""


class ChangeAnswered(NamedTuple):
    """An operator received the outcome of a change.

    Parameters
    ----------
    change_id : str
        The change's identifier.
    refusal : Refusal or None
        None if the change was reported as made.
    """

    change_id: str
    refusal: Refusal | None


class VersionInForce(NamedTuple):
    """A proxy was observed to use a version of a settings object.

    Parameters
    ----------
    proxy : str
        The proxy's process; a restarted process has another name.
    path : str
        The object's path.
    version : int
        The version in force; zero if the proxy knows none.
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
