"""Decide whether this process certainly owns a key."""

import enum
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import (
    Assignment,
    Member,
    RangeOwner,
    get_preferred_owner,
    get_range,
)


class OwnershipStatus(enum.StrEnum):
    """Define the ownership status of a key in this process."""

    owner = 'owner'
    not_owner = 'not_owner'
    unsure = 'unsure'
    born_before = 'born_before'


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipRules:
    """
    Hold the durations and guards of the ownership protocol.

    The guards can be disabled only so that the stateful tests can show that
    each of them is needed; a daemon never disables them.

    Attributes
    ----------
    lease_ttl_ms : float
        Time to live of a lease.
    margin_ms : float
        Subtracted from every period of certain ownership, for timers that
        fire late.
    grant_ms : float
        How long a member promises not to take over from another.
    newcomer_wait_ms : float
        How long a new member must wait before it may take over, and the
        maximum time for which promises may prolong certain ownership.
    skew_ms : float
        How far ahead of the local clock the creation time of a key may be:
        the margin that entries accept plus the clock skew between instances.
    checks_birth, checks_promises, checks_newcomers : bool
        Guards against lost records, against takeovers from a member that
        continues without the platform, and against members that such a
        member cannot know of.
    """

    lease_ttl_ms: float = global_settings.LEASE_TTL_MS
    margin_ms: float = global_settings.LEASE_MARGIN_MS
    grant_ms: float = global_settings.GRANT_MS
    newcomer_wait_ms: float = global_settings.NEWCOMER_WAIT_MS
    skew_ms: float = (
        global_settings.KEY_FUTURE_MARGIN_MS + global_settings.CLOCK_SKEW_MS
    )
    checks_birth: bool = True
    checks_promises: bool = True
    checks_newcomers: bool = True


class Ownership:
    """
    Track the ownership of key ranges by this process.

    Either condition ensures that no other process owns its ranges:

    - the lease is valid, since a takeover requires the member key to be
      absent in the same transaction that writes the next epoch;
    - every other known member has promised not to take over, since only
      members write the next epoch. An unknown member joined after the last
      confirmation and has to wait longer than this process continues.

    A process that is suspended between this check and sending the call to the
    upstream is safe: the key was created before any takeover that happens
    meanwhile, and a new owner never runs a key created before its ownership.

    While the write of a takeover is in transit to the platform,
    `takeover_target` names the member, which gets no promise until the
    assignment has changed.

    Parameters
    ----------
    instance, incarnation : str
        Name and id of this process.
    rules : OwnershipRules
        Durations and guards of the protocol.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        rules: OwnershipRules | None = None,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.rules = rules or OwnershipRules()
        self.assignment = Assignment()
        self.moving: frozenset[int] = frozenset()
        self.takeover_target = ''
        self._confirmed_ms = float('-inf')
        self._received_promises_ms: dict[str, float] = {}
        self._granted_promises_ms: dict[str, float] = {}
        self._acknowledged_by: set[str] = set()

    def apply_assignment(self, assignment: Assignment) -> None:
        """Apply an assignment unless its epoch is older than the known one."""
        if assignment.epoch < self.assignment.epoch:
            return
        self.assignment = assignment

    def confirm(self, sent_ms: float) -> None:
        """
        Record a valid lease, after which the assignment was read.

        Parameters
        ----------
        sent_ms : float
            Monotonic time at which the renewal was sent, in milliseconds.
        """
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def handle_lease_expiry(self) -> None:
        """Record that the lease of this process has expired."""
        self._confirmed_ms = float('-inf')
        self._received_promises_ms.clear()

    def record_known_by(self, member: str) -> None:
        """Record that a member has read an assignment with this process."""
        self._acknowledged_by.add(member)

    def is_known_by(self, member: str) -> bool:
        """Return whether a member has confirmed that it knows this process."""
        return member in self._acknowledged_by

    def record_promise(self, incarnation: str, sent_ms: float) -> None:
        """
        Record a received promise; it counts from when the request was sent.

        Parameters
        ----------
        incarnation : str
            Id of the promising process; after a restart it no longer knows
            of the promise.
        sent_ms : float
            Monotonic time at which the request was sent, in milliseconds.
        """
        self._received_promises_ms[incarnation] = sent_ms + self.rules.grant_ms

    def grant_promise(self, requester: str, epoch: int, now_ms: float) -> bool:
        """
        Promise a member not to take over from it for a while.

        Parameters
        ----------
        requester : str
            Member that requests the promise.
        epoch : int
            Epoch of the assignment that the requester knows.
        now_ms : float
            Monotonic time in milliseconds.

        Returns
        -------
        bool
            False if the epochs differ, since the requester may have lost its
            ranges.
        """
        if epoch != self.assignment.epoch or requester == self.takeover_target:
            return False
        if self.get_own_member() is None:
            return False
        self._granted_promises_ms[requester] = now_ms + self.rules.grant_ms
        return True

    def is_certain(self, now_ms: float) -> bool:
        """Return whether no other process can own our ranges at this time."""
        return now_ms < self.get_certain_until_ms()

    def get_certain_until_ms(self) -> float:
        """Return the monotonic time until which ownership is certain."""
        lease_ms = self._confirmed_ms + self.rules.lease_ttl_ms
        others = [
            member.incarnation
            for member in self.assignment.members
            if member.instance != self.instance
        ]
        granted_ms = min(
            (
                self._received_promises_ms.get(other, float('-inf'))
                for other in others
            ),
            default=float('-inf'),
        )
        max_prolonged_ms = self._confirmed_ms + self.rules.newcomer_wait_ms
        prolonged_ms = min(granted_ms, max_prolonged_ms)
        return max(lease_ms, prolonged_ms) - self.rules.margin_ms

    def get_own_member(self) -> Member | None:
        """Return the member of this incarnation; None if it is not listed."""
        member = self.assignment.get_member(self.instance)
        if member is None or member.incarnation != self.incarnation:
            return None
        return member

    def is_ours(self, owner: RangeOwner) -> bool:
        """Return whether this incarnation owns a range."""
        return (
            owner.instance == self.instance
            and owner.incarnation == self.incarnation
        )

    def get_misplaced_ranges(self, instances: list[str]) -> dict[int, str]:
        """Return own ranges that should move, with the preferred instance."""
        wanted = {
            index: get_preferred_owner(index, instances)
            for index, owner in enumerate(self.assignment.ranges)
            if self.is_ours(owner)
        }
        return {
            index: name
            for index, name in wanted.items()
            if name != self.instance
        }

    def owns_any(self) -> bool:
        """Return whether this process owns any range."""
        return any(map(self.is_ours, self.assignment.ranges))

    def get_ownership_status(
        self, key: str, born_ms: int, now_ms: float
    ) -> OwnershipStatus:
        """
        Decide whether a key without a record may run here.

        Parameters
        ----------
        key : str
            Full once key.
        born_ms : int
            Creation time of the key, in milliseconds of Unix time.
        now_ms : float
            Monotonic time in milliseconds.

        Returns
        -------
        OwnershipStatus
            Only `owner` allows the key to run.
        """
        owner = self.assignment.get_owner(key)
        if owner is None or not self.is_ours(owner):
            return OwnershipStatus.not_owner
        if get_range(key) in self.moving:
            return OwnershipStatus.not_owner
        if not self.is_certain(now_ms):
            return OwnershipStatus.unsure
        if self.rules.checks_birth and born_ms < owner.since_ms:
            return OwnershipStatus.born_before
        return OwnershipStatus.owner

    def may_take_over(
        self,
        owner: str,
        now_ms: float,
        now_wall_ms: float,
    ) -> bool:
        """
        Return whether the ranges of an owner without a lease may be taken.

        Parameters
        ----------
        owner : str
            Owner whose member key is absent.
        now_ms : float
            Monotonic time in milliseconds.
        now_wall_ms : float
            Unix time in milliseconds.

        Returns
        -------
        bool
            False while a promise to the owner is valid, or while this
            process has joined too recently for every owner to know it.
        """
        own_member = self.get_own_member()
        if own_member is None:
            return False
        waited_ms = now_wall_ms - own_member.joined_ms
        if self.rules.checks_newcomers:
            if not self._is_known_to_owner(owner, waited_ms):
                return False
        if not self.rules.checks_promises:
            return True
        return now_ms >= self._granted_promises_ms.get(owner, float('-inf'))

    def _is_known_to_owner(self, owner: str, waited_ms: float) -> bool:
        if (
            waited_ms >= self.rules.newcomer_wait_ms
            or owner in self._acknowledged_by
        ):
            return True
        owner_member = self.assignment.get_member(owner)
        own_member = self.get_own_member()
        if owner_member is None or own_member is None:
            return False
        # A member that joined before the owner is in every assignment that the
        # owner has read as a member.
        return own_member.joined_ms < owner_member.joined_ms
