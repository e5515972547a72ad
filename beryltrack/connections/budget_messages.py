"""Messages and actions by which proxies keep a database's total of connections.

All messages are flat tuples of numbers and text, which CBOR encodes directly. A process
is identified by its holder identifier, the instance's name and the incarnation of the
process, so that a restarted instance is not taken for its predecessor.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class BudgetedDatabase(NamedTuple):
    """A database whose connections are divided among the seats.

    Parameters
    ----------
    key : str
        ``GROUP/DATABASE``.
    group : str
        Its group, which determines the seats that own it.
    total : int
        Maximum number of connections over all proxies, including control connections.
    """

    key: str
    group: str
    total: int


class BudgetPlan(NamedTuple):
    """How connections are divided among seats; the same on every proxy.

    Parameters
    ----------
    seats : int
        Number of seats in the fleet; the holder of a seat has its shares.
    max_owners : int
        Maximum number of seats among which the connections of one database are divided.
    """

    seats: int
    max_owners: int


class SeatRecord(NamedTuple):
    """The holder of a seat, as in the platform's object.

    Parameters
    ----------
    seat : int
        Number of the seat, from 0.
    version : int
        Version of its last write; 0 if it was never written. It keeps the era of that
        write even if the store has been restored from a backup since.
    holder : str
        Identifier of the holder; empty if the seat is free.
    stored_version : int
        Version under which the store has it, which is the condition of the next write;
        0 if the record is not from the store.
    """

    seat: int
    version: int
    holder: str
    stored_version: int = 0


class LiveHolders(NamedTuple):
    """The live processes of the fleet, by the instance list or by gossip.

    Parameters
    ----------
    live : frozenset of str
        Identifiers of all processes that may still run.
    leaving : frozenset of str
        Those that are leaving and need no seat.
    eras : mapping of str to int
        The store's era in which each process has confirmed its seats; 0 if missing.
    """

    live: frozenset[str]
    leaving: frozenset[str] = frozenset()
    eras: Mapping[str, int] = MappingProxyType({})


class DatabaseUse(NamedTuple):
    """A proxy's use of a database, control connections included.

    Parameters
    ----------
    open : int
        Connections that the database may count.
    busy : int
        Connections that are held by requests, and control connections.
    waiting : int
        Requests that wait for a connection.
    """

    open: int
    busy: int
    waiting: int

    @property
    def demand(self) -> int:
        """Connections that could be used now."""
        return self.busy + self.waiting


class LoanRequest(NamedTuple):
    """Requests unused connections from another seat holder."""

    database: str
    request: int
    count: int


class LoanGrant(NamedTuple):
    """Grants or renews a loan, for a time from the request on.

    Parameters
    ----------
    database : str
        The database's key.
    request : int
        Number of the borrower's request or renewal.
    loan : int
        Number of the loan, unique at the lender.
    count : int
        Connections that are lent.
    duration : float
        Seconds from the time at which the borrower sent its request.
    """

    database: str
    request: int
    loan: int
    count: int
    duration: float


class LoanRefusal(NamedTuple):
    """Refuses to lend or to renew."""

    database: str
    request: int


class LoanRenewal(NamedTuple):
    """Requests the renewal of a loan, of which the borrower keeps `keep`."""

    database: str
    request: int
    loan: int
    keep: int


class LoanReturn(NamedTuple):
    """Returns all but `keep` connections of a loan; `keep` never rises."""

    database: str
    loan: int
    keep: int


class LoanRecall(NamedTuple):
    """Asks the borrower to return all but `keep` connections of a loan soon."""

    database: str
    loan: int
    keep: int


BudgetMessage = (
    LoanRequest | LoanGrant | LoanRefusal | LoanRenewal | LoanReturn | LoanRecall
)


class SendToHolder(NamedTuple):
    """Send a message to another proxy; it may be lost."""

    holder: str
    message: BudgetMessage


class WriteSeat(NamedTuple):
    """Write a seat's object if it still has a version; report the resulting seat.

    Parameters
    ----------
    seat : int
        Number of the seat.
    holder : str
        The new holder; empty to free the seat.
    if_version : int
        Write only if the object has this version.
    """

    seat: int
    holder: str
    if_version: int


class SetLimit(NamedTuple):
    """Change the limits of a database's pool.

    Parameters
    ----------
    database : str
        The database's key.
    limit : int
        Maximum number of connections for new requests.
    hard_limit : int
        Maximum number of connections that may exist; a surplus is closed at once,
        even in use.
    """

    database: str
    limit: int
    hard_limit: int


BudgetAction = SendToHolder | WriteSeat | SetLimit
