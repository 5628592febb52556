"""Select the upstream instance for an attempt."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error
from ragworthollow.upstreams.load_tracker import LoadTracker
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
from ragworthollow.utils.hashing import get_rank


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamCriteria:
    """
    Hold the selection criteria of one attempt.

    Attributes
    ----------
    affinity_key : str
        Key of the cached prompt that requests share; empty for none.
    avoid : frozenset of str
        Instances that were already tried.
    failure_domain : str
        Failure domain of the process that sends the request.
    """

    affinity_key: str = ''
    avoid: frozenset[str] = frozenset()
    failure_domain: str = ''


def choose_upstream(
    instances: Sequence[UpstreamInstance],
    load_tracker: LoadTracker,
    criteria: UpstreamCriteria,
    now_ms: float,
    rng: random.Random,
) -> UpstreamInstance | None:
    """
    Select an instance by prompt affinity and load.

    Requests that share a prompt go to the instance that ranks highest for
    it in rendezvous hashing, as long as its load is at most
    `AFFINITY_LOAD_FACTOR` times the mean plus `AFFINITY_LOAD_SLACK`.  Beyond
    that they go to the next in rank, so that overflowing requests also find
    their prompt cached.  All other requests go to the least loaded instance.
    Suspect instances are used only if no other is left, since an attempt that
    may fail is better than none.

    Parameters
    ----------
    instances : sequence of UpstreamInstance
        Instances of one pool.
    load_tracker : LoadTracker
        Load and health of the instances.
    criteria : UpstreamCriteria
        Selection criteria of the attempt.
    now_ms : float
        Current time on the monotonic clock.
    rng : Random
        Source of randomness that breaks ties.

    Returns
    -------
    UpstreamInstance or None
        None if no instance is left to try.
    """
    untried = [
        candidate
        for candidate in instances
        if candidate.instance not in criteria.avoid
    ]
    trusted = [
        candidate
        for candidate in untried
        if load_tracker.get(candidate.instance).suspect_until_ms <= now_ms
    ]
    candidates = trusted or untried
    if not candidates:
        return None
    depths = {
        candidate.instance: _rate(candidate, load_tracker, now_ms)
        for candidate in candidates
    }
    if not criteria.affinity_key:
        return min(
            candidates,
            key=lambda candidate: (depths[candidate.instance], rng.random()),
        )
    limit = _get_limit(depths)
    ranked = sorted(
        candidates,
        key=lambda candidate: get_rank(
            criteria.affinity_key, candidate.instance
        ),
        reverse=True,
    )
    for candidate in ranked:
        if depths[candidate.instance] <= limit:
            return candidate
    return ranked[0]


def _rate(
    candidate: UpstreamInstance,
    load_tracker: LoadTracker,
    now_ms: float,
) -> float:
    """Return the load, infinite if it cannot be computed for this instance."""
    try:
        return _get_depth(candidate, load_tracker, now_ms)
    except (ArithmeticError, ValueError) as error:
        log_error(
            'instance_load_invalid',
            step='choice',
            peer=candidate.instance,
            error=repr(error),
        )
    return math.inf


def _get_depth(
    candidate: UpstreamInstance,
    load_tracker: LoadTracker,
    now_ms: float,
) -> float:
    """Return the load as a fraction of the instance's slots."""
    record = load_tracker.get(candidate.instance)
    others = (
        record.get_other_requests(now_ms) * global_settings.REPORTED_LOAD_WEIGHT
    )
    return (record.in_flight + others) / max(1, candidate.slots)


def _get_limit(depths: dict[str, float]) -> float:
    finite = [depth for depth in depths.values() if math.isfinite(depth)]
    mean = sum(finite) / len(finite) if finite else math.inf
    return (
        mean * global_settings.AFFINITY_LOAD_FACTOR
        + global_settings.AFFINITY_LOAD_SLACK
    )
