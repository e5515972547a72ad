"""The watches of all databases of a group, with the send times of their requests."""

from collections.abc import Iterable

from beryltrack.groups.adapter import DatabaseGroup
from beryltrack.groups.messages import PRIMARY
from beryltrack.groups.view import GroupView
from beryltrack.groups.watch import DatabaseWatch, WatchOwner


class GroupWatches:
    """One watch for each member.

    Parameters
    ----------
    reactor : IReactorTime
        Source of timers.
    adapter : DatabaseGroup
        Sends the requests.
    owner : WatchOwner
        Decides on the next request and handles the results.
    names : iterable of str
        The members.
    """

    def __init__(
        self, reactor, adapter: DatabaseGroup, owner: WatchOwner, names: Iterable[str]
    ):
        self._reactor = reactor
        self._adapter = adapter
        self._owner = owner
        self._is_running = False
        self._watches: dict[str, DatabaseWatch] = {}
        self._sent_at: dict[str, float] = {}
        self.set_databases(tuple(names))

    def start(self) -> None:
        """Start the watches of all members."""
        self._is_running = True
        for watch in self._watches.values():
            watch.start()

    def stop(self) -> None:
        """Stop all watches."""
        self._is_running = False
        for watch in self._watches.values():
            watch.stop()

    def set_databases(self, names: tuple[str, ...]) -> None:
        """Replace the members; the watches of those that remain continue."""
        self._sent_at = {name: self._sent_at.get(name, 0.0) for name in names}
        for name in self._watches.keys() - set(names):
            self._watches.pop(name).stop()
        for name in names:
            if name not in self._watches:
                watch = DatabaseWatch(self._reactor, name, self._adapter, self._owner)
                self._watches[name] = watch
                if self._is_running:
                    watch.start()

    def is_watched(self, database: str) -> bool:
        """Return whether a database is a member."""
        return database in self._watches

    def get_sent_at(self, database: str) -> float:
        """Return the send time of the last request to a database; 0.0 if none."""
        return self._sent_at.get(database, 0.0)

    def record_sent(self, database: str, sent_at: float) -> None:
        """Record the send time of a request to a database."""
        self._sent_at[database] = sent_at

    def wake(self, database: str) -> None:
        """Request a database's status now, if it is still a member."""
        if database in self._watches:
            self._watches[database].wake()

    def wake_all(self) -> None:
        """Request the status of all members now."""
        for watch in self._watches.values():
            watch.wake()

    def wake_replicas(self, view: GroupView) -> None:
        """Request the status of all members that do not report to be primary."""
        for item in view.databases:
            if item.role != PRIMARY:
                self.wake(item.name)
