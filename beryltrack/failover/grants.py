"""Asks all databases of a group for a term at once."""

from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.failover.messages import Election
from beryltrack.groups.adapter import DatabaseGroup
from beryltrack.groups.messages import GrantReply
from beryltrack.groups.view import compute_majority


class _Collection:
    """The replies so far, and the Deferred that fires when they suffice."""

    def __init__(
        self,
        size: int,
        preferred: str,
        quorum: int,
        non_voting_primary: str,
        needs_all: bool,
    ):
        self._needs_all = needs_all
        self.done: Deferred = Deferred()
        self._size = size
        self._quorum = quorum
        self._preferred = preferred
        self._non_voting_primary = non_voting_primary
        self._replies: list[GrantReply] = []
        self._failed: set[str] = set()

    def add(self, database: str, result) -> None:
        """Take in the result for one database."""
        if isinstance(result, Success):
            self._replies.append(result.unwrap())
        else:
            self._failed.add(database)
        if self._suffices():
            self.finish()

    def finish(self) -> None:
        """Wait for no more replies."""
        if not self.done.called:
            self.done.callback(tuple(self._replies))

    def _suffices(self) -> bool:
        """Return whether waiting for more can change nothing that matters."""
        answered = {reply.status.name for reply in self._replies} | self._failed
        if len(answered) == self._size:
            return True
        granted = sum(
            reply.granted and reply.status.name != self._non_voting_primary
            for reply in self._replies
        )
        waits_for_preferred = self._preferred and self._preferred not in answered
        waits = self._needs_all or waits_for_preferred
        return granted >= self._quorum and not waits


async def collect_grants(
    reactor,
    adapter: DatabaseGroup,
    databases: tuple[str, ...],
    election: Election,
    quorum: int | None = None,
    needs_all: bool = False,
) -> tuple[GrantReply, ...]:
    """Ask each database for the election's term.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    adapter : DatabaseGroup
        Carries the requests.
    databases : tuple of str
        All members of the group.
    election : Election
        What to ask for.
    quorum : int or None
        How many databases the election needs; None for a majority.
    needs_all : bool
        True if what one more database has received may decide who can be elected.

    Returns
    -------
    tuple of GrantReply
        The answers that came until a majority had granted, the preferred
        database had answered if there is one, all had answered or failed, or
        the election's time for it was over.
    """
    collection = _Collection(
        len(databases),
        election.preferred,
        quorum or compute_majority(len(databases)),
        election.non_voting_primary,
        needs_all,
    )

    async def ask(database: str) -> None:
        lost_after = election.lost_after
        if database in election.deposed:
            if election.non_voting_primary:
                # It leads on, and would follow the former primary soon, and let that
                # one's commits count, if its word were taken for a grant.
                await adapter.stop_writes(database, election.term - 1)
            else:
                lost_after = 0.0
        result = await adapter.grant(
            database, election.term, election.candidate, lost_after
        )
        collection.add(database, result)

    for database in databases:
        Deferred.fromCoroutine(ask(database))
    timer = reactor.callLater(election.grant_timeout, collection.finish)
    try:
        return await collection.done
    finally:
        if timer.active():
            timer.cancel()
