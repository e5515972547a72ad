"""The assignment of seats to proxies, from which their shares of connections follow.

A seat is a numbered part of the fleet's connection budget. Each seat is one object of
the platform, changed by conditional updates (compare-and-swap) only, so that no two
proxies ever hold it. A proxy uses a seat as long as the highest version that it knows
names its own process. Seats do not expire: while the store is unavailable they stay
assigned.

After a restore from a backup the store shows older versions of seats; the later
versions that proxies know stay valid. Each holder confirms its seats by a write in the
new era, and no proxy claims a seat without a write in that era before all live
processes have confirmed theirs.

A seat is freed by its holder when nothing uses it any more, or by another proxy when
its holder has been missing from the instance list and from gossip for longer than any
loan lasts.
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
    """Timeouts of seats, in seconds.

    Parameters
    ----------
    evict_after : float
        How long a holder is missing before its seats are freed. Must exceed the
        duration of a loan with its margin, and the lag of the instance list.
    spare_after : float
        How long a seat is free before a proxy that holds one claims it too.
    repeat_period : float
        Time after which a write without a known result is repeated.
    """

    evict_after: float = 10.0
    spare_after: float = 3.0
    repeat_period: float = 1.0


class SeatBook:
    """One proxy's view of all seats, and its decisions to claim and free them.

    Parameters
    ----------
    holder : str
        This process's identifier; never used by another process.
    plan : BudgetPlan
        The number of seats.
    policy : SeatPolicy
        Timeouts of seats.
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
        self._stored_versions = dict.fromkeys(self._records, 0)
        self._eras: Mapping[str, int] = {}
        self._live: frozenset[str] = frozenset()
        self._released: dict[int, int] = {}
        self._releasing: set[int] = set()
        self._staying: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._free_since: float | None = None
        self._last_write_at: dict[int, float] = {}
        self._has_listing = False
        self._is_leaving = False

    @property
    def held(self) -> frozenset[int]:
        """Seats that this process holds, including those being released."""
        return frozenset(
            record.seat
            for record in self._records.values()
            if record.holder == self._holder
            and record.version > self._released.get(record.seat, 0)
        )

    @property
    def usable(self) -> frozenset[int]:
        """Seats that this process holds and is not releasing."""
        return self.held - self._releasing

    @property
    def is_settled(self) -> bool:
        """True if no seat waits to be claimed, freed, released or confirmed."""
        missing = self._missing_since.keys() & self._holders
        has_seat = bool(self.held) or self._is_leaving
        is_confirmed = self.era == self._latest_era
        waiting = self._releasing or missing or self._get_free()
        return has_seat and is_confirmed and not waiting

    @property
    def records(self) -> tuple[SeatRecord, ...]:
        """The latest known records of all seats."""
        return tuple(self._records.values())

    @property
    def era(self) -> int:
        """The store's latest era if the held seats are confirmed in it, else 0.

        Also 0 until all seats have been read in that era.
        """
        latest = self._latest_era
        is_listed = all(
            get_era(each) == latest for each in self._stored_versions.values()
        )
        is_confirmed = all(self._is_confirmed(seat) for seat in self.held)
        return latest if is_listed and is_confirmed else 0

    @property
    def _latest_era(self) -> int:
        """The latest known era of the store."""
        versions = (record.version for record in self._records.values())
        return get_latest_era((*versions, *self._stored_versions.values()))

    def _is_confirmed(self, seat: int) -> bool:
        """Return whether a seat was written in the store's latest era."""
        return get_era(self._records[seat].version) == self._latest_era

    def get_holders(self, seats: Iterable[int]) -> tuple[str, ...]:
        """Return the holders of some seats, each once, in the order of the seats."""
        holders = (self._records[seat].holder for seat in seats)
        return tuple(dict.fromkeys(holder for holder in holders if holder != FREE))

    def observe_seats(self, records: Iterable[SeatRecord], is_complete: bool) -> None:
        """Record seats as read from the store or received from peers.

        Parameters
        ----------
        records : iterable of SeatRecord
            Records of some seats; older versions are ignored.
        is_complete : bool
            True if this is a complete listing of the store, so that a missing seat was
            never written.
        """
        for record in records:
            known = self._records.get(record.seat)
            if known is None:
                continue
            stored_version = max(record.stored_version, record.version)
            if stored_version > self._stored_versions[record.seat]:
                self._stored_versions[record.seat] = stored_version
                self._last_write_at.pop(record.seat, None)
            if record.version > known.version:
                self._records[record.seat] = record
                self._last_write_at.pop(record.seat, None)
        self._has_listing = self._has_listing or is_complete
        self._releasing &= self.held

    def observe_live_holders(self, holders: LiveHolders, now: float) -> None:
        """Record the live processes; a leaving one keeps its seats but needs none."""
        live = holders.live | {self._holder}
        self._live, self._eras = live, holders.eras
        self._staying = live - holders.leaving
        since = self._missing_since
        missing = self._holders - live
        self._missing_since = {name: since.get(name, now) for name in missing}

    def leave(self) -> None:
        """Release all seats and claim none."""
        self._is_leaving = True

    def choose_seat_to_release(self) -> None:
        """Start releasing one seat if a live proxy has none and this one has the most.

        The pools' limits have to follow before `tick` calls `can_release`.
        """
        if self._is_leaving:
            self._releasing |= self.held
            return
        counts = Counter(record.holder for record in self._records.values())
        seatless = self._staying - counts.keys()
        if not seatless or self._get_free() or self._releasing or self._get_unfreed():
            return
        live_counts = [(counts[name], name) for name in self._staying if name in counts]
        max_count, holder = max(live_counts, default=(0, ""))
        if max_count >= 2 and holder == self._holder:
            self._releasing.add(max(self.held))

    def tick(self, can_release: Callable[[], bool], now: float) -> list[WriteSeat]:
        """Return the seat writes that are due.

        Parameters
        ----------
        can_release : callable
            Returns whether nothing uses the seats that are being released any more.
        now : float
            The current time, seconds.

        Returns
        -------
        list of WriteSeat
            Objects to write.
        """
        if not self._has_listing:
            return []
        writes = [*self._free_released(can_release), *self._evict(now)]
        writes += self._confirm()
        writes += self._claim(now)
        due = [write for write in writes if self._is_due(write.seat, now)]
        self._last_write_at.update((write.seat, now) for write in due)
        return due

    @property
    def _holders(self) -> frozenset[str]:
        names = (record.holder for record in self._records.values())
        return frozenset(name for name in names if name != FREE)

    def _get_free(self) -> list[int]:
        return [n for n, record in self._records.items() if record.holder == FREE]

    def _is_due(self, seat: int, now: float) -> bool:
        """Return whether a seat may be written; its last write may be unanswered."""
        last = self._last_write_at.get(seat, float("-inf"))
        return now - last >= self._policy.repeat_period

    def _write(self, seat: int, holder: str) -> WriteSeat:
        return WriteSeat(seat, holder, self._stored_versions[seat])

    def _confirm(self) -> list[WriteSeat]:
        """Write the held seats again in the store's new era."""
        return [
            self._write(seat, self._holder)
            for seat in sorted(self.held)
            if not self._is_confirmed(seat) and self._is_current(seat)
        ]

    def _is_current(self, seat: int) -> bool:
        """Return whether a seat was read from the store in its latest era."""
        return get_era(self._stored_versions[seat]) == self._latest_era

    def _may_claim(self, seat: int) -> bool:
        """Return whether no live process can hold this free seat by a lost write."""
        if not self._is_current(seat):
            return False
        others = self._live - {self._holder}
        latest = self._latest_era
        are_confirmed = all(self._eras.get(name, 0) == latest for name in others)
        return self._is_confirmed(seat) or are_confirmed

    def _free_released(self, can_release: Callable[[], bool]) -> list[WriteSeat]:
        """Free the released seats once nothing uses them; they are not used again."""
        if not self._releasing & self.held or not can_release():
            return [self._write(seat, FREE) for seat in self._get_unfreed()]
        for seat in self._releasing & self.held:
            self._released[seat] = self._records[seat].version
        self._releasing.clear()
        return [self._write(seat, FREE) for seat in self._get_unfreed()]

    def _get_unfreed(self) -> list[int]:
        """Return the released seats whose record still names this process."""
        return [
            seat
            for seat, version in self._released.items()
            if self._records[seat].version == version
        ]

    def _evict(self, now: float) -> list[WriteSeat]:
        """Free the seats of holders that have been missing for `evict_after`."""
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
        """Claim one free seat if none is held, or if it has been free for long."""
        free = [seat for seat in self._get_free() if self._may_claim(seat)]
        if not free or self._is_leaving:
            self._free_since = None
            return []
        if self._free_since is None:
            jitter = self._rng.uniform(0.0, self._policy.spare_after / 2)
            self._free_since = now + jitter
        if self.held and not self._may_claim_spare(now):
            return []
        return [self._write(self._rng.choice(free), self._holder)]

    def _may_claim_spare(self, now: float) -> bool:
        fair = ceil(self._plan.seats / max(1, len(self._staying)))
        is_old = now - self._free_since >= self._policy.spare_after
        return is_old and len(self.held) < fair and not self._releasing
