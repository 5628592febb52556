"""Define a change of an assignment."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.once.assignment import Assignment
from ragworthollow.once.member_key import MemberKey


class Step(enum.StrEnum):
    """Name the kind of a change of an assignment."""

    nothing = 'nothing'
    join = 'join'
    reclaim = 'reclaim'
    take_over = 'take_over'
    move = 'move'
    leave = 'leave'


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """
    Hold the next change and its preconditions.

    Attributes
    ----------
    step : Step
        Kind of the change.
    assignment : Assignment
        Assignment to write.
    absent : str
        Member whose key must be absent when the assignment is written; empty
        for none.
    target : str
        Member that must have received the records of `ranges` before the
        write; empty for none.
    ranges : frozenset of int
        Ranges whose owner changes.
    """

    step: Step
    assignment: Assignment = Assignment()
    absent: str = ''
    target: str = ''
    ranges: frozenset[int] = frozenset()


NOTHING = Plan(step=Step.nothing)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformView:
    """
    Hold the state read from the platform and the clocks.

    Attributes
    ----------
    alive : mapping
        Member keys of the live sidecars by instance, including this process.
    now_ms, wall_ms : float
        Monotonic time and Unix time, in milliseconds.
    address : str
        Address of this process.
    leaving : bool
        Whether this process is shutting down.
    """

    alive: Mapping[str, MemberKey]
    now_ms: float
    wall_ms: float
    address: str
    leaving: bool = False
