"""Release the inputs of stages as soon as instances have read them."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from ragworthollow.conf import global_settings
from ragworthollow.pieces import PieceCall, StageRun, WaitingPiece
from ragworthollow.utils import get_monotonic_ms

ReleaseInputs = Callable[[str, Sequence[str]], None]


class InputReleases:
    """
    Release inputs while the calls that have read them are still in progress.

    An instance reads all inputs when a call begins.  Kept until the call ends,
    they take a third of the space of a pool that is short of it.  A piece that
    fails afterwards finds its inputs gone, and its request is refused as not
    run.

    Parameters
    ----------
    release : callable
        Releases results, given the pool that produced them and their handles.
    """

    def __init__(self, *, release: ReleaseInputs) -> None:
        self._release = release

    @contextmanager
    def releasing(self, call: PieceCall) -> Iterator[None]:
        """Release inputs a short time after the start of a call."""
        if not any(waiting.piece.inputs_pool for waiting in call.pieces):
            yield
            return
        timer = asyncio.get_running_loop().call_later(
            global_settings.STAGE_INPUTS_READ_MS / 1000,
            self._release_read_inputs,
            call,
        )
        try:
            yield
        finally:
            timer.cancel()

    def _release_read_inputs(self, call: PieceCall) -> None:
        now_ms = get_monotonic_ms()
        for waiting in call.pieces:
            if can_release_inputs(waiting, now_ms):
                waiting.stage_run.are_inputs_released = True
                self._release(waiting.piece.inputs_pool, waiting.piece.inputs)


def can_release_inputs(waiting: WaitingPiece, now_ms: float) -> bool:
    """Return whether all pieces of a piece's stage have read their inputs."""
    stage_run: StageRun = waiting.stage_run
    if not waiting.piece.inputs_pool or stage_run.are_inputs_released:
        return False
    read_ms = stage_run.last_started_ms + global_settings.STAGE_INPUTS_READ_MS
    return not stage_run.unstarted_pieces and now_ms >= read_ms - 1
