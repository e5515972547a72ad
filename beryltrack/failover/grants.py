"""Requests grants of a term from all databases of a group in parallel."""

from returns.result import Success
from twisted.internet.defer import Deferred

from beryltrack.failover.messages import Election
from beryltrack.groups.adapter import DatabaseGroup
from beryltrack.groups.messages import GrantReply
from beryltrack.groups.view import compute_majority


class _GrantCollector:
    """The replies received, and the Deferred that fires once they suffice."""

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
        """Add the result of one database's request."""
        if isinstance(result, Success):
            self._replies.append(result.unwrap())
        else:
            self._failed.add(database)
        if self._suffices():
            self.finish()

    def finish(self) -> None:
        """Fire with the replies received so far, unless it has already fired."""
        if not self.done.called:
            self.done.callback(tuple(self._replies))

    def _suffices(self) -> bool:
        """Return whether further replies cannot affect the election."""
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
    """Request a grant of the election's term from each database.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    adapter : DatabaseGroup
        Sends the requests.
    databases : tuple of str
        All members of the group.
    election : Election
        The election: its term, candidate and time limit.
    quorum : int or None
        How many databases the election needs; None for a majority.
    needs_all : bool
        True if one more database's log may decide which database can be elected.

    Returns
    -------
    tuple of GrantReply
        The answers that arrived until a quorum had granted and the preferred
        database, if any, had answered; until all requests had ended; or until
        `grant_timeout` had elapsed.
    """
    collector = _GrantCollector(
        len(databases),
        election.preferred,
        quorum or compute_majority(len(databases)),
        election.non_voting_primary,
        needs_all,
    )

    async def request_grant(database: str) -> None:
        lost_after = election.lost_after
        if database in election.deposed:
            if election.non_voting_primary:
                # It still leads an old term. If its answer counted as a grant, it
                # would soon follow the previous primary, whose commits would then
                # be confirmed.
                await adapter.stop_writes(database, election.term - 1)
            else:
                lost_after = 0.0
        result = await adapter.grant(
            database, election.term, election.candidate, lost_after
        )
        collector.add(database, result)

    for database in databases:
        Deferred.fromCoroutine(request_grant(database))
    timer = reactor.callLater(election.grant_timeout, collector.finish)
    try:
        return await collector.done
    finally:
        if timer.active():
            timer.cancel()
