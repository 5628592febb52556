"""Fill calls with pieces of stages, across requests."""

from ragworthollow.pieces.gate import PieceCall, PieceGate
from ragworthollow.pieces.piece import (
    Piece,
    PieceOutcome,
    PieceResult,
)
from ragworthollow.pieces.result_room import ResultRoom
from ragworthollow.pieces.stage_run import StageRun
from ragworthollow.pieces.waiting_piece import WaitingPiece

__all__ = (
    'Piece',
    'PieceCall',
    'PieceGate',
    'PieceOutcome',
    'PieceResult',
    'ResultRoom',
    'StageRun',
    'WaitingPiece',
)
