"""Choose the upstream instance for one attempt."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.load_book import LoadBook
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
from ragworthollow.utils.hashing import get_rank


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamWish:
    """
    Say what an attempt wants of its instance.

    Attributes
    ----------
    affinity_key : str
        Requests of the same key share a cached prompt; empty for none.
    avoid : frozenset of str
        Instances already tried.
    failure_domain : str
        Where the caller of the instance runs.
    """

    affinity_key: str = ''
    avoid: frozenset[str] = frozenset()
    failure_domain: str = ''


def choose_upstream(
    instances: Sequence[UpstreamInstance],
    book: LoadBook,
    wish: UpstreamWish,
    now_ms: float,
    rng: random.Random,
) -> UpstreamInstance | None:
    """
    Choose an instance.

    Requests that share a prompt go to the instance that ranks highest for
    it, as long as that one holds no more than `AFFINITY_LOAD_FACTOR` times
    the mean plus `AFFINITY_LOAD_SLACK`; the next in rank follows, so that an
    overflow finds its prompt cached as well.  All others go to the least
    loaded.  Suspect instances come last, not never: when every instance is
    suspect, some answer beats none.

    Parameters
    ----------
    instances : sequence of UpstreamInstance
        Of one pool.
    book : LoadBook
        What is known of them.
    wish : UpstreamWish
        What the attempt wants.
    now_ms : float
        Time on the monotonic clock.
    rng : Random
        Breaks ties.

    Returns
    -------
    UpstreamInstance or None
        None when no instance is left to try.
    """
    untried = [one for one in instances if one.instance not in wish.avoid]
    trusted = [
        one
        for one in untried
        if book.get(one.instance).suspect_until_ms <= now_ms
    ]
    candidates = trusted or untried
    if not candidates:
        return None
    depths = {one.instance: _get_depth(one, book, now_ms) for one in candidates}
    if not wish.affinity_key:
        return min(
            candidates,
            key=lambda one: (depths[one.instance], rng.random()),
        )
    limit = _get_limit(depths)
    ranked = sorted(
        candidates,
        key=lambda one: get_rank(wish.affinity_key, one.instance),
        reverse=True,
    )
    for one in ranked:
        if depths[one.instance] <= limit:
            return one
    return ranked[0]


def _get_depth(
    one: UpstreamInstance,
    book: LoadBook,
    now_ms: float,
) -> float:
    """Return the load in shares of the instance's slots."""
    record = book.get(one.instance)
    others = record.get_others(now_ms) * global_settings.REPORTED_LOAD_TRUST
    return (record.in_flight + others) / max(1, one.slots)


def _get_limit(depths: dict[str, float]) -> float:
    mean = sum(depths.values()) / len(depths)
    return (
        mean * global_settings.AFFINITY_LOAD_FACTOR
        + global_settings.AFFINITY_LOAD_SLACK
    )
