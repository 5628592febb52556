"""Batch the pieces of stages into calls, across requests."""

from ragworthollow.pieces.announced_work import (
    AnnouncedWork,
    PeerAnnouncements,
)
from ragworthollow.pieces.call import ForeignCall, PieceCall
from ragworthollow.pieces.gate import PieceGate
from ragworthollow.pieces.piece import (
    Piece,
    PieceOutcome,
    PieceResult,
)
from ragworthollow.pieces.result_room import KeptResult, ResultSpace
from ragworthollow.pieces.stage_run import StageRun
from ragworthollow.pieces.waiting_piece import WaitingPiece

__all__ = (
    'AnnouncedWork',
    'PeerAnnouncements',
    'ForeignCall',
    'KeptResult',
    'Piece',
    'PieceCall',
    'PieceGate',
    'PieceOutcome',
    'PieceResult',
    'ResultSpace',
    'StageRun',
    'WaitingPiece',
)
