"""Messages and actions by which proxies keep a database's connection total.

All are flat tuples of numbers and text, so that CBOR carries them as they are.
Proxies are named by holder identifiers: a name and the incarnation of the
process, so that a restarted instance is not taken for its predecessor.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class BudgetedDatabase(NamedTuple):
    """A database whose connections are shared out.

    Parameters
    ----------
    key : str
        ``GROUP/DATABASE``.
    group : str
        Its group, which decides who owns it.
    total : int
        Most connections over all proxies, control connections included.
    """

    key: str
    group: str
    total: int


class BudgetPlan(NamedTuple):
    """How shares are laid out; the same on every proxy.

    Parameters
    ----------
    seats : int
        Number of seats in the fleet; a proxy that holds a seat has its share.
    most_owners : int
        Most seats among which the connections of one database are shared.
    """

    seats: int
    most_owners: int


class SeatRecord(NamedTuple):
    """Who holds a seat, as the platform's object says.

    Parameters
    ----------
    seat : int
        Number of the seat, from 0.
    version : int
        Version of the write that made it; 0 if it was never written. It keeps the era
        of that write also where a store shows it that was restored from a backup since.
    holder : str
        Identifier of the holder; empty if the seat is free.
    seen : int
        Version under which the store shows it, on which a write of it depends; 0 if
        it was not told by the store.
    """

    seat: int
    version: int
    holder: str
    seen: int = 0


class LiveHolders(NamedTuple):
    """The processes of the fleet, by the instance list or by the peers' word.

    Parameters
    ----------
    live : frozenset of str
        Identifiers of all that may still run.
    leaving : frozenset of str
        Those among them that are leaving and want no seat.
    eras : mapping of str to int
        The era of the store in which each has confirmed its seats, 0 if not given.
    """

    live: frozenset[str]
    leaving: frozenset[str] = frozenset()
    eras: Mapping[str, int] = MappingProxyType({})


class DatabaseUse(NamedTuple):
    """How a proxy uses a database, control connections included.

    Parameters
    ----------
    open : int
        Connections that the database may count.
    busy : int
        Connections that are held by requests or by control.
    waiting : int
        Requests that wait for a connection.
    """

    open: int
    busy: int
    waiting: int

    @property
    def demand(self) -> int:
        """Connections that could be put to use now."""
        return self.busy + self.waiting


class LoanRequest(NamedTuple):
    """Asks an owner for unused connections."""

    database: str
    request: int
    count: int


class LoanGrant(NamedTuple):
    """Lends connections, or renews a loan, for a time from the request on.

    Parameters
    ----------
    database : str
        The database's key.
    request : int
        The borrower's request or renewal that this answers.
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
    """Says that nothing is lent now."""

    database: str
    request: int


class LoanRenewal(NamedTuple):
    """Asks to lengthen a loan, of which `keep` connections are still held."""

    database: str
    request: int
    loan: int
    keep: int


class LoanReturn(NamedTuple):
    """Gives back all but `keep` connections of a loan; `keep` never rises."""

    database: str
    loan: int
    keep: int


class LoanRecall(NamedTuple):
    """Asks to give back all but `keep` connections of a loan soon."""

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
    """Write a seat's object if it still has a version; report what it is then.

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
    """Change what a database's pool may open.

    Parameters
    ----------
    database : str
        The database's key.
    limit : int
        Most connections for new work.
    right : int
        Most connections that may exist; beyond it they are closed at once.
    """

    database: str
    limit: int
    right: int


BudgetAction = SendToHolder | WriteSeat | SetLimit
