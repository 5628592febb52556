"""Handle the end of a call for pieces, or a slow one."""

from collections.abc import Callable, Sequence

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import (
    Piece,
    PieceCall,
    PieceOutcome,
    PieceResult,
    PieceScheduler,
    WaitingPiece,
)
from ragworthollow.quarantine import RunningRequest, make_key_fingerprint
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.result_space_recorder import (
    ResultSpaceRecorder,
)
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'
_FAILED_RESULT = PieceResult(outcome=PieceOutcome.failed)

PieceResults = tuple[PieceResult, ...]


class CallResultHandler:
    """
    Deliver the results of calls, and retry pieces without a result.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    release : callable
        Releases results that nobody awaits, given a pool and their handles.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        release: Callable[[str, Sequence[str]], None],
    ) -> None:
        self._context = context
        self._release = release
        self._space_recorder = ResultSpaceRecorder(context=context)

    def record_results(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        results: PieceResults,
    ) -> None:
        """Record the results of a call and resolve its pieces."""
        now_ms = get_monotonic_ms()
        self._record_success_unless_slow(call, now_ms)
        self._context.metrics.latency.record(
            f'pieces/{pool}',
            now_ms - call.started_ms,
        )
        self._space_recorder.record_results(pool, scheduler, call, results)
        for waiting, piece_result in zip(call.pieces, results, strict=True):
            self._resolve(pool, scheduler, call, waiting, piece_result)
        self._log(
            pool,
            scheduler,
            call,
            'pieces_done',
            outcomes=_count_outcomes(results),
        )

    def _record_success_unless_slow(
        self, call: PieceCall, now_ms: float
    ) -> None:
        """
        Clear the suspicion against an instance unless the call was slow.

        An instance at a fifth of its speed completes every call.  When that
        sufficed to trust it, it got another full call as soon as it had
        completed one, and all pieces of that call missed their objectives.
        """
        duration_ms = now_ms - call.started_ms
        slow_after_ms = (
            call.expected_ms * global_settings.PIECE_CALL_SLOW_FACTOR
        )
        if duration_ms <= slow_after_ms:
            self._context.load_tracker.record_success(call.instance.instance)

    async def wait_for_crash_check(
        self, call: PieceCall, failure: UpstreamFailure
    ) -> None:
        """
        Wait for the crash check of the instance of a failed call.

        A piece that crashed the instance would crash the next one if it were
        queued again before the check has ended.
        """
        if failure.reason is not Reason.connection_lost:
            return
        self._context.quarantine.record_connection_loss(
            call.instance,
            {
                _make_running_request(waiting.piece)
                for waiting in call.pieces
                if waiting.piece.fingerprint
            },
        )
        await self._context.quarantine.wait_for_crash_check(call.instance)

    def record_failure(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        failure: UpstreamFailure,
    ) -> None:
        """
        Record that a call has ended without a response.

        A lost response is no evidence against its instance.  However, the
        results still take space there, under handles that are not known here.
        """
        self._record_failed_call(pool, scheduler, call, failure)
        if failure.reason is Reason.answer_lost:
            self._space_recorder.record_lost(pool, scheduler, call)
        else:
            self._context.mark_suspect(call.instance)
        # Nothing was sent, so the retry is not charged to the retry budget.
        is_budget_exempt = failure.reason is Reason.connect_failed
        for waiting in call.pieces:
            if not waiting.is_awaited or waiting in call.hedged:
                continue
            if is_budget_exempt:
                scheduler.resubmit(
                    waiting,
                    call.instance.instance,
                    self._context.directory.get_pool(pool),
                )
            else:
                self._retry(pool, scheduler, call, waiting, _FAILED_RESULT)

    def record_slow_call(
        self, pool: str, scheduler: PieceScheduler, call: PieceCall
    ) -> None:
        """
        Hedge the pieces of a slow call at other instances.

        Pieces that the retry budget does not cover keep waiting for the call:
        it is still in progress, and most slow calls end with their results.
        """
        failure = UpstreamFailure(
            outcome=Outcome.unknown,
            reason=Reason.attempt_timeout,
            step=_STEP,
            peer=call.instance.instance,
            detail='slower than expected; left running',
        )
        self._context.mark_suspect(call.instance)
        self._record_failed_call(pool, scheduler, call, failure)
        for waiting in call.pieces:
            if not waiting.is_awaited or not self._may_retry(waiting):
                continue
            if self._context.get_budget(pool).withdraw():
                self._context.metrics.count_retry(pool, 'slow_piece')
                call.hedged.add(waiting)
                scheduler.resubmit(
                    waiting,
                    call.instance.instance,
                    self._context.directory.get_pool(pool),
                )

    def _resolve(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        waiting: WaitingPiece,
        piece_result: PieceResult,
    ) -> None:
        if not waiting.is_awaited:
            if piece_result.handle:
                self._release(pool, (piece_result.handle,))
            return
        if piece_result.outcome is PieceOutcome.done:
            waiting.resolve(piece_result)
        elif waiting in call.hedged:
            # The other call that contains the piece decides its outcome.
            return
        elif piece_result.outcome is PieceOutcome.no_room:
            # The piece did not run, so this does not count as an attempt.  It
            # arrives at an instance once more, which the retry budget pays.
            waiting.attempts -= 1
            self._retry(pool, scheduler, call, waiting, piece_result)
        elif piece_result.outcome is PieceOutcome.failed:
            self._retry(pool, scheduler, call, waiting, piece_result)
        else:
            waiting.resolve(piece_result)

    def _retry(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        waiting: WaitingPiece,
        last_result: PieceResult,
    ) -> None:
        """Queue a piece again if its attempts and the retry budget allow it."""
        may_retry = self._may_retry(waiting)
        if may_retry and self._context.get_budget(pool).withdraw():
            self._context.metrics.count_retry(pool, 'piece')
            scheduler.resubmit(
                waiting,
                call.instance.instance,
                self._context.directory.get_pool(pool),
            )
            return
        if may_retry:
            self._context.metrics.count_retry(pool, 'budget_spent')
        waiting.resolve(last_result)

    def _may_retry(self, waiting: WaitingPiece) -> bool:
        if self._context.quarantine.get_remaining_ms(
            _make_running_request(waiting.piece).get_fingerprints()
        ):
            return False
        return waiting.attempts + 1 < global_settings.PIECE_ATTEMPTS

    def _record_failed_call(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        failure: UpstreamFailure,
    ) -> None:
        self._context.metrics.count_attempt(
            pool,
            failure.outcome,
            failure.reason,
        )
        self._log(
            pool,
            scheduler,
            call,
            'piece_call_failed',
            reason=failure.reason,
            detail=failure.detail,
        )

    def _log(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
        event: str,
        **fields: object,
    ) -> None:
        log_event(
            event,
            step=_STEP,
            pool=pool,
            peer=call.instance.instance,
            requests=sorted(
                {member.piece.request_id for member in call.pieces}
            ),
            pieces=len(call.pieces),
            failure_domain=call.instance.failure_domain,
            near=sum(
                waiting.piece.failure_domain == call.instance.failure_domain
                for waiting in call.pieces
            ),
            limit=call.limit,
            left=call.remaining_pieces,
            queued=scheduler.get_depth(),
            expected_ms=round(call.expected_ms),
            took_ms=round(get_monotonic_ms() - call.started_ms),
            room_bytes=scheduler.result_space.get_used_bytes(
                get_monotonic_ms()
            ).get(
                call.instance.instance,
            ),
            **fields,
        )


def _count_outcomes(results: PieceResults) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in results:
        counts[result.outcome] = counts.get(result.outcome, 0) + 1
    return counts


def _make_running_request(piece: Piece) -> RunningRequest:
    """Make the request of a piece, for the evidence of a crash."""
    return RunningRequest(
        fingerprint=piece.fingerprint,
        part_fingerprints=(
            (make_key_fingerprint(piece.key),) if piece.key else ()
        ),
    )
