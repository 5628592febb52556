"""Define a piece in the queue of a scheduler."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ragworthollow.pieces.piece import Piece, PieceResult
from ragworthollow.pieces.stage_run import StageRun


@dataclass(kw_only=True, slots=True, eq=False)
class WaitingPiece:
    """
    Hold a piece until its result is known.

    Attributes
    ----------
    piece : Piece
        Work to be done.
    arrived_ms : float
        Time at which the piece arrived, on the monotonic clock.
    on_result : callable
        Callback that receives the result, called once.
    attempts : int
        Number of earlier calls that the piece was part of.
    avoid : set of str
        Instances at which the piece has failed.
    stage_run : StageRun
        State of the stage that the piece belongs to.
    is_awaited : bool
        False once the requesting gateway has the result or has terminated.
    """

    piece: Piece
    arrived_ms: float
    on_result: Callable[[PieceResult], None]
    stage_run: StageRun
    attempts: int = 0
    avoid: set[str] = field(default_factory=set)
    is_awaited: bool = True

    def resolve(self, piece_result: PieceResult) -> None:
        """Deliver the result; the piece is no longer awaited."""
        self.is_awaited = False
        self.on_result(piece_result)
