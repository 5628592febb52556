"""Select the pieces of one call."""

from collections.abc import Iterable, Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.routes.upstream_pool import PieceProfile


def select_pieces(
    candidates: Sequence[WaitingPiece],
    profile: PieceProfile,
    free_bytes: float,
) -> list[WaitingPiece]:
    """
    Select pieces for a call whose results fit into the available space.

    A stage whose results are large compared to the space is not started
    partially: the results of its finished pieces would occupy space that
    other stages could use, for as long as the rest waits for another call.
    The most urgent stage is started anyway, since smaller stages would
    otherwise overtake it indefinitely.

    Parameters
    ----------
    candidates : sequence of WaitingPiece
        Candidate pieces, in order of preference.
    profile : PieceProfile
        Profile of the pool.
    free_bytes : float
        Available space for results at the instance.

    Returns
    -------
    list of WaitingPiece
        Pieces of the call, in order.
    """
    taken: list[WaitingPiece] = []
    for group in _group_by_stage(candidates):
        slots = profile.batch_limit - len(taken)
        fitting = _select_fitting(group, slots, free_bytes)
        is_split = len(fitting) < len(group)
        if taken and is_split and _must_not_split(group, profile):
            continue
        taken += fitting
        free_bytes -= sum(waiting.piece.result_bytes for waiting in fitting)
    return taken


def _group_by_stage(
    candidates: Iterable[WaitingPiece],
) -> list[list[WaitingPiece]]:
    """Group pieces by stage, in the order of each stage's first piece."""
    groups: dict[int, list[WaitingPiece]] = {}
    for waiting in candidates:
        groups.setdefault(id(waiting.stage_run), []).append(waiting)
    return list(groups.values())


def _select_fitting(
    group: Sequence[WaitingPiece],
    slots: int,
    free_bytes: float,
) -> list[WaitingPiece]:
    fitting: list[WaitingPiece] = []
    for waiting in group:
        needed_bytes = waiting.piece.result_bytes
        if len(fitting) < slots and needed_bytes <= free_bytes:
            free_bytes -= needed_bytes
            fitting.append(waiting)
    return fitting


def _must_not_split(
    group: Sequence[WaitingPiece],
    profile: PieceProfile,
) -> bool:
    first = group[0]
    if first.stage_run.is_started or len(group) > profile.batch_limit:
        return False
    call_bytes = first.piece.result_bytes * profile.batch_limit
    return (
        call_bytes * global_settings.WHOLE_STAGE_CALLS
        > profile.result_space_bytes
    )
