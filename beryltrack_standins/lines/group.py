"""A group of databases that replicate asynchronously, with terms and promotions.

The model is what the users' pages say of their databases: a commit is the primary's
alone until replicas have received it, which takes a network delay; readers of a
replica see it later still. A promotion takes effect at once everywhere, whoever is cut
off, and rolls back what its database had not received. Where primaries go on, the
former one does not notice it: it leads its own term until it is stepped down, or some
time after it can reach the next one.
"""

import random
from collections import Counter
from typing import NamedTuple

from beryltrack.groups.messages import PRIMARY, REPLICA, LogPosition

RECEIVE_DELAY = (0.001, 0.004)
"""Bounds of the seconds after which a replica has received a commit."""

APPLY_DELAY = (0.005, 0.06)
"""Bounds of the seconds after which its readers see a commit that it received."""

STEP_DOWN_DELAY = 1.0
"""Seconds for which a former primary goes on once it can reach the next one."""


class Commit(NamedTuple):
    """One entry of a log: its position, and the data by item."""

    position: LogPosition
    writes: dict[bytes, bytes]


class Database:
    """One database of a group.

    Parameters
    ----------
    name : str
        Its identifier.
    """

    def __init__(self, name: str):
        self.name = name
        self.role = REPLICA
        self.term = 1
        self.held = 0
        self.is_up = True
        self.is_partitioned = False
        self.log: list[Commit] = []
        self.applied = 0
        self.start = LogPosition(1, 0)

    @property
    def received(self) -> LogPosition:
        """The last entry of its log."""
        return self.log[-1].position if self.log else self.start

    @property
    def visible(self) -> LogPosition:
        """The last entry that its readers see."""
        return self.log[self.applied - 1].position if self.applied else self.start

    def read(self, item: bytes) -> bytes:
        """Return the data of an item as its readers see it."""
        return next(
            (
                commit.writes[item]
                for commit in reversed(self.log[: self.applied])
                if item in commit.writes
            ),
            b"none",
        )


class Group:
    """The databases of one group.

    Parameters
    ----------
    clock : IReactorTime
        Carries the delays.
    names : tuple of str
        Identifiers; the first one leads.
    rng : random.Random
        Source of the delays.
    former_primary_continues : bool
        True if a former primary goes on.
    """

    def __init__(
        self,
        clock,
        names: tuple[str, ...],
        rng: random.Random,
        former_primary_continues: bool = False,
    ):
        self.former_primary_continues = former_primary_continues
        self.databases = {name: Database(name) for name in names}
        self.databases[names[0]].role = PRIMARY
        self.term = 1
        self.lag_factor = 1.0
        self.rolled_back: set[LogPosition] = set()
        self.promotions = 0
        self.promoting: Counter[str] = Counter()
        self._emptied: tuple[Database, LogPosition] | None = None
        self._clock = clock
        self._rng = rng

    @property
    def primary(self) -> Database | None:
        """The database that leads the newest term."""
        leaders = [each for each in self.databases.values() if each.role == PRIMARY]
        return max(leaders, key=lambda each: each.term, default=None)

    def commit(self, database: Database, writes: dict[bytes, bytes]) -> LogPosition:
        """Append a commit to the primary's log and send it to the replicas."""
        last = database.received
        commit = Commit(LogPosition(database.term, last.offset + 1), writes)
        database.log.append(commit)
        database.applied = len(database.log)
        for replica in self.databases.values():
            if replica is not database:
                delay = self._rng.uniform(*RECEIVE_DELAY)
                self._clock.callLater(delay, self._replicate, database, replica)
        return commit.position

    def promote(self, name: str) -> None:
        """Have a database lead the next term with what it has received."""
        chosen = self.databases[name]
        if chosen.role == PRIMARY or not chosen.is_up:
            return
        former = self.primary
        self.promotions += 1
        self.term += 1
        for each in self.databases.values():
            if each is not former or not self.former_primary_continues:
                self._follow(each, chosen)
        chosen.role, chosen.term, chosen.held = PRIMARY, self.term, 0
        chosen.applied = len(chosen.log)
        self._catch_up(chosen)
        if former is not None and self.former_primary_continues:
            self._clock.callLater(STEP_DOWN_DELAY, self._notice, former)

    def step_down(self, database: Database, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if database.role != PRIMARY or database.term >= term:
            return
        database.role = REPLICA
        if self.primary is not None:
            self._follow(database, self.primary)
            self._replicate(self.primary, database)

    def _notice(self, former: Database) -> None:
        """Have a former primary follow the next one, once it can reach that."""
        if former.role != PRIMARY or former is self.primary:
            return
        if former.is_partitioned or not former.is_up:
            self._clock.callLater(STEP_DOWN_DELAY, self._notice, former)
        else:
            self.step_down(former, self.term)

    def _follow(self, database: Database, primary: Database) -> None:
        """Take back what another one's log does not have, and lead no more."""
        kept = {commit.position for commit in primary.log}
        lost = [c.position for c in database.log if c.position not in kept]
        self.rolled_back.update(lost)
        database.log = [c for c in database.log if c.position in kept]
        database.applied = min(database.applied, len(database.log))
        database.role = REPLICA

    def release(self, database: Database) -> None:
        """Let a replica receive again."""
        database.held = 0
        if self.primary is not None:
            self._replicate(self.primary, database)

    def catch_up(self) -> None:
        """Send what was held up while databases were cut off from each other."""
        if self.primary is not None:
            self._catch_up(self.primary)

    def _catch_up(self, primary: Database) -> None:
        """Send a primary's log to all replicas that may receive."""
        for replica in self.databases.values():
            if replica is not primary:
                self._replicate(primary, replica)

    def _replicate(self, primary: Database, replica: Database) -> None:
        """Bring a replica's log up to that of its primary."""
        if primary is not self.primary or replica.held or replica.role == PRIMARY:
            return
        if primary.is_partitioned or replica.is_partitioned:
            return
        if not (primary.is_up and replica.is_up):
            return
        replica.term = primary.term
        fresh = primary.log[len(replica.log) :]
        replica.log.extend(fresh)
        for commit in fresh:
            delay = self._rng.uniform(*APPLY_DELAY) * self.lag_factor
            self._clock.callLater(delay, self._apply, replica, commit.position)

    def _apply(self, replica: Database, position: LogPosition) -> None:
        """Show a commit to a replica's readers, in the order of the log."""
        for index in range(replica.applied, len(replica.log)):
            if replica.log[index].position <= position:
                replica.applied = index + 1

    @property
    def may_restart_empty(self) -> bool:
        """True if a database may start again empty.

        One at a time: what two have lost before either has caught up was perhaps
        nowhere else. Nor while a call to promote one is under way, which the promotion
        service carries out for whatever runs under the identifier by then.
        """
        if any(self.promoting.values()) or self.primary is None:
            return False
        if self._emptied is None:
            return True
        database, needed = self._emptied
        return database.received >= needed

    def restart_empty(self, name: str) -> None:
        """Start a database again that holds and knows nothing of before."""
        database = self.databases[name]
        longest = max(each.received for each in self.databases.values())
        self._emptied = (database, longest)
        database.log, database.applied = [], 0
        database.start, database.term = LogPosition(0, 0), 0
        database.role = REPLICA
        self.restart(name)

    def crash(self, name: str) -> None:
        """Stop a database; it keeps its log."""
        self.databases[name].is_up = False

    def restart(self, name: str) -> None:
        """Start a database again; its hold is over."""
        database = self.databases[name]
        database.is_up, database.held = True, 0
        if self.primary is not None and self.primary is not database:
            self._replicate(self.primary, database)
        elif self.primary is database:
            self._catch_up(database)
