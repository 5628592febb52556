"""Define the calls that carry pieces to instances."""

from dataclasses import dataclass, field

from ragworthollow.pieces.batch_limit import BatchLimit
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.upstreams import UpstreamInstance


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class PieceCall:
    """
    Describe one call to one instance, with a batch of pieces.

    Attributes
    ----------
    instance : UpstreamInstance
        Instance that processes the call.
    pieces : tuple of WaitingPiece
        Pieces of the call, in order.
    started_ms : float
        Time at which the call was sent, on the monotonic clock.
    expected_ms : float
        Expected duration of the call.
    limit : BatchLimit
        Reason why the call carries no more pieces.
    remaining_pieces : int
        Number of pieces that remained in the queue.
    free_bytes : float
        Free space for results at the instance, as accounted for here.
    untracked_bytes : float
        Space there that untracked results occupy, as accounted for here.
    hedged : set of WaitingPiece
        Pieces that were also queued for another call because this call is
        slow.
    """

    instance: UpstreamInstance
    pieces: tuple[WaitingPiece, ...]
    started_ms: float
    expected_ms: float
    limit: BatchLimit = BatchLimit.queue
    remaining_pieces: int = 0
    free_bytes: float = 0
    untracked_bytes: float = 0
    hedged: set[WaitingPiece] = field(default_factory=set)


@dataclass(frozen=True, kw_only=True, slots=True)
class RemoteCall:
    """
    Describe a call sent by another scheduler of the pool.

    Attributes
    ----------
    instance : str
        Instance that processes the call.
    result_bytes : int
        Space that the results of the call will take.
    expires_ms : float
        Time until which the call counts unless that scheduler reports it
        again, on the monotonic clock.
    """

    instance: str
    result_bytes: int
    expires_ms: float
