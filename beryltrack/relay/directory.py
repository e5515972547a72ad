"""One instance's view of the owners of groups and account hash slots.

The directory follows the members of the fleet and chooses the instance through which
the next connection to a database goes. An owner that could not be reached is avoided
until it answers a probe. An owner that does not reach a database itself goes through
another one, as often it alone is cut off.
"""

from collections.abc import Callable, Sequence

from beryltrack.accounts.slots import get_slot
from beryltrack.relay.avoided import (
    MIN_PROBE_INTERVAL,
    REFUSAL_AVOID_TIME,
    AvoidedOwners,
)
from beryltrack.relay.owners import (
    ChooseOwners,
    Peer,
    Placement,
    choose_account_owners,
    choose_owners,
    compute_account_share,
    compute_placement,
    order_owners,
)
from beryltrack.relay.slot_owners import (
    FleetOwners,
    PreferenceList,
    QuotaRefusals,
    SlotOwnerPolicy,
    make_all_preference_lists,
)

DIRECT_RETRY_INTERVAL = 2.0
"""Seconds between two direct attempts to reach a database that is reached through other
instances meanwhile. Another instance that does not reach it either is skipped for the
same time."""


class RelayDirectory:
    """Chooses the owner of each group and account that is asked next.

    Parameters
    ----------
    own : Peer
        This instance.
    seconds : callable
        The instance's time.
    assumed_instances : int
        Number of instances to assume until the members are known.
    slot_policy : SlotOwnerPolicy
        Chooses the owners that count and run the operations of accounts.
    choose_owners : callable
        Chooses the owners of a group where connections belong to no account.
    """

    def __init__(
        self,
        own: Peer,
        seconds: Callable[[], float],
        assumed_instances: int,
        slot_policy: SlotOwnerPolicy = FleetOwners(),  # noqa: B008 - stateless
        choose_owners: ChooseOwners = choose_owners,
    ):
        self._choose_owners = choose_owners
        self._own = own
        self._seconds = seconds
        self._assumed_instances = assumed_instances
        self._peers: tuple[Peer, ...] = (own,)
        self._by_name = {own.name: own}
        self._has_members = False
        self._placements: dict[tuple[str, int], Placement] = {}
        self._avoided = AvoidedOwners()
        self._unreachable: set[str] = set()
        self._target_unreachable_until: dict[tuple[str, str], float] = {}
        self._observe_reachability: Callable[[], object] = lambda: None
        self._observe_owners: Callable[[], object] = lambda: None
        self._get_quota_holder: Callable[[int], str] = lambda slot: ""
        self._smallest_limit: int | None = None
        self._slot_policy = slot_policy
        self._slot_preferences: dict[int, tuple[PreferenceList, ...]] = {}
        self._quota_refusals = QuotaRefusals(seconds)
        self._has_group_owners = False

    @property
    def has_group_owners(self) -> bool:
        """True if a group in use has owners, as its databases cannot serve all."""
        return self._has_group_owners

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all instances, including this one."""
        return tuple(peer.name for peer in self._peers)

    @property
    def has_members(self) -> bool:
        """True once the members of the fleet are known."""
        return self._has_members

    @property
    def has_accounts(self) -> bool:
        """True if connections belong to accounts."""
        return self._smallest_limit is not None

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Set the known instances; this one is always included."""
        others = (peer for peer in peers if peer.name != self._own.name)
        self._peers = tuple(sorted((self._own, *others)))
        self._by_name = {peer.name: peer for peer in self._peers}
        self._has_members = True
        self._avoided.retain(frozenset(self._by_name))
        self._invalidate_placements()

    def set_accounts(self, smallest_limit: int | None) -> bool:
        """Set whether connections belong to accounts.

        Parameters
        ----------
        smallest_limit : int or None
            Lowest connection limit among the databases of all groups; None where
            connections belong to no account. With accounts the same instances own all
            groups, so that one instance runs all operations of an account.

        Returns
        -------
        bool
            True if this has changed.
        """
        has_changed = smallest_limit != self._smallest_limit
        if has_changed:
            self._smallest_limit = smallest_limit
            self._invalidate_placements()
        return has_changed

    def _invalidate_placements(self) -> None:
        self._placements.clear()
        self._slot_preferences.clear()
        self._has_group_owners = False
        self._observe_owners()

    def get_placement(self, group: str, max_connections: int) -> Placement:
        """Return the owners of a group and their share of connections."""
        key = (group, max_connections)
        placement = self._placements.get(key)
        if placement is None:
            placement = self._compute_placement(group, max_connections)
            self._placements[key] = placement
        return placement

    def _compute_placement(self, group: str, max_connections: int) -> Placement:
        """Return the owners of a group, computed from the known members."""
        is_alone = not self._has_members or len(self._peers) == 1
        min_instances = self._assumed_instances if is_alone else 1
        placement = compute_placement(
            group, self._peers, max_connections, min_instances, self._choose_owners
        )
        self._has_group_owners |= bool(placement.owners)
        if self._smallest_limit is None:
            return placement
        owners = choose_account_owners(self._peers, self._smallest_limit)
        return Placement(owners, compute_account_share(max_connections, owners))

    def get_peer(self, name: str) -> Peer | None:
        """Return an instance by its name, None if it is not known."""
        return self._by_name.get(name)

    def choose_account_owner(self, account: str) -> Peer:
        """Return the instance that counts this one's operations of an account.

        It is the holder of this instance's quota share while the holder is not avoided:
        it returns the share before another instance may run the operations.
        """
        slot = get_slot(account)
        holder = self._get_quota_holder(slot)
        if holder and not self._avoided.has(holder):
            peer = self.get_peer(holder)
            if peer is not None:
                return peer
        return self.choose_slot_owner(slot)

    def choose_slot_owner(self, slot: int) -> Peer:
        """Return the instance that currently runs the operations of a slot's accounts.

        It is the first owner of the slot's preference list that is not avoided.
        Instances that know the same members and reach the same owners choose the same.
        """
        return self._choose_available(self._get_preference_lists(slot)[0])

    def choose_account_via(self, account: str) -> Peer:
        """Return the instance to which an account's next operation goes.

        It is the one that counts this instance's operations. For a while after it has
        refused one as over the limit, it is the owner in another zone, which has quota
        shares of its own.
        """
        if not self._quota_refusals.has_refusals(account):
            return self.choose_account_owner(account)
        names = self._list_counting_owners(account)
        return self._by_name[self._quota_refusals.choose(account, names)]

    def observe_quota_refusal(self, account: str, via: str) -> bool:
        """Record that an owner has refused an operation as over the account's limit.

        Parameters
        ----------
        account : str
            Account of the operation.
        via : str
            The owner; empty for this instance.

        Returns
        -------
        bool
            True if another owner has not refused lately and may run the operation.
        """
        if not account or not self.has_accounts:
            return False
        self._quota_refusals.record(account, via or self._own.name)
        return self._quota_refusals.has_available(
            account, self._list_counting_owners(account)
        )

    def counts_here(self, account: str) -> bool:
        """Return whether this instance counts an account's next operation."""
        if not account or not self.has_accounts:
            return False
        return self.choose_account_via(account).name == self._own.name

    def get_zone(self, account: str) -> str:
        """Return the zone that runs an account's next operation; empty if unknown."""
        if not account or not self.has_accounts:
            return ""
        return self.choose_account_via(account).zone

    def _list_counting_owners(self, account: str) -> tuple[str, ...]:
        """Return the first owner of each preference list that is not avoided."""
        first = self.choose_account_owner(account)
        others = (
            next((each for each in peers if not self._avoided.has(each.name)), first)
            for peers in self._get_preference_lists(get_slot(account))[1:]
        )
        return tuple(dict.fromkeys(peer.name for peer in (first, *others)))

    def _get_preference_lists(self, slot: int) -> tuple[PreferenceList, ...]:
        """Return the preference lists of owners that count a slot's accounts."""
        if not self._slot_preferences:
            owners = self.get_placement("", self._smallest_limit or 1).owners
            self._slot_preferences = make_all_preference_lists(
                owners or self._peers, self._slot_policy, self._own.zone
            )
        return self._slot_preferences[slot]

    def _choose_available(self, ordered: Sequence[Peer]) -> Peer:
        """Return the first owner that is not avoided.

        If all are avoided, the one whose last failure is the oldest is tried again.
        """
        available = (each for each in ordered if not self._avoided.has(each.name))
        oldest = min(ordered, key=lambda each: self._avoided.get_failed_at(each.name))
        return next(available, oldest)

    def is_owner(self, group: str, max_connections: int) -> bool:
        """Return whether this instance opens connections to a group's databases."""
        owners = self.get_placement(group, max_connections).owners
        return not owners or self._own in owners

    def get_candidates(self, group: str, max_connections: int) -> tuple[str, ...]:
        """Return the names of the instances that may change a group's primary.

        These are its owners, or all instances if it has none.
        """
        owners = self.get_placement(group, max_connections).owners
        return tuple(peer.name for peer in owners) or self.names

    def choose_owner(
        self, group: str, max_connections: int, database: str = ""
    ) -> Peer | None:
        """Return the owner to ask next; None if this instance owns the group.

        Owners that do not reach the database are skipped while any other is left. If
        all are avoided, the one whose last failure is the oldest is tried again.
        """
        if self.is_owner(group, max_connections):
            return None
        now = self._seconds()
        owners = self.get_placement(group, max_connections).owners
        ordered = order_owners(owners, group, self._own.name, self._own.zone)
        reaching = [
            each
            for each in ordered
            if now >= self._target_unreachable_until.get((database, each.name), now)
        ]
        return self._choose_available(reaching or ordered)

    def choose_via(
        self,
        group: str,
        database: str,
        max_connections: int,
        account: str = "",
        is_lent: bool = False,
    ) -> Peer | None:
        """Return the instance that relays the next connection; None for a direct one.

        Parameters
        ----------
        group : str
            The database's group.
        database : str
            The database.
        max_connections : int
            Connection limit of the database, for all instances together.
        account : str
            Account of the requests that the connection is for; empty for none.
        is_lent : bool
            True if another instance has chosen this one. Such a request is not sent on
            to another owner because of the account's limit.
        """
        if account and self.has_accounts:
            choose = self.choose_account_owner if is_lent else self.choose_account_via
            owner = choose(account)
            if owner.name != self._own.name:
                return owner
        elif not self.is_owner(group, max_connections):
            return self.choose_owner(group, max_connections, database)
        if not self.is_unreachable(database):
            return None
        now = self._seconds()
        owners = self.get_placement(group, max_connections).owners or self._peers
        ordered = order_owners(owners, group, self._own.name, self._own.zone)
        available = (
            each
            for each in ordered
            if each != self._own
            and not self._avoided.has(each.name)
            and now >= self._target_unreachable_until.get((database, each.name), now)
        )
        return next(available, None)

    def is_unreachable(self, database: str) -> bool:
        """Return whether this instance does not reach a database directly."""
        return database in self._unreachable

    def set_owner_observer(self, callback: Callable[[], object]) -> None:
        """Call back after each change of the owners that run accounts' operations."""
        self._observe_owners = callback

    def set_quota_holder_source(self, get_quota_holder: Callable[[int], str]) -> None:
        """Set what returns the holder of this instance's share of a slot."""
        self._get_quota_holder = get_quota_holder

    def set_reachability_observer(self, callback: Callable[[], object]) -> None:
        """Call back after each change of the databases that are reached directly."""
        self._observe_reachability = callback

    def mark_unreachable(self, database: str) -> bool:
        """Reach a database through other instances; return whether that is new."""
        if database in self._unreachable:
            return False
        self._unreachable.add(database)
        self._observe_reachability()
        return True

    def mark_reachable(self, database: str) -> None:
        """Reach a database directly again."""
        if database in self._unreachable:
            self._unreachable.discard(database)
            self._observe_reachability()

    def observe_target_unreachable(self, database: str, name: str) -> None:
        """Record that another instance does not reach a database either."""
        self._target_unreachable_until[database, name] = (
            self._seconds() + DIRECT_RETRY_INTERVAL
        )

    def avoid(self, name: str, min_time: float = MIN_PROBE_INTERVAL) -> None:
        """Avoid an owner until it answers a probe, the first after `min_time` s."""
        if self._avoided.add(name, self._seconds(), min_time):
            self._observe_owners()

    def observe_refusal(self, name: str) -> None:
        """Avoid an owner that answers but refuses a connection."""
        self.avoid(name, REFUSAL_AVOID_TIME)

    def get_due_probes(self) -> tuple[str, ...]:
        """Return the avoided owners to probe now."""
        return self._avoided.get_due_probes(self._seconds())

    def get_time_since_failure(self, name: str) -> float:
        """Return the seconds since an avoided owner last failed."""
        return self._seconds() - self._avoided.get_failed_at(name)

    def observe_probe_failure(self, name: str) -> None:
        """Record that an owner did not answer a probe."""
        self._avoided.record_probe_failure(name, self._seconds())

    def stop_avoiding(self, name: str) -> None:
        """Use an owner again, as it answers."""
        if self._avoided.remove(name):
            self._observe_owners()
