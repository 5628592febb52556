"""Choose the next change of an assignment."""

from collections.abc import Mapping

import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import (
    Assignment,
    Member,
    RangeOwner,
)
from ragworthollow.once.ownership import Ownership
from ragworthollow.once.plan import NOTHING, Plan, PlatformView, Step


def plan_step(ownership: Ownership, view: PlatformView) -> Plan:
    """
    Choose the next change to try.

    Parameters
    ----------
    ownership : Ownership
        Ownership state of this process.
    view : PlatformView
        State just read from the platform.

    Returns
    -------
    Plan
        Change for one compare-and-swap, or `NOTHING`.
    """
    for planner in (_plan_join, _plan_reclaim, _plan_take_over, _plan_move):
        plan = planner(ownership, view)
        if plan.step is not Step.nothing:
            return plan
    return _plan_leave(ownership, view)


def _plan_join(ownership: Ownership, view: PlatformView) -> Plan:
    current = ownership.assignment
    if view.leaving or ownership.get_own_member() is not None:
        return NOTHING
    own_member = Member(
        instance=ownership.instance,
        incarnation=ownership.incarnation,
        address=view.address,
        joined_ms=int(view.wall_ms),
    )
    ranges = current.ranges
    if not current.epoch:
        # No process has ever run a key of this pool, so every key may run,
        # however old it is.
        first = RangeOwner(
            instance=ownership.instance,
            incarnation=ownership.incarnation,
        )
        ranges = (first,) * global_settings.ONCE_RANGES
    others = tuple(
        member
        for member in current.members
        if member.instance != ownership.instance
    )
    return Plan(
        step=Step.join,
        assignment=_make_next_epoch(current, (*others, own_member), ranges),
    )


def _plan_reclaim(ownership: Ownership, view: PlatformView) -> Plan:
    current = ownership.assignment
    stale = [
        index
        for index, owner in enumerate(current.ranges)
        if owner.instance == ownership.instance and not ownership.is_ours(owner)
    ]
    if not stale or view.leaving:
        return NOTHING
    # The earlier process of this instance has terminated, since this process
    # could bind its port; the records of the earlier process are lost.
    own_range = _make_own_range(ownership, view)
    ranges = _replace_owners(current, dict.fromkeys(stale, own_range))
    return Plan(
        step=Step.reclaim,
        assignment=_make_next_epoch(current, current.members, ranges),
    )


def _plan_take_over(ownership: Ownership, view: PlatformView) -> Plan:
    current = ownership.assignment
    if view.leaving:
        return NOTHING
    for member in current.members:
        absent = member.instance
        if absent in view.alive or absent == ownership.instance:
            continue
        if not ownership.may_take_over(absent, view.now_ms, view.wall_ms):
            continue
        return _make_take_over(ownership, view, absent)
    return NOTHING


def _make_take_over(
    ownership: Ownership, view: PlatformView, absent: str
) -> Plan:
    current = ownership.assignment
    own_range = _make_own_range(ownership, view)
    taken = {
        index: own_range
        for index, owner in enumerate(current.ranges)
        if owner.instance == absent
    }
    members = tuple(
        member for member in current.members if member.instance != absent
    )
    return Plan(
        step=Step.take_over,
        assignment=_make_next_epoch(
            current, members, _replace_owners(current, taken)
        ),
        absent=absent,
        ranges=frozenset(taken),
    )


def _plan_move(ownership: Ownership, view: PlatformView) -> Plan:
    current = ownership.assignment
    stable = [
        member.instance
        for member in current.members
        if member.instance in view.alive
        and not view.alive[member.instance].leaving
    ]
    if not stable or not ownership.is_certain(view.now_ms):
        return NOTHING
    misplaced = ownership.get_misplaced_ranges(stable)
    if not misplaced:
        return NOTHING
    target = min(misplaced.values())
    ranges = frozenset(
        index for index, name in misplaced.items() if name == target
    )
    moved = {
        index: RangeOwner(
            instance=target,
            incarnation=view.alive[target].incarnation,
            since_ms=current.ranges[index].since_ms,
        )
        for index in ranges
    }
    return Plan(
        step=Step.move,
        assignment=_make_next_epoch(
            current, current.members, _replace_owners(current, moved)
        ),
        target=target,
        ranges=ranges,
    )


def _plan_leave(ownership: Ownership, view: PlatformView) -> Plan:
    current = ownership.assignment
    is_member = current.get_member(ownership.instance) is not None
    owns_any = any(
        owner.instance == ownership.instance for owner in current.ranges
    )
    if not view.leaving or not is_member or owns_any:
        return NOTHING
    members = tuple(
        member
        for member in current.members
        if member.instance != ownership.instance
    )
    return Plan(
        step=Step.leave,
        assignment=_make_next_epoch(current, members, current.ranges),
    )


def _make_own_range(ownership: Ownership, view: PlatformView) -> RangeOwner:
    return RangeOwner(
        instance=ownership.instance,
        incarnation=ownership.incarnation,
        since_ms=int(view.wall_ms + ownership.rules.skew_ms) + 1,
    )


def _replace_owners(
    current: Assignment,
    changed: Mapping[int, RangeOwner],
) -> tuple[RangeOwner, ...]:
    return tuple(
        changed.get(index, owner) for index, owner in enumerate(current.ranges)
    )


def _make_next_epoch(
    current: Assignment,
    members: tuple[Member, ...],
    ranges: tuple[RangeOwner, ...],
) -> Assignment:
    return msgspec.structs.replace(
        current,
        epoch=current.epoch + 1,
        members=members,
        ranges=ranges,
    )
