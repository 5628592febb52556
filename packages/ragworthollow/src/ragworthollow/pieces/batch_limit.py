"""Determine why a call carries no more pieces."""

import enum
from collections.abc import Sequence

from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.routes.upstream_pool import PieceProfile
from ragworthollow.upstreams import UpstreamInstance


class BatchLimit(enum.StrEnum):
    """
    Name the reason why a call carries no more pieces.

    Attributes
    ----------
    full
        The call carries the maximum number of pieces.
    space
        Other pieces waited whose results, or the rest of whose stage, did not
        fit into the space.
    held
        Other pieces waited for an instance in another failure domain.
    avoided
        Other pieces waited that have already failed at this instance.
    queue
        No other pieces waited.
    """

    full = 'full'
    space = 'space'
    held = 'held'
    avoided = 'avoided'
    queue = 'queue'


def find_batch_limit(
    profile: PieceProfile,
    instance: UpstreamInstance,
    taken: Sequence[WaitingPiece],
    candidates: Sequence[WaitingPiece],
    queue: Sequence[WaitingPiece],
) -> BatchLimit:
    """
    Return the reason why a call carries no more than the taken pieces.

    Parameters
    ----------
    profile : PieceProfile
        Profile of the pool.
    instance : UpstreamInstance
        Instance that the call goes to.
    taken : sequence of WaitingPiece
        Pieces of the call.
    candidates : sequence of WaitingPiece
        Pieces that the instance may process.
    queue : sequence of WaitingPiece
        All queued pieces.
    """
    avoiding = sum(instance.instance in waiting.avoid for waiting in candidates)
    if len(taken) == profile.batch_limit:
        return BatchLimit.full
    if len(candidates) - avoiding > len(taken):
        return BatchLimit.space
    if len(queue) > len(candidates):
        return BatchLimit.held
    return BatchLimit.avoided if avoiding else BatchLimit.queue
