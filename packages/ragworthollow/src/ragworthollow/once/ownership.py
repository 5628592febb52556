"""Decide whether this process is certain to own a key."""

import enum
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import (
    Assignment,
    Member,
    RangeOwner,
    get_preferred,
    get_range,
)


class Standing(enum.StrEnum):
    """Say how this process stands to a key."""

    owner = 'owner'
    not_owner = 'not_owner'
    unsure = 'unsure'
    born_before = 'born_before'


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipRules:
    """
    Hold the durations and guards of the protocol.

    The guards exist so that the exploration in the tests can show that each
    of them is needed; they are never switched off in a daemon.

    Attributes
    ----------
    lease_ttl_ms : float
        Time to live of a lease.
    margin_ms : float
        Subtracted from every certainty, for timers that fire late.
    grant_ms : float
        How long a member promises not to take over from another.
    newcomer_wait_ms : float
        How long a new member must wait before it may take over, and how
        long grants may prolong a certainty.
    skew_ms : float
        How far ahead of our clock a key may have been stamped: what entries
        accept, and the difference between the clocks of instances.
    checks_birth, checks_promises, checks_newcomers : bool
        Guards against lost memory, against takeovers from a member that
        goes on without the platform, and against members it cannot know.
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
    Track what this process may be certain of.

    Two ways lead to certainty that no other process owns our ranges:

    - our lease is alive, since a takeover compares our member key as absent
      within the very transaction that writes the next epoch;
    - every other member that we know of has promised us time, since only
      members write the next epoch, and a member we cannot know of joined
      after our last confirmation and has to wait longer than we go on.

    A process paused between this check and the hand-over of a call does no
    harm: the key was born before any takeover that happens meanwhile, and a
    new owner never runs a key born before its ownership.

    While a takeover of ours is on its way to the platform, `taking` names
    the member, and we promise it nothing until the record has changed.

    Parameters
    ----------
    instance, incarnation : str
        This process.
    rules : OwnershipRules
        Durations and guards.
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
        self.taking = ''
        self._confirmed_ms = float('-inf')
        self._grants_ms: dict[str, float] = {}
        self._promises_ms: dict[str, float] = {}
        self._known_by: set[str] = set()

    def learn(self, assignment: Assignment) -> None:
        """Take in a record that was read; an older epoch is ignored."""
        if assignment.epoch < self.assignment.epoch:
            return
        self.assignment = assignment

    def confirm(self, sent_ms: float) -> None:
        """
        Note that our lease was alive at a time and the record read after it.

        Parameters
        ----------
        sent_ms : float
            Monotonic time at which the renewal was sent.
        """
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def lose(self) -> None:
        """Note that our lease has lapsed."""
        self._confirmed_ms = float('-inf')
        self._grants_ms.clear()

    def note_known_by(self, member: str) -> None:
        """Note that a member has read a record that lists us."""
        self._known_by.add(member)

    def is_known_by(self, member: str) -> bool:
        """Tell whether a member has said that it knows of us."""
        return member in self._known_by

    def accept_grant(self, incarnation: str, asked_ms: float) -> None:
        """
        Note that a member promised us time, counted from our question.

        Parameters
        ----------
        incarnation : str
            Its process: a restarted one no longer knows of the promise.
        asked_ms : float
            Monotonic time of the question.
        """
        self._grants_ms[incarnation] = asked_ms + self.rules.grant_ms

    def grant(self, asker: str, epoch: int, now_ms: float) -> bool:
        """
        Promise a member not to take over from it for a while.

        Parameters
        ----------
        asker : str
            The member that asks.
        epoch : int
            Epoch that the asker knows.
        now_ms : float
            Monotonic time.

        Returns
        -------
        bool
            False when we know of another epoch: it may have lost its ranges.
        """
        if epoch != self.assignment.epoch or asker == self.taking:
            return False
        if self.get_own_member() is None:
            return False
        self._promises_ms[asker] = now_ms + self.rules.grant_ms
        return True

    def is_sure(self, now_ms: float) -> bool:
        """Tell whether nobody else can own our ranges at this time."""
        return now_ms < self.get_certain_until_ms()

    def get_certain_until_ms(self) -> float:
        """Return the monotonic time up to which we are certain."""
        lease_ms = self._confirmed_ms + self.rules.lease_ttl_ms
        others = [
            member.incarnation
            for member in self.assignment.members
            if member.instance != self.instance
        ]
        granted_ms = min(
            (self._grants_ms.get(other, float('-inf')) for other in others),
            default=float('-inf'),
        )
        longest_ms = self._confirmed_ms + self.rules.newcomer_wait_ms
        prolonged_ms = min(granted_ms, longest_ms)
        return max(lease_ms, prolonged_ms) - self.rules.margin_ms

    def get_own_member(self) -> Member | None:
        """Return the entry of this very process among the members."""
        found = self.assignment.get_member(self.instance)
        if found is None or found.incarnation != self.incarnation:
            return None
        return found

    def is_ours(self, owner: RangeOwner) -> bool:
        """Tell whether a range belongs to this very process."""
        return (
            owner.instance == self.instance
            and owner.incarnation == self.incarnation
        )

    def get_strays(self, instances: list[str]) -> dict[int, str]:
        """Return our ranges that one of these should own, and which one."""
        wanted = {
            index: get_preferred(index, instances)
            for index, owner in enumerate(self.assignment.ranges)
            if self.is_ours(owner)
        }
        return {
            index: name
            for index, name in wanted.items()
            if name != self.instance
        }

    def owns_any(self) -> bool:
        """Tell whether any range belongs to this process."""
        return any(map(self.is_ours, self.assignment.ranges))

    def get_standing(self, key: str, born_ms: int, now_ms: float) -> Standing:
        """
        Decide whether a key without a record may run here.

        Parameters
        ----------
        key : str
            Full once key.
        born_ms : int
            Its time of birth, Unix epoch.
        now_ms : float
            Monotonic time.

        Returns
        -------
        Standing
            Only `owner` allows it to run.
        """
        owner = self.assignment.get_owner(key)
        if owner is None or not self.is_ours(owner):
            return Standing.not_owner
        if get_range(key) in self.moving:
            return Standing.not_owner
        if not self.is_sure(now_ms):
            return Standing.unsure
        if self.rules.checks_birth and born_ms < owner.since_ms:
            return Standing.born_before
        return Standing.owner

    def may_take_over(
        self,
        owner: str,
        now_ms: float,
        now_wall_ms: float,
    ) -> bool:
        """
        Tell whether we may take ranges whose owner's lease has lapsed.

        Parameters
        ----------
        owner : str
            The owner that seems gone.
        now_ms : float
            Monotonic time.
        now_wall_ms : float
            Unix time.

        Returns
        -------
        bool
            False while a promise of ours holds or we are too new to be
            known to every owner.
        """
        me = self.get_own_member()
        if me is None:
            return False
        waited_ms = now_wall_ms - me.joined_ms
        if self.rules.checks_newcomers:
            if not self._is_known_to(owner, waited_ms):
                return False
        if not self.rules.checks_promises:
            return True
        return now_ms >= self._promises_ms.get(owner, float('-inf'))

    def _is_known_to(self, owner: str, waited_ms: float) -> bool:
        if waited_ms >= self.rules.newcomer_wait_ms or owner in self._known_by:
            return True
        known = self.assignment.get_member(owner)
        me = self.get_own_member()
        if known is None or me is None:
            return False
        # Whoever joined before the owner did is in every record that the
        # owner ever read as a member.
        return me.joined_ms < known.joined_ms
