"""Choose the engine that is expected to answer first."""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

from ragworthollow.balancing.engine_state import EngineState
from ragworthollow.conf import global_settings
from ragworthollow.utils.hashing import get_rank

_RANKS = 2**64


class ChoiceReason(enum.StrEnum):
    """
    Name what decided on an engine.

    Attributes
    ----------
    expected
        It was expected when the stages of the request began, and their results
        are stored near it.
    home
        It ranks first for the prompt, whose shared parts it should have.
    sooner
        It answers much sooner although it has to read the shared parts.
    """

    expected = 'expected'
    home = 'home'
    sooner = 'sooner'


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCriteria:
    """
    Hold what the choice of an engine depends on in a request.

    Attributes
    ----------
    affinity_key : str
        Prompt part that other requests may share; any text if there is none.
    unshared_tokens : int
        Prompt tokens that every engine has to read.
    shared_tokens : int
        Tokens of the shared part, which the engine first in rank should have.
    expected : str
        Engine near which the stages of the request were made; empty if none.
    """

    affinity_key: str
    expected: str = ''
    unshared_tokens: int = 0
    shared_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineChoice:
    """
    Hold the chosen engine.

    Attributes
    ----------
    reason : ChoiceReason
        What decided on the engine.
    state : EngineState
        The engine, and what was known of it.
    """

    reason: ChoiceReason
    state: EngineState


def are_uneven(states: Sequence[EngineState]) -> bool:
    """Return whether some engines of a pool are clearly slower than others."""
    ratios = _list_ratios(states)
    if not ratios:
        return False
    return ratios[-1] >= ratios[0] * global_settings.UNEVEN_SPEED_RATIO


def choose_engine(
    states: Sequence[EngineState],
    criteria: EngineCriteria,
) -> EngineChoice | None:
    """
    Choose an engine by its speed and by the prompts that it has to read.

    A slow engine that gets as many prompts as the others falls behind when
    load rises: its streams begin late and pause, while fast engines have
    nothing to do.  A few engines are candidates for each prompt, in proportion
    to their speed, and the one that is expected to finish reading first is
    chosen.  Gateways that know the same state choose differently for different
    prompts, so they do not all move to the engine that looked best.

    Parameters
    ----------
    states : sequence of EngineState
        Engines that may be chosen.
    criteria : EngineCriteria
        What the choice depends on in the request.

    Returns
    -------
    EngineChoice or None
        None without any engine.
    """
    if not states:
        return None
    ratios = _list_ratios(states)
    usual_ratio = ratios[len(ratios) // 2] if ratios else 1
    candidates = _rank_candidates(states, criteria, usual_ratio)
    home = candidates[0]
    costs = [
        _estimate_reading(state, criteria, usual_ratio, is_home=state is home)
        for state in candidates
    ]
    return _choose_by_cost(candidates, costs, criteria)


def _rank_candidates(
    states: Sequence[EngineState],
    criteria: EngineCriteria,
    usual_ratio: float,
) -> list[EngineState]:
    """Return the engines to compare, the first in rank first."""
    with_slots = [
        state for state in states if state.requests < state.instance.slots
    ]
    ranked = sorted(
        with_slots or states,
        key=lambda state: _get_weighted_rank(state, criteria, usual_ratio),
        reverse=True,
    )
    return ranked[: global_settings.ENGINE_CANDIDATES]


def _choose_by_cost(
    candidates: Sequence[EngineState],
    costs: Sequence[float],
    criteria: EngineCriteria,
) -> EngineChoice:
    """Choose the best candidate, or a preferred one that is good enough."""
    lowest = min(costs)
    for state, cost in zip(candidates, costs, strict=True):
        is_expected = state.instance.instance == criteria.expected
        tolerance = global_settings.EXPECTED_ENGINE_TOLERANCE
        if is_expected and cost <= lowest * tolerance:
            return EngineChoice(reason=ChoiceReason.expected, state=state)
    if costs[0] <= lowest * global_settings.HOME_ENGINE_TOLERANCE:
        return EngineChoice(reason=ChoiceReason.home, state=candidates[0])
    best = candidates[costs.index(lowest)]
    return EngineChoice(reason=ChoiceReason.sooner, state=best)


def _list_ratios(states: Sequence[EngineState]) -> list[float]:
    """Return the known usual work times, the shortest first."""
    return sorted(
        state.work_time_ratio
        for state in states
        if state.work_time_ratio is not None
    )


def _get_weighted_rank(
    state: EngineState,
    criteria: EngineCriteria,
    usual_ratio: float,
) -> float:
    """
    Return the rank in weighted rendezvous hashing.

    Weights are powers of two, so that prompts keep their engines while the
    measured speeds vary a little.
    """
    speed = usual_ratio / (state.work_time_ratio or usual_ratio)
    weight = 2 ** round(math.log2(speed))
    rank = get_rank(criteria.affinity_key, state.instance.instance)
    return weight / -math.log((rank + 1) / (_RANKS + 1))


def _estimate_reading(
    state: EngineState,
    criteria: EngineCriteria,
    usual_ratio: float,
    *,
    is_home: bool,
) -> float:
    """Estimate the time until a prompt is read, in tokens at work time 1."""
    tokens = (
        state.unread_tokens
        + state.requests * global_settings.ENGINE_REQUEST_TOKENS
        + criteria.unshared_tokens
    )
    if not is_home:
        tokens += criteria.shared_tokens
    work_time_ratio = (
        state.current_work_time_ratio or state.work_time_ratio or usual_ratio
    )
    return tokens * work_time_ratio
