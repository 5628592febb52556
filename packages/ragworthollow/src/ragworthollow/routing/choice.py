"""Choose among the instances of a subset."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.routing.peer_state import PeerState
from ragworthollow.utils.hashing import get_rank

_SUCCESS_FLOOR = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class SelectionCriteria:
    """
    Define how to select the instance of an attempt.

    Attributes
    ----------
    affinity_key : str
        Key of the calls that share a cached prefix; empty for none.
    avoid : frozenset of str
        Names of instances already tried.
    """

    affinity_key: str = ''
    avoid: frozenset[str] = frozenset()


def choose_instance(
    states: Sequence[PeerState],
    criteria: SelectionCriteria,
    now_ms: float,
    rng: random.Random,
) -> PeerState | None:
    """
    Choose the instance for one attempt.

    The instance that holds the prefix is chosen while it has free slots;
    otherwise the better of two random instances, which remains stable when the
    load information is stale.  A busy pool spreads each organisation over all
    instances: its guarantee holds on each of them, and one instance could not
    serve it.

    Parameters
    ----------
    states : sequence of PeerState
        States of the instances in the subset of the pool.
    criteria : SelectionCriteria
        Affinity key, and instances to avoid.
    now_ms : float
        Time on the monotonic clock.
    rng : Random
        Source of randomness.

    Returns
    -------
    PeerState or None
        None if there is no instance left to try.
    """
    untried = [
        state
        for state in states
        if state.instance.instance not in criteria.avoid
    ]
    staying = [state for state in untried if not state.load.leaving]
    usable = [state for state in untried if state.is_usable(now_ms)]
    if len(usable) < len(staying) * global_settings.PANIC_SHARE:
        # If most instances are suspect, the pool has failed as a whole, and
        # the state of a single instance says nothing any more: the few usable
        # instances, or the first to recover, would be overloaded by all calls.
        usable = staying
    if not usable:
        return None
    preferred = _find_preferred(usable, criteria.affinity_key, now_ms)
    if preferred is not None:
        return preferred
    candidates = rng.sample(usable, min(2, len(usable)))
    return min(candidates, key=lambda state: get_score(state, now_ms))


def get_score(state: PeerState, now_ms: float) -> float:
    """
    Return the queue depth of an instance, weighted by its success rate.

    Latency is ignored: an instance that was slow once would get no calls and
    could never show that it has recovered.  Stragglers are ejected by
    comparison with their pool instead.

    Parameters
    ----------
    state : PeerState
        State of the candidate.
    now_ms : float
        Time on the monotonic clock.

    Returns
    -------
    float
        Lower is better.
    """
    depth = 1 + state.get_depth(now_ms)
    return depth / max(state.success_rate, _SUCCESS_FLOOR)


def _find_preferred(
    usable: Sequence[PeerState],
    affinity_key: str,
    now_ms: float,
) -> PeerState | None:
    if not affinity_key:
        return None
    preferred = max(
        usable,
        key=lambda state: get_rank(affinity_key, state.instance.instance),
    )
    depth = preferred.get_depth(now_ms)
    return None if depth > global_settings.AFFINITY_DEPTH else preferred
