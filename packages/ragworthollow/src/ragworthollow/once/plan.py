"""Define a change of an assignment."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.once.assignment import Assignment
from ragworthollow.once.member_key import MemberKey


class Step(enum.StrEnum):
    """Name a change."""

    nothing = 'nothing'
    join = 'join'
    reclaim = 'reclaim'
    take_over = 'take_over'
    move = 'move'
    leave = 'leave'


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """
    Hold the next change and what it relies on.

    Attributes
    ----------
    step : Step
        What is to be done.
    assignment : Assignment
        The record to be written.
    absent : str
        Member whose key must be absent when it is written; empty for none.
    target : str
        Member that must have taken the records of `ranges` before.
    ranges : frozenset of int
        Ranges that move.
    """

    step: Step
    assignment: Assignment = Assignment()
    absent: str = ''
    target: str = ''
    ranges: frozenset[int] = frozenset()


NOTHING = Plan(step=Step.nothing)


@dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """
    Hold what was read from the platform and the clocks.

    Attributes
    ----------
    alive : mapping
        Leased member keys by instance, our own included.
    now_ms, wall_ms : float
        Monotonic time and Unix time.
    address : str
        Our own address.
    leaving : bool
        Whether we are stopping.
    """

    alive: Mapping[str, MemberKey]
    now_ms: float
    wall_ms: float
    address: str
    leaving: bool = False
