"""Find instances that are much slower than the rest of their pool."""

from collections.abc import Sequence
from statistics import median

from ragworthollow.conf import global_settings
from ragworthollow.routing.peer_state import PeerState


def find_stragglers(states: Sequence[PeerState]) -> list[PeerState]:
    """
    Find the instances to eject for a while.

    Instances are compared with the others of their pool at the same time, so
    that none is ejected if the pool is slow as a whole.

    Parameters
    ----------
    states : sequence of PeerState
        States of the instances in the subset of one pool.

    Returns
    -------
    list of PeerState
        Slowest first, never more than a fixed share of the subset.
    """
    known = [
        state
        for state in states
        if state.samples >= global_settings.EJECTION_MIN_SAMPLES
    ]
    if len(known) < 3:
        return []
    typical_ms = median(state.latency_ms for state in known)
    bound_ms = typical_ms * global_settings.EJECTION_FACTOR
    slow = [state for state in known if state.latency_ms > bound_ms]
    slow.sort(key=lambda state: state.latency_ms, reverse=True)
    max_ejected = int(len(states) * global_settings.EJECTION_MAX_SHARE)
    return slow[:max_ejected]
