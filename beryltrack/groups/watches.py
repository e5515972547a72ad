"""The watches of a group's databases, and when each database was last asked."""

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
        Carries the requests.
    owner : WatchOwner
        Says what to ask when, and takes the results.
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
        """Begin to ask all members."""
        self._is_running = True
        for watch in self._watches.values():
            watch.start()

    def stop(self) -> None:
        """Ask nobody any more."""
        self._is_running = False
        for watch in self._watches.values():
            watch.stop()

    def set_databases(self, names: tuple[str, ...]) -> None:
        """Take the members from new settings; those that stay are asked on."""
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
        """Return when a database was last asked."""
        return self._sent_at.get(database, 0.0)

    def note_sent(self, database: str, sent_at: float) -> None:
        """Note when a database was asked."""
        self._sent_at[database] = sent_at

    def wake(self, database: str) -> None:
        """Ask a database now, if it is still a member."""
        if database in self._watches:
            self._watches[database].wake()

    def wake_all(self) -> None:
        """Ask all members now."""
        for watch in self._watches.values():
            watch.wake()

    def wake_replicas(self, view: GroupView) -> None:
        """Ask all members now that do not say that they lead."""
        for item in view.databases:
            if item.role != PRIMARY:
                self.wake(item.name)
