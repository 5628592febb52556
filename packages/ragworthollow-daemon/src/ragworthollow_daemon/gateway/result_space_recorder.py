"""Account for the space that the results of calls occupy."""

from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces import (
    PieceCall,
    PieceOutcome,
    PieceResult,
    PieceScheduler,
    StoredResult,
    WaitingPiece,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext


class ResultSpaceRecorder:
    """
    Record the space that the results of finished calls occupy.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._started_ms = get_monotonic_ms()

    def record_results(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        results: Sequence[PieceResult],
    ) -> None:
        """
        Record the results of a call.

        If the instance had no space for some of the pieces, the free space
        that it was assumed to have beyond the results it did store must be
        occupied by untracked results, besides those that were known of.
        """
        expires_ms = get_monotonic_ms() + self._get_result_ttl_ms(pool)
        stored_results = [
            _make_stored_result(call, waiting, result.handle, expires_ms)
            for waiting, result in zip(call.pieces, results, strict=True)
            if result.outcome is PieceOutcome.done
        ]
        for stored_result in stored_results:
            scheduler.result_space.add(stored_result)
        if any(result.outcome is PieceOutcome.no_room for result in results):
            stored_bytes = sum(result.result_bytes for result in stored_results)
            scheduler.result_space.record_untracked(
                call.instance.instance,
                int(
                    call.untracked_bytes
                    + max(0, call.free_bytes - stored_bytes)
                ),
                self._get_untracked_expiry_ms(pool),
            )

    def record_lost(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
    ) -> None:
        """Account for results whose handles were lost with the response."""
        expires_ms = get_monotonic_ms() + self._get_result_ttl_ms(pool)
        for number, waiting in enumerate(call.pieces):
            handle = f'{call.instance.instance}/{call.started_ms}/{number}'
            scheduler.result_space.add(
                _make_stored_result(call, waiting, handle, expires_ms)
            )

    def _get_untracked_expiry_ms(self, pool: str) -> float:
        """
        Return until when untracked results are assumed to occupy space.

        Those of gateways that were killed together with this one stay until
        they expire; others are released after a short time.
        """
        return max(
            get_monotonic_ms() + global_settings.RESULT_SPACE_RETRY_MS,
            self._started_ms + self._get_result_ttl_ms(pool),
        )

    def _get_result_ttl_ms(self, pool: str) -> float:
        pool_config = self._context.route_table.pools[pool]
        return pool_config.pieces.result_ttl_ms


def _make_stored_result(
    call: PieceCall,
    waiting: WaitingPiece,
    handle: str,
    expires_ms: float,
) -> StoredResult:
    return StoredResult(
        handle=handle,
        instance=call.instance.instance,
        result_bytes=waiting.piece.result_bytes,
        expires_ms=expires_ms,
        requester=waiting.piece.requester,
    )
