"""Select the pieces of one call."""

from collections.abc import Iterable, Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.routes.upstream_pool import PieceProfile


def select_pieces(
    wanted: Sequence[WaitingPiece],
    profile: PieceProfile,
    free_bytes: float,
) -> list[WaitingPiece]:
    """
    Fill a call without more results than there is space for.

    A stage whose results are large against the space is not begun by halves:
    its finished pieces would take space that others could work in, for as
    long as the rest waits for another call.  The most urgent one is begun all
    the same: small ones would overtake it for ever.

    Parameters
    ----------
    wanted : sequence of WaitingPiece
        In the order in which they are to be taken.
    profile : PieceProfile
        Of the pool.
    free_bytes : float
        Space for results at the instance.

    Returns
    -------
    list of WaitingPiece
        Pieces of the call, in order.
    """
    taken: list[WaitingPiece] = []
    for group in _group(wanted):
        slots = profile.batch_limit - len(taken)
        fitting = _fit(group, slots, free_bytes)
        is_split = len(fitting) < len(group)
        if taken and is_split and _must_stay_whole(group, profile):
            continue
        taken += fitting
        free_bytes -= sum(one.piece.result_bytes for one in fitting)
    return taken


def _group(wanted: Iterable[WaitingPiece]) -> list[list[WaitingPiece]]:
    """Bring the pieces of each stage together, where its first one stands."""
    groups: dict[int, list[WaitingPiece]] = {}
    for waiting in wanted:
        groups.setdefault(id(waiting.stage_run), []).append(waiting)
    return list(groups.values())


def _fit(
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


def _must_stay_whole(
    group: Sequence[WaitingPiece],
    profile: PieceProfile,
) -> bool:
    first = group[0]
    if first.stage_run.is_begun or len(group) > profile.batch_limit:
        return False
    call_bytes = first.piece.result_bytes * profile.batch_limit
    return call_bytes * global_settings.WHOLE_STAGE_CALLS > profile.room_bytes
