"""Which proxy holds which seat, and so whose share of the connections is whose.

Each seat is one object of the platform, changed by conditional updates only,
so that no two proxies ever hold it. A proxy uses a seat as long as the highest
version that it knows names its own process. Nothing lapses while the store is
away: seats then just stay where they are. A store that was restored from a backup
shows seats as they were before; what was written later counts on. Each holder confirms
its seats by a write in the new era, and nobody claims a seat that has not been written
in it before all that are live have confirmed theirs. A seat is freed by its holder when
nothing uses it any more, or by another proxy when its holder has been missing
from the instance list and from the peers' word for longer than any loan lasts.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from math import ceil
from typing import NamedTuple

from beryltrack.connections.budget_messages import (
    BudgetPlan,
    LiveHolders,
    SeatRecord,
    WriteSeat,
)
from beryltrack.objects.eras import get_era, get_latest_era

FREE = ""


class SeatPolicy(NamedTuple):
    """The figures that steer seats; all times in seconds.

    Parameters
    ----------
    evict_after : float
        How long a holder is missing before its seat is freed. Must exceed the
        duration of a loan with its margin, and the lag of the instance list.
    spare_after : float
        How long a seat is free before a proxy takes it as a further one.
    repeat_period : float
        Time after which a write without a known result is tried again.
    """

    evict_after: float = 10.0
    spare_after: float = 3.0
    repeat_period: float = 1.0


class SeatBook:
    """What one proxy knows of the seats, and which it holds.

    Parameters
    ----------
    holder : str
        This process's identifier; never used by another process.
    plan : BudgetPlan
        The number of seats.
    policy : SeatPolicy
        The figures that steer it.
    rng : random.Random
        For the choice among free seats and for jitter.
    """

    def __init__(
        self, holder: str, plan: BudgetPlan, policy: SeatPolicy, rng: random.Random
    ):
        self._holder = holder
        self._plan = plan
        self._policy = policy
        self._rng = rng
        self._records = {n: SeatRecord(n, 0, FREE) for n in range(plan.seats)}
        self._seen = dict.fromkeys(self._records, 0)
        self._eras: Mapping[str, int] = {}
        self._live: frozenset[str] = frozenset()
        self._released: dict[int, int] = {}
        self._giving_up: set[int] = set()
        self._wanting: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._free_since: float | None = None
        self._written_at: dict[int, float] = {}
        self._is_read = False
        self._is_leaving = False

    @property
    def held(self) -> frozenset[int]:
        """Seats that this process holds, also those it is giving up."""
        return frozenset(
            record.seat
            for record in self._records.values()
            if record.holder == self._holder
            and record.version > self._released.get(record.seat, 0)
        )

    @property
    def usable(self) -> frozenset[int]:
        """Seats that it holds and is not giving up."""
        return self.held - self._giving_up

    @property
    def is_settled(self) -> bool:
        """True if no seat waits to be claimed, freed, given up or confirmed."""
        missing = self._missing_since.keys() & self._holders
        has_seat = bool(self.held) or self._is_leaving
        is_confirmed = self.era == self._latest_era
        waiting = self._giving_up or missing or self._get_free()
        return has_seat and is_confirmed and not waiting

    @property
    def records(self) -> tuple[SeatRecord, ...]:
        """What is known of all seats."""
        return tuple(self._records.values())

    @property
    def era(self) -> int:
        """The latest era of the store in which all seats that it holds are confirmed.

        Zero while one of them is not.
        """
        latest = self._latest_era
        is_listed = all(get_era(seen) == latest for seen in self._seen.values())
        is_confirmed = all(self._is_confirmed(seat) for seat in self.held)
        return latest if is_listed and is_confirmed else 0

    @property
    def _latest_era(self) -> int:
        """The latest era of the store that is known."""
        versions = (record.version for record in self._records.values())
        return get_latest_era((*versions, *self._seen.values()))

    def _is_confirmed(self, seat: int) -> bool:
        """Return whether a seat was written in the store's latest era."""
        return get_era(self._records[seat].version) == self._latest_era

    def get_holders(self, seats: Iterable[int]) -> tuple[str, ...]:
        """Return the holders of some seats, each once, in the order of the seats."""
        holders = (self._records[seat].holder for seat in seats)
        return tuple(dict.fromkeys(holder for holder in holders if holder != FREE))

    def observe_seats(self, records: Iterable[SeatRecord], is_complete: bool) -> None:
        """Take in seats' objects, from the store or by way of peers.

        Parameters
        ----------
        records : iterable of SeatRecord
            What is known of some seats; older versions are passed over.
        is_complete : bool
            True if this is a listing of the store, so that what is not in it
            was never written.
        """
        for record in records:
            known = self._records.get(record.seat)
            if known is None:
                continue
            seen = max(record.seen, record.version)
            if seen > self._seen[record.seat]:
                self._seen[record.seat] = seen
                self._written_at.pop(record.seat, None)
            if record.version > known.version:
                self._records[record.seat] = record
                self._written_at.pop(record.seat, None)
        self._is_read = self._is_read or is_complete
        self._giving_up &= self.held

    def observe_live(self, holders: LiveHolders, now: float) -> None:
        """Take in who is live; who is leaving keeps its seats but wants none."""
        live = holders.live | {self._holder}
        self._live, self._eras = live, holders.eras
        self._wanting = live - holders.leaving
        since = self._missing_since
        missing = self._holders - live
        self._missing_since = {name: since.get(name, now) for name in missing}

    def leave(self) -> None:
        """Give up all seats and claim none."""
        self._is_leaving = True

    def choose_giving_up(self) -> None:
        """Give one seat up for a live proxy without any, if it is our turn.

        The shares have to follow before `tick` asks whether they are unused.
        """
        if self._is_leaving:
            self._giving_up |= self.held
            return
        counts = Counter(record.holder for record in self._records.values())
        without = self._wanting - counts.keys()
        if (
            not without
            or self._get_free()
            or self._giving_up
            or self._get_unconfirmed()
        ):
            return
        live_counts = [(counts[name], name) for name in self._wanting if name in counts]
        most, giver = max(live_counts, default=(0, ""))
        if most >= 2 and giver == self._holder:
            self._giving_up.add(max(self.held))

    def tick(self, can_give_up: Callable[[], bool], now: float) -> list[WriteSeat]:
        """Do what is due.

        Parameters
        ----------
        can_give_up : callable
            Whether nothing uses the seats that are being given up any more.
        now : float
            The current time, seconds.

        Returns
        -------
        list of WriteSeat
            Objects to write.
        """
        if not self._is_read:
            return []
        writes = [*self._free_given_up(can_give_up), *self._evict(now)]
        writes += self._confirm()
        writes += self._claim(now)
        due = [write for write in writes if self._is_due(write.seat, now)]
        self._written_at.update((write.seat, now) for write in due)
        return due

    @property
    def _holders(self) -> frozenset[str]:
        names = (record.holder for record in self._records.values())
        return frozenset(name for name in names if name != FREE)

    def _get_free(self) -> list[int]:
        return [n for n, record in self._records.items() if record.holder == FREE]

    def _is_due(self, seat: int, now: float) -> bool:
        """Return whether a write may be tried; its last result may be unknown."""
        last = self._written_at.get(seat, float("-inf"))
        return now - last >= self._policy.repeat_period

    def _write(self, seat: int, holder: str) -> WriteSeat:
        return WriteSeat(seat, holder, self._seen[seat])

    def _confirm(self) -> list[WriteSeat]:
        """Write the seats that it holds again in the store's new era."""
        return [
            self._write(seat, self._holder)
            for seat in sorted(self.held)
            if not self._is_confirmed(seat) and self._is_shown(seat)
        ]

    def _is_shown(self, seat: int) -> bool:
        """Return whether the store has shown a seat in its latest era."""
        return get_era(self._seen[seat]) == self._latest_era

    def _may_claim(self, seat: int) -> bool:
        """Return whether nobody can hold a free seat whose claim the store lost."""
        if not self._is_shown(seat):
            return False
        others = self._live - {self._holder}
        latest = self._latest_era
        are_confirmed = all(self._eras.get(name, 0) == latest for name in others)
        return self._is_confirmed(seat) or are_confirmed

    def _free_given_up(self, can_give_up: Callable[[], bool]) -> list[WriteSeat]:
        """Free the seats that nothing uses; from then on they are not used."""
        if not self._giving_up & self.held or not can_give_up():
            return [self._write(seat, FREE) for seat in self._get_unconfirmed()]
        for seat in self._giving_up & self.held:
            self._released[seat] = self._records[seat].version
        self._giving_up.clear()
        return [self._write(seat, FREE) for seat in self._get_unconfirmed()]

    def _get_unconfirmed(self) -> list[int]:
        """Return the seats that were given up but are still in our name."""
        return [
            seat
            for seat, version in self._released.items()
            if self._records[seat].version == version
        ]

    def _evict(self, now: float) -> list[WriteSeat]:
        """Free the seats of holders that have been missing for long."""
        gone = {
            name
            for name, since in self._missing_since.items()
            if now - since >= self._policy.evict_after
        }
        return [
            self._write(record.seat, FREE)
            for record in self._records.values()
            if record.holder in gone
        ]

    def _claim(self, now: float) -> list[WriteSeat]:
        """Claim one free seat if we have none, or if it stays without a taker."""
        free = [seat for seat in self._get_free() if self._may_claim(seat)]
        if not free or self._is_leaving:
            self._free_since = None
            return []
        if self._free_since is None:
            jitter = self._rng.uniform(0.0, self._policy.spare_after / 2)
            self._free_since = now + jitter
        if self.held and not self._may_take_spare(now):
            return []
        return [self._write(self._rng.choice(free), self._holder)]

    def _may_take_spare(self, now: float) -> bool:
        fair = ceil(self._plan.seats / max(1, len(self._wanting)))
        is_old = now - self._free_since >= self._policy.spare_after
        return is_old and len(self.held) < fair and not self._giving_up
