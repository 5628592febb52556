"""Batch the pieces of stages into calls, across requests."""

from ragworthollow.pieces.announced_work import (
    AnnouncedWork,
    PeerAnnouncements,
)
from ragworthollow.pieces.call import PieceCall, RemoteCall
from ragworthollow.pieces.piece import (
    Piece,
    PieceOutcome,
    PieceResult,
)
from ragworthollow.pieces.result_space import ResultSpace, StoredResult
from ragworthollow.pieces.scheduler import PieceScheduler
from ragworthollow.pieces.stage_run import StageRun
from ragworthollow.pieces.waiting_piece import WaitingPiece

__all__ = (
    'AnnouncedWork',
    'PeerAnnouncements',
    'Piece',
    'PieceCall',
    'PieceOutcome',
    'PieceResult',
    'PieceScheduler',
    'RemoteCall',
    'ResultSpace',
    'StageRun',
    'StoredResult',
    'WaitingPiece',
)
