"""Choose the engine that is expected to answer first."""

import enum
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ragworthollow.balancing.engine_state import EngineState
from ragworthollow.conf import global_settings
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
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
    usual_ratio : float
        Usual work time of the engines of the pool, in the middle of all.
    """

    affinity_key: str
    expected: str = ''
    usual_ratio: float = 1
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


def are_uneven(ratios: Sequence[float]) -> bool:
    """Return whether work times, the shortest first, differ clearly."""
    if not ratios:
        return False
    return ratios[-1] >= ratios[0] * global_settings.UNEVEN_SPEED_RATIO


def nominate_engines(
    instances: Iterable[UpstreamInstance],
    ratios: Mapping[str, float],
    criteria: EngineCriteria,
) -> list[UpstreamInstance]:
    """
    Return the engines that rank first for a prompt, the first in rank first.

    Only their states are needed for a choice, which takes no longer in a pool
    of a thousand engines than in one of ten.

    Parameters
    ----------
    instances : iterable of UpstreamInstance
        Engines that may be chosen.
    ratios : mapping of str to float
        Known usual work times, by name of the engine.
    criteria : EngineCriteria
        What the choice depends on in the request.
    """
    return heapq.nlargest(
        global_settings.ENGINE_NOMINEES,
        instances,
        key=lambda instance: _get_weighted_rank(
            instance.instance, ratios.get(instance.instance), criteria
        ),
    )


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
        Engines that may be chosen, the first in rank first.
    criteria : EngineCriteria
        What the choice depends on in the request.

    Returns
    -------
    EngineChoice or None
        None without any engine.
    """
    if not states:
        return None
    with_slots = [
        state for state in states if state.requests < state.instance.slots
    ]
    candidates = (with_slots or states)[: global_settings.ENGINE_CANDIDATES]
    home = candidates[0]
    costs = [
        _estimate_reading(state, criteria, is_home=state is home)
        for state in candidates
    ]
    return _choose_by_cost(candidates, costs, criteria)


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


def _get_weighted_rank(
    instance: str,
    ratio: float | None,
    criteria: EngineCriteria,
) -> float:
    """
    Return the rank in weighted rendezvous hashing.

    Weights are powers of two, so that prompts keep their engines while the
    measured speeds vary a little.
    """
    speed = criteria.usual_ratio / (ratio or criteria.usual_ratio)
    weight = 2 ** round(math.log2(speed))
    rank = get_rank(criteria.affinity_key, instance)
    return weight / -math.log((rank + 1) / (_RANKS + 1))


def _estimate_reading(
    state: EngineState,
    criteria: EngineCriteria,
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
        state.current_work_time_ratio
        or state.work_time_ratio
        or criteria.usual_ratio
    )
    return tokens * work_time_ratio
