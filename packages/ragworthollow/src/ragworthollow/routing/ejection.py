"""Find instances that are much slower than their pool."""

from collections.abc import Sequence
from statistics import median

from ragworthollow.conf import global_settings
from ragworthollow.routing.peer_state import PeerState


def find_stragglers(peers: Sequence[PeerState]) -> list[PeerState]:
    """
    Find the instances to be left out for a while.

    Slowness is judged against the other instances of the pool at the same
    time, so that a pool that is slow as a whole loses none.

    Parameters
    ----------
    peers : sequence of PeerState
        The subset of one pool.

    Returns
    -------
    list of PeerState
        Slowest first, never more than a fixed share of the subset.
    """
    known = [
        peer
        for peer in peers
        if peer.samples >= global_settings.EJECTION_MIN_SAMPLES
    ]
    if len(known) < 3:
        return []
    typical_ms = median(peer.latency_ms for peer in known)
    bound_ms = typical_ms * global_settings.EJECTION_FACTOR
    slow = [peer for peer in known if peer.latency_ms > bound_ms]
    slow.sort(key=lambda peer: peer.latency_ms, reverse=True)
    most = int(len(peers) * global_settings.EJECTION_MAX_SHARE)
    return slow[:most]
