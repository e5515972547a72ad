"""A group of databases that replicate asynchronously, with terms and promotions.

The model follows the documentation of the users' databases. Only the primary has a
commit until replicas have received it, after a network delay; readers of a replica see
it later still. A promotion takes effect at once in all databases, also in partitioned
ones, and rolls back what the promoted database had not received. If former primaries
continue, the former primary does not notice the promotion: it leads its own term until
it is stepped down, or until some time after it can reach the new primary.
"""

import random
from collections import Counter
from typing import NamedTuple

from beryltrack.groups.messages import PRIMARY, REPLICA, LogPosition

RECEIVE_DELAY = (0.001, 0.004)
"""Bounds in seconds of the time until a replica has received a commit."""

APPLY_DELAY = (0.005, 0.06)
"""Bounds in seconds of the time from a commit's receipt until readers see it."""

STEP_DOWN_DELAY = 1.0
"""Seconds from a promotion until the former primary steps down, if it can reach the new
primary by then; otherwise the interval at which this is checked again."""


class Commit(NamedTuple):
    """One entry of a log: its position, and the values written, by item."""

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
        """The last entry that readers can see."""
        return self.log[self.applied - 1].position if self.applied else self.start

    def read(self, item: bytes) -> bytes:
        """Return an item's value as readers see it, ``none`` if there is none."""
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
        Source of delayed calls.
    names : tuple of str
        Identifiers; the first database is the primary.
    rng : random.Random
        Source of the delays.
    former_primary_continues : bool
        True if a former primary continues to lead its own term.
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
        """The primary of the newest term, None if there is none."""
        leaders = [each for each in self.databases.values() if each.role == PRIMARY]
        return max(leaders, key=lambda each: each.term, default=None)

    def commit(self, database: Database, writes: dict[bytes, bytes]) -> LogPosition:
        """Append a commit to the primary's log, and replicate it."""
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
        """Make a database the primary of the next term, with the log that it has."""
        chosen = self.databases[name]
        if chosen.role == PRIMARY or not chosen.is_up:
            return
        former = self.primary
        self.promotions += 1
        self.term += 1
        for each in self.databases.values():
            if each is not former or not self.former_primary_continues:
                self._make_replica(each, chosen)
        chosen.role, chosen.term, chosen.held = PRIMARY, self.term, 0
        chosen.applied = len(chosen.log)
        self._catch_up(chosen)
        if former is not None and self.former_primary_continues:
            self._clock.callLater(STEP_DOWN_DELAY, self._step_down_former, former)

    def step_down(self, database: Database, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if database.role != PRIMARY or database.term >= term:
            return
        database.role = REPLICA
        if self.primary is not None:
            self._make_replica(database, self.primary)
            self._replicate(self.primary, database)

    def _step_down_former(self, former: Database) -> None:
        """Step a former primary down once it can reach the new primary."""
        if former.role != PRIMARY or former is self.primary:
            return
        if former.is_partitioned or not former.is_up:
            self._clock.callLater(STEP_DOWN_DELAY, self._step_down_former, former)
        else:
            self.step_down(former, self.term)

    def _make_replica(self, database: Database, primary: Database) -> None:
        """Make a database a replica; roll back commits that the primary lacks."""
        positions = {commit.position for commit in primary.log}
        lost = [c.position for c in database.log if c.position not in positions]
        self.rolled_back.update(lost)
        database.log = [c for c in database.log if c.position in positions]
        database.applied = min(database.applied, len(database.log))
        database.role = REPLICA

    def release(self, database: Database) -> None:
        """End a replica's hold, so that it receives again."""
        database.held = 0
        if self.primary is not None:
            self._replicate(self.primary, database)

    def catch_up(self) -> None:
        """Replicate what could not be sent while databases were partitioned."""
        if self.primary is not None:
            self._catch_up(self.primary)

    def _catch_up(self, primary: Database) -> None:
        """Send a primary's log to all replicas that can receive it."""
        for replica in self.databases.values():
            if replica is not primary:
                self._replicate(primary, replica)

    def _replicate(self, primary: Database, replica: Database) -> None:
        """Send a replica the primary's log, unless it is held or cannot be reached."""
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
        """Make a commit visible to a replica's readers, with all before it."""
        for index in range(replica.applied, len(replica.log)):
            if replica.log[index].position <= position:
                replica.applied = index + 1

    @property
    def may_restart_empty(self) -> bool:
        """True if a database may restart empty.

        Only one at a time may: if two lose their data before the first has caught up,
        no database may be left with a commit that both had. None may during a
        promotion, because the service promotes the database that runs under the
        identifier when the call takes effect, even one that restarted empty.
        """
        if any(self.promoting.values()) or self.primary is None:
            return False
        if self._emptied is None:
            return True
        database, needed = self._emptied
        return database.received >= needed

    def restart_empty(self, name: str) -> None:
        """Restart a database that has lost its log and its term."""
        database = self.databases[name]
        longest = max(each.received for each in self.databases.values())
        self._emptied = (database, longest)
        database.log, database.applied = [], 0
        database.start, database.term = LogPosition(0, 0), 0
        database.role = REPLICA
        self.restart(name)

    def crash(self, name: str) -> None:
        """Stop a database without loss of its log."""
        self.databases[name].is_up = False

    def restart(self, name: str) -> None:
        """Restart a database with its log; its hold has ended."""
        database = self.databases[name]
        database.is_up, database.held = True, 0
        if self.primary is not None and self.primary is not database:
            self._replicate(self.primary, database)
        elif self.primary is database:
            self._catch_up(database)
