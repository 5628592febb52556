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
from ragworthollow.once.plan import NOTHING, Plan, Step, View


def plan_step(ownership: Ownership, view: View) -> Plan:
    """
    Choose the one change to try next.

    Parameters
    ----------
    ownership : Ownership
        What this process knows.
    view : View
        What it has just read.

    Returns
    -------
    Plan
        A change for one compare-and-swap, or nothing.
    """
    for planner in (_plan_join, _plan_reclaim, _plan_take_over, _plan_move):
        plan = planner(ownership, view)
        if plan.step is not Step.nothing:
            return plan
    return _plan_leave(ownership, view)


def _plan_join(ownership: Ownership, view: View) -> Plan:
    known = ownership.assignment
    if view.leaving or ownership.get_own_member() is not None:
        return NOTHING
    me = Member(
        instance=ownership.instance,
        incarnation=ownership.incarnation,
        address=view.address,
        joined_ms=int(view.wall_ms),
    )
    ranges = known.ranges
    if not known.epoch:
        # Nobody ever ran a key of this pool, so that none is too old.
        first = RangeOwner(
            instance=ownership.instance,
            incarnation=ownership.incarnation,
        )
        ranges = (first,) * global_settings.ONCE_RANGES
    others = tuple(
        one for one in known.members if one.instance != ownership.instance
    )
    return Plan(
        step=Step.join,
        assignment=_advance(known, (*others, me), ranges),
    )


def _plan_reclaim(ownership: Ownership, view: View) -> Plan:
    known = ownership.assignment
    stale = [
        index
        for index, owner in enumerate(known.ranges)
        if owner.instance == ownership.instance and not ownership.is_ours(owner)
    ]
    if not stale or view.leaving:
        return NOTHING
    # The earlier process of this instance is dead, since we could bind its
    # port; its records are gone.
    mine = _own_from_now(ownership, view)
    ranges = _replace(known, dict.fromkeys(stale, mine))
    return Plan(
        step=Step.reclaim,
        assignment=_advance(known, known.members, ranges),
    )


def _plan_take_over(ownership: Ownership, view: View) -> Plan:
    known = ownership.assignment
    if view.leaving:
        return NOTHING
    for member in known.members:
        gone = member.instance
        if gone in view.alive or gone == ownership.instance:
            continue
        if not ownership.may_take_over(gone, view.now_ms, view.wall_ms):
            continue
        return _make_take_over(ownership, view, gone)
    return NOTHING


def _make_take_over(ownership: Ownership, view: View, gone: str) -> Plan:
    known = ownership.assignment
    mine = _own_from_now(ownership, view)
    taken = {
        index: mine
        for index, owner in enumerate(known.ranges)
        if owner.instance == gone
    }
    members = tuple(one for one in known.members if one.instance != gone)
    return Plan(
        step=Step.take_over,
        assignment=_advance(known, members, _replace(known, taken)),
        absent=gone,
        ranges=frozenset(taken),
    )


def _plan_move(ownership: Ownership, view: View) -> Plan:
    known = ownership.assignment
    stable = [
        member.instance
        for member in known.members
        if member.instance in view.alive
        and not view.alive[member.instance].leaving
    ]
    if not stable or not ownership.is_sure(view.now_ms):
        return NOTHING
    away = ownership.get_strays(stable)
    if not away:
        return NOTHING
    target = min(away.values())
    ranges = frozenset(index for index, name in away.items() if name == target)
    moved = {
        index: RangeOwner(
            instance=target,
            incarnation=view.alive[target].incarnation,
            since_ms=known.ranges[index].since_ms,
        )
        for index in ranges
    }
    return Plan(
        step=Step.move,
        assignment=_advance(known, known.members, _replace(known, moved)),
        target=target,
        ranges=ranges,
    )


def _plan_leave(ownership: Ownership, view: View) -> Plan:
    known = ownership.assignment
    is_member = known.get_member(ownership.instance) is not None
    owns_any = any(
        owner.instance == ownership.instance for owner in known.ranges
    )
    if not view.leaving or not is_member or owns_any:
        return NOTHING
    members = tuple(
        one for one in known.members if one.instance != ownership.instance
    )
    return Plan(
        step=Step.leave,
        assignment=_advance(known, members, known.ranges),
    )


def _own_from_now(ownership: Ownership, view: View) -> RangeOwner:
    return RangeOwner(
        instance=ownership.instance,
        incarnation=ownership.incarnation,
        since_ms=int(view.wall_ms + ownership.rules.skew_ms) + 1,
    )


def _replace(
    known: Assignment,
    changed: Mapping[int, RangeOwner],
) -> tuple[RangeOwner, ...]:
    return tuple(
        changed.get(index, owner) for index, owner in enumerate(known.ranges)
    )


def _advance(
    known: Assignment,
    members: tuple[Member, ...],
    ranges: tuple[RangeOwner, ...],
) -> Assignment:
    return msgspec.structs.replace(
        known,
        epoch=known.epoch + 1,
        members=members,
        ranges=ranges,
    )
