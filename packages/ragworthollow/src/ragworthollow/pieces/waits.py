"""Estimate how long pieces wait in the queue."""

from collections.abc import Sequence

from ragworthollow.pieces.call import PieceCall
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.routes.upstream_pool import PieceProfile
from ragworthollow.upstreams import UpstreamInstance


def estimate_wait_ms(
    profile: PieceProfile,
    instances: int,
    calls: Sequence[PieceCall],
    pieces_ahead: int,
    now_ms: float,
) -> float:
    """
    Estimate the wait behind other pieces, from call times alone.

    Parameters
    ----------
    profile : PieceProfile
        Profile of the pool.
    instances : int
        Number of instances that may receive work.
    calls : sequence of PieceCall
        Calls in progress.
    pieces_ahead : int
        Number of pieces ahead in the queue.
    now_ms : float
        Current time on the monotonic clock.
    """
    if not instances:
        return float('inf')
    full_ms = profile.estimate_ms(profile.batch_limit)
    busy_ms = sum(
        max(0, call.started_ms + call.expected_ms - now_ms) for call in calls
    )
    if len(calls) < instances * profile.concurrency:
        busy_ms = 0
    calls_ahead = pieces_ahead / profile.batch_limit
    return (busy_ms / 2 + calls_ahead * full_ms) / instances


def estimate_domain_waits(
    profile: PieceProfile,
    instances: Sequence[UpstreamInstance],
    calls: Sequence[PieceCall],
    queue: Sequence[WaitingPiece],
    now_ms: float,
) -> dict[str, float]:
    """
    Estimate when each failure domain can start the pieces queued for it.

    Parameters
    ----------
    profile : PieceProfile
        Profile of the pool.
    instances : sequence of UpstreamInstance
        Instances that may receive work.
    calls : sequence of PieceCall
        Calls in progress.
    queue : sequence of WaitingPiece
        Queued pieces.
    now_ms : float
        Current time on the monotonic clock.
    """
    busy_ms = {
        call.instance.instance: call.started_ms + call.expected_ms - now_ms
        for call in calls
    }
    queued: dict[str, int] = {}
    for waiting in queue:
        domain = waiting.piece.failure_domain
        queued[domain] = queued.get(domain, 0) + 1
    free_ms: dict[str, list[float]] = {}
    for instance in instances:
        free_ms.setdefault(instance.failure_domain, []).append(
            max(0, busy_ms.get(instance.instance, 0)),
        )
    full_ms = profile.estimate_ms(profile.batch_limit)
    return {
        domain: min(free)
        + full_ms
        * (max(0, queued.get(domain, 0) - 1) // profile.batch_limit)
        / len(free)
        for domain, free in free_ms.items()
    }
