"""Simulate an instance of a stage pool."""

import asyncio
import itertools
import random
from collections.abc import Mapping
from dataclasses import dataclass

from measure.fleet_model.load_sheet import StagePoolSheet
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult

_MILLISECONDS = 1000
# Network throughput between instances in bytes per millisecond (10 Gbit/s).
_LINK_BYTES_PER_MS = 1_250_000
# Share of pieces that fail without an injected fault; 8 of 3,800 did so in the
# users' benchmark.
_FAILURE_SHARE = 0.002
# Relative standard deviation of the time of a call.
_JITTER = 0.05


class InstanceLost(Exception):
    """Raised when an instance is lost."""


@dataclass(kw_only=True, slots=True)
class _StoredResult:
    result_bytes: int
    expires_ms: float


class StageInstance:
    """
    Run one call at a time and store results while there is space.

    Parameters
    ----------
    name : str
        Identifier, also used as its address in result handles.
    sheet : StagePoolSheet
        Speed and space of the instances of the pool.
    work_shares : mapping of int to float
        Time of a piece as a fraction of `piece_ms`, by size of its result.
    seed : int
        Seed of random failures and jitter.
    """

    def __init__(
        self,
        *,
        name: str,
        sheet: StagePoolSheet,
        work_shares: Mapping[int, float],
        seed: int,
    ) -> None:
        self.name = name
        self.slow_factor: float = 1
        self.is_lost = False
        self.busy_ms: float = 0
        self.pieces_completed = 0
        # Start and duration of each call, in ms.
        self.calls: list[tuple[float, float]] = []
        self._sheet = sheet
        self._work_shares = work_shares
        self._rng = random.Random(f'{name}/{seed}')  # noqa: S311
        self._work_lock = asyncio.Lock()
        self._results: dict[str, _StoredResult] = {}
        self._numbers = itertools.count()

    async def run(
        self,
        pieces: tuple[Piece, ...],
        instances: Mapping[str, 'StageInstance'],
    ) -> tuple[PieceResult, ...]:
        """
        Run the pieces of a call after the earlier calls have ended.

        Parameters
        ----------
        pieces : tuple of Piece
            Pieces of the call.
        instances : mapping of str to StageInstance
            All instances by address, to read inputs from.

        Raises
        ------
        InstanceLost
            The instance is lost, or was lost during the call.
        """
        if self.is_lost:
            raise InstanceLost(self.name)
        async with self._work_lock:
            accepted = self._reserve(pieces)
            work_ms = self._sheet.call_ms + sum(
                self._sheet.piece_ms
                * self._work_shares[accepted_piece.result_bytes]
                for accepted_piece in accepted
            )
            # Inputs are read when the call starts and not needed afterwards.
            missing_input = [
                accepted_piece
                for accepted_piece in accepted
                if _is_input_missing(accepted_piece, instances)
            ]
            read_bytes = sum(
                instances[handle.partition('/')[0]].get_bytes(handle)
                for piece in accepted
                for handle in piece.inputs
            )
            work_ms += read_bytes / _LINK_BYTES_PER_MS
            work_ms *= self.slow_factor * self._rng.gauss(1, _JITTER)
            self.busy_ms += work_ms
            self.calls.append((_get_ms(), work_ms))
            await asyncio.sleep(work_ms / _MILLISECONDS)
        if self.is_lost:
            raise InstanceLost(self.name)
        return tuple(
            self._make_result(piece, accepted, missing_input)
            for piece in pieces
        )

    def is_busy(self) -> bool | None:
        """Return whether a call is in progress; None if lost."""
        return None if self.is_lost else self._work_lock.locked()

    def release(self, handle: str) -> None:
        """Release a stored result."""
        self._results.pop(handle, None)

    def get_bytes(self, handle: str) -> int:
        """Return the size of a result; 0 if it is not stored."""
        stored = self._results.get(handle)
        return 0 if stored is None else stored.result_bytes

    def mark_lost(self) -> None:
        """Mark the instance as lost and drop all its results."""
        self.is_lost = True
        self._results.clear()

    def restore(self) -> None:
        """Return the instance to service, without results."""
        self.is_lost = False

    def _reserve(self, pieces: tuple[Piece, ...]) -> list[Piece]:
        now_ms = _get_ms()
        for handle, stored in tuple(self._results.items()):
            if stored.expires_ms <= now_ms:
                self._results.pop(handle)
        used = sum(stored.result_bytes for stored in self._results.values())
        accepted = []
        for piece in pieces:
            if used + piece.result_bytes <= self._sheet.room_bytes:
                used += piece.result_bytes
                accepted.append(piece)
        return accepted

    def _make_result(
        self,
        piece: Piece,
        accepted: list[Piece],
        missing_input: list[Piece],
    ) -> PieceResult:
        if not any(piece is candidate for candidate in accepted):
            return PieceResult(outcome=PieceOutcome.no_room)
        if any(piece is candidate for candidate in missing_input):
            return PieceResult(outcome=PieceOutcome.input_gone)
        if self._rng.random() < _FAILURE_SHARE:
            return PieceResult(outcome=PieceOutcome.failed)
        self.pieces_completed += 1
        handle = f'{self.name}/{next(self._numbers)}'
        self._results[handle] = _StoredResult(
            result_bytes=piece.result_bytes,
            expires_ms=_get_ms() + self._sheet.kept_ms,
        )
        return PieceResult(outcome=PieceOutcome.done, handle=handle)


def _is_input_missing(
    piece: Piece, instances: Mapping[str, StageInstance]
) -> bool:
    return not all(
        instances[handle.partition('/')[0]].get_bytes(handle)
        for handle in piece.inputs
    )


def _get_ms() -> float:
    return asyncio.get_running_loop().time() * _MILLISECONDS
