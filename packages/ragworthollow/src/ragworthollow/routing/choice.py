"""Choose among the instances of a subset."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.routing.peer_state import PeerState
from ragworthollow.utils.hashing import get_rank

_SUCCESS_FLOOR = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class Wish:
    """
    Say what an attempt wants of its instance.

    Attributes
    ----------
    affinity_key : str
        Calls of the same key share a cached prefix; empty for none.
    avoid : frozenset of str
        Instances already tried.
    """

    affinity_key: str = ''
    avoid: frozenset[str] = frozenset()


def choose_peer(
    peers: Sequence[PeerState],
    wish: Wish,
    now_ms: float,
    rng: random.Random,
) -> PeerState | None:
    """
    Choose the instance for one attempt.

    The instance that holds the prefix is taken while it has free slots;
    otherwise the better of two random ones, which stays stable when what is
    known is old.  A busy pool spreads each organisation over all instances:
    its guarantee holds on each of them, and one instance could not serve it.

    Parameters
    ----------
    peers : sequence of PeerState
        The subset of the pool.
    wish : Wish
        Affinity, and what to avoid.
    now_ms : float
        Time on the monotonic clock.
    rng : Random
        Source of randomness.

    Returns
    -------
    PeerState or None
        None when no instance is left to try.
    """
    untried = [
        peer for peer in peers if peer.instance.instance not in wish.avoid
    ]
    staying = [peer for peer in untried if not peer.load.leaving]
    usable = [peer for peer in untried if peer.is_usable(now_ms)]
    if len(usable) < len(staying) * global_settings.PANIC_SHARE:
        # When most are suspect the pool failed as a whole, and suspicion
        # says nothing about single instances any more: the few that are
        # left, or the first to come back, would drown in the work of all.
        usable = staying
    if not usable:
        return None
    preferred = _find_preferred(usable, wish.affinity_key, now_ms)
    if preferred is not None:
        return preferred
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda peer: get_score(peer, now_ms))


def get_score(peer: PeerState, now_ms: float) -> float:
    """
    Return how deep in work an instance is, weighted by its failures.

    Latency plays no part: an instance that was slow once would get no calls
    and could never show that it has recovered.  Stragglers are ejected by
    comparison with their pool instead.

    Parameters
    ----------
    peer : PeerState
        The candidate.
    now_ms : float
        Time on the monotonic clock.

    Returns
    -------
    float
        Lower is better.
    """
    depth = 1 + peer.get_depth(now_ms)
    return depth / max(peer.success, _SUCCESS_FLOOR)


def _find_preferred(
    usable: Sequence[PeerState],
    affinity_key: str,
    now_ms: float,
) -> PeerState | None:
    if not affinity_key:
        return None
    preferred = max(
        usable,
        key=lambda peer: get_rank(affinity_key, peer.instance.instance),
    )
    depth = preferred.get_depth(now_ms)
    return None if depth > global_settings.AFFINITY_DEPTH else preferred
