"""An instance's part in the groups: their owner, or a user of one.

The directory follows the members of the fleet and says through which instance the
next connection to a database goes. An owner that could not be reached is passed over
until it answers a probe. An owner that does not reach a database itself goes through
another one, as it is often cut off alone.
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
"""Seconds between two attempts to reach a database that is reached through others
meanwhile, and for which one that does not reach it either is passed over."""


class RelayDirectory:
    """Says who owns each group, and which owner to ask next.

    Parameters
    ----------
    own : Peer
        This instance.
    seconds : callable
        The node's time.
    first_instances : int
        Instances to reckon with before the members are known.
    choice : SlotChoice
        Which owners count and run the operations of accounts.
    choose_owners : callable
        Chooses the owners of a group whose connections belong to no account.
    """

    def __init__(
        self,
        own: Peer,
        seconds: Callable[[], float],
        first_instances: int,
        choice: SlotOwnerPolicy = FleetOwners(),  # noqa: B008 - it keeps nothing
        choose_owners: ChooseOwners = choose_owners,
    ):
        self._choose_owners = choose_owners
        self._own = own
        self._seconds = seconds
        self._first_instances = first_instances
        self._peers: tuple[Peer, ...] = (own,)
        self._by_name = {own.name: own}
        self._has_members = False
        self._placements: dict[tuple[str, int], Placement] = {}
        self._avoided = AvoidedOwners()
        self._blocked: set[str] = set()
        self._useless: dict[tuple[str, str], float] = {}
        self._observe_block: Callable[[], object] = lambda: None
        self._observe_owners: Callable[[], object] = lambda: None
        self._get_holder: Callable[[int], str] = lambda slot: ""
        self._least_connections: int | None = None
        self._choice = choice
        self._slot_lines: dict[int, tuple[PreferenceList, ...]] = {}
        self._spent = QuotaRefusals(seconds)
        self._is_crowded = False

    @property
    def is_crowded(self) -> bool:
        """True if instances outnumber what the databases of a group in use take."""
        return self._is_crowded

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all instances, this one among them."""
        return tuple(peer.name for peer in self._peers)

    @property
    def has_members(self) -> bool:
        """True once it is known which instances there are."""
        return self._has_members

    @property
    def has_accounts(self) -> bool:
        """True if connections belong to accounts."""
        return self._least_connections is not None

    def set_peers(self, peers: Sequence[Peer]) -> None:
        """Take all instances that are known."""
        others = (peer for peer in peers if peer.name != self._own.name)
        self._peers = tuple(sorted((self._own, *others)))
        self._by_name = {peer.name: peer for peer in self._peers}
        self._has_members = True
        self._avoided.keep(frozenset(self._by_name))
        self._forget_placements()

    def set_accounts(self, least_connections: int | None) -> bool:
        """Take in whether connections belong to accounts.

        Parameters
        ----------
        least_connections : int or None
            The most connections that the smallest database of all groups takes; None
            where connections belong to no account. With accounts the same instances
            own all groups, so that one of them runs all that an account asks for.

        Returns
        -------
        bool
            True if that has changed.
        """
        has_changed = least_connections != self._least_connections
        if has_changed:
            self._least_connections = least_connections
            self._forget_placements()
        return has_changed

    def _forget_placements(self) -> None:
        self._placements.clear()
        self._slot_lines.clear()
        self._is_crowded = False
        self._observe_owners()

    def get_placement(self, group: str, max_connections: int) -> Placement:
        """Return who owns a group."""
        key = (group, max_connections)
        placement = self._placements.get(key)
        if placement is None:
            placement = self._compute_placement(group, max_connections)
            self._placements[key] = placement
        return placement

    def _compute_placement(self, group: str, max_connections: int) -> Placement:
        """Return who owns a group, by the members that are known."""
        alone = not self._has_members or len(self._peers) == 1
        least = self._first_instances if alone else 1
        placement = compute_placement(
            group, self._peers, max_connections, least, self._choose_owners
        )
        self._is_crowded |= bool(placement.owners)
        if self._least_connections is None:
            return placement
        owners = choose_account_owners(self._peers, self._least_connections)
        return Placement(owners, compute_account_share(max_connections, owners))

    def get_peer(self, name: str) -> Peer | None:
        """Return an instance by its name, None if it is not known."""
        return self._by_name.get(name)

    def choose_account_owner(self, account: str) -> Peer:
        """Return the instance that counts this one's operations of an account now.

        The one that has this instance's rights to them, as long as it is reached: it
        gives them back first when another one is to run them.
        """
        slot = get_slot(account)
        holder = self._get_holder(slot)
        if holder and not self._avoided.has(holder):
            peer = self.get_peer(holder)
            if peer is not None:
                return peer
        return self.choose_slot_owner(slot)

    def choose_slot_owner(self, slot: int) -> Peer:
        """Return the instance that runs the operations of a slot's accounts now.

        The first owner in the slot's own order that is not passed over; all
        instances that know the same members and reach the same owners choose the same.
        """
        return self._choose_fit(self._get_lines(slot)[0])

    def choose_account_via(self, account: str) -> Peer:
        """Return the instance to which an account's next operation goes.

        The one that counts those of this instance; after it has refused one as over
        the limit, for a while that of another zone, which has rights of its own.
        """
        if not self._spent.has_refusals(account):
            return self.choose_account_owner(account)
        names = self._list_counting(account)
        return self._by_name[self._spent.choose(account, names)]

    def observe_quota_refusal(self, account: str, way: str) -> bool:
        """Take in that an owner has refused an operation as over the limit.

        Parameters
        ----------
        account : str
            Whose operation it is.
        way : str
            The owner; empty for this instance.

        Returns
        -------
        bool
            True if another owner, which has not refused lately, may run it.
        """
        if not account or not self.has_accounts:
            return False
        self._spent.record(account, way or self._own.name)
        return self._spent.has_available(account, self._list_counting(account))

    def counts_here(self, account: str) -> bool:
        """Return whether this instance counts an account's next operation."""
        if not account or not self.has_accounts:
            return False
        return self.choose_account_via(account).name == self._own.name

    def get_zone(self, account: str) -> str:
        """Return the zone in which an account's next operation runs, if it is known."""
        if not account or not self.has_accounts:
            return ""
        return self.choose_account_via(account).zone

    def _list_counting(self, account: str) -> tuple[str, ...]:
        """Return who counts an account's operations, of each line the one reached."""
        first = self.choose_account_owner(account)
        others = (
            next((each for each in line if not self._avoided.has(each.name)), first)
            for line in self._get_lines(get_slot(account))[1:]
        )
        return tuple(dict.fromkeys(peer.name for peer in (first, *others)))

    def _get_lines(self, slot: int) -> tuple[PreferenceList, ...]:
        """Return the lines of owners that count a slot's accounts."""
        if not self._slot_lines:
            owners = self.get_placement("", self._least_connections or 1).owners
            self._slot_lines = make_all_preference_lists(
                owners or self._peers, self._choice, self._own.zone
            )
        return self._slot_lines[slot]

    def _choose_fit(self, ordered: Sequence[Peer]) -> Peer:
        """Return the first owner that is not passed over.

        If all are, the one that was so first is asked again.
        """
        fit = (each for each in ordered if not self._avoided.has(each.name))
        longest = min(ordered, key=lambda each: self._avoided.get_time(each.name))
        return next(fit, longest)

    def is_owner(self, group: str, max_connections: int) -> bool:
        """Return whether this instance opens connections of its own."""
        owners = self.get_placement(group, max_connections).owners
        return not owners or self._own in owners

    def get_candidates(self, group: str, max_connections: int) -> tuple[str, ...]:
        """Return the names of the instances that may act for a group."""
        owners = self.get_placement(group, max_connections).owners
        return tuple(peer.name for peer in owners) or self.names

    def choose_owner(
        self, group: str, max_connections: int, database: str = ""
    ) -> Peer | None:
        """Return the owner to ask next, None if this instance owns the group.

        One that does not reach the database goes last. If all are passed over, the one
        that was so first is asked again.
        """
        if self.is_owner(group, max_connections):
            return None
        now = self._seconds()
        owners = self.get_placement(group, max_connections).owners
        ordered = order_owners(owners, group, self._own.name, self._own.zone)
        useful = [
            each
            for each in ordered
            if now >= self._useless.get((database, each.name), now)
        ]
        return self._choose_fit(useful or ordered)

    def choose_via(
        self,
        group: str,
        database: str,
        max_connections: int,
        account: str = "",
        is_lent: bool = False,
    ) -> Peer | None:
        """Return the instance through which the next connection goes; None for none.

        Parameters
        ----------
        group : str
            The database's group.
        database : str
            The database.
        max_connections : int
            Most connections to it, of all instances.
        account : str
            Whose requests the connection is for; empty for none.
        is_lent : bool
            True if another instance has chosen this one: its request goes on to none
            because of the limit.
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
        fit = (
            each
            for each in ordered
            if each != self._own
            and not self._avoided.has(each.name)
            and now >= self._useless.get((database, each.name), now)
        )
        return next(fit, None)

    def is_unreachable(self, database: str) -> bool:
        """Return whether this instance does not reach a database itself."""
        return database in self._blocked

    def set_owner_observer(self, callback: Callable[[], object]) -> None:
        """Call back after each change of who runs the accounts' operations."""
        self._observe_owners = callback

    def set_quota_holder_source(self, get_holder: Callable[[int], str]) -> None:
        """Ask `get_holder` who has this instance's rights to a slot of accounts."""
        self._get_holder = get_holder

    def set_reachability_observer(self, callback: Callable[[], object]) -> None:
        """Call back after each change of what this instance reaches itself."""
        self._observe_block = callback

    def mark_unreachable(self, database: str) -> bool:
        """Reach a database through others from now on; return whether that is new."""
        if database in self._blocked:
            return False
        self._blocked.add(database)
        self._observe_block()
        return True

    def mark_reachable(self, database: str) -> None:
        """Take in that this instance reaches a database itself."""
        if database in self._blocked:
            self._blocked.discard(database)
            self._observe_block()

    def note_useless(self, database: str, name: str) -> None:
        """Take in that another instance does not reach a database either."""
        self._useless[database, name] = self._seconds() + DIRECT_RETRY_INTERVAL

    def avoid(self, name: str, least: float = MIN_PROBE_INTERVAL) -> None:
        """Pass over an owner until it answers a probe, for a time at the least."""
        if self._avoided.add(name, self._seconds(), least):
            self._observe_owners()

    def note_refusal(self, name: str) -> None:
        """Pass over an owner that answers, but gives no connection."""
        self.avoid(name, REFUSAL_AVOID_TIME)

    def get_due_probes(self) -> tuple[str, ...]:
        """Return which owners that are passed over are to be probed now."""
        return self._avoided.get_due(self._seconds())

    def get_time_since_failure(self, name: str) -> float:
        """Return for how long an owner was not found out of reach, seconds."""
        return self._seconds() - self._avoided.get_time(name)

    def note_unreached(self, name: str) -> None:
        """Take in that a probe of an owner was not answered."""
        self._avoided.note_miss(name, self._seconds())

    def note_reached(self, name: str) -> None:
        """Pass over an owner no more: it answers."""
        if self._avoided.note_answer(name):
            self._observe_owners()
