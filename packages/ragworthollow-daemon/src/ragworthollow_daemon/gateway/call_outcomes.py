"""Decide what follows when a call for pieces ends, or is slow."""

from collections.abc import Callable, Sequence

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import (
    PieceCall,
    PieceGate,
    PieceOutcome,
    PieceResult,
    WaitingPiece,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.call_space import CallSpace
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'
_FAILED = PieceResult(outcome=PieceOutcome.failed)

Found = tuple[PieceResult, ...]


class CallOutcomes:
    """
    Hand results over, and have the other pieces of a call made again.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    free : callable
        Gives results up that nobody wants.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        free: Callable[[str, Sequence[str]], None],
    ) -> None:
        self._context = context
        self._free = free
        self._space = CallSpace(context=context)

    def note_results(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        found: Found,
    ) -> None:
        """Take the answer to a call."""
        now_ms = get_monotonic_ms()
        self._note_trust(call, now_ms)
        self._context.metrics.latency.record(
            f'pieces/{pool}',
            now_ms - call.started_ms,
        )
        self._space.note_results(pool, gate, call, found)
        for waiting, piece_result in zip(call.waiting, found, strict=True):
            self._settle(pool, gate, call, waiting, piece_result)
        self._log(pool, gate, call, 'pieces_done', outcomes=_count(found))

    def _note_trust(self, call: PieceCall, now_ms: float) -> None:
        """
        Trust an instance again, unless the call was a slow one.

        An instance at a fifth of its speed ends every call well.  Trusted for
        that, it got the next full call as soon as it had ended one, and every
        piece of it missed its objective.
        """
        took_ms = now_ms - call.started_ms
        patience_ms = call.expected_ms * global_settings.PIECE_CALL_PATIENCE
        if took_ms <= patience_ms:
            self._context.book.note_success(call.instance.instance)

    async def settle(self, call: PieceCall, failure: UpstreamFailure) -> None:
        """
        Wait for the crash check of the instance of a failed call.

        Pieces that are queued again before it could crash the next instance.
        """
        if failure.reason is not Reason.connection_lost:
            return
        self._context.quarantine.note_break(
            call.instance,
            {
                waiting.piece.fingerprint
                for waiting in call.waiting
                if waiting.piece.fingerprint
            },
        )
        await self._context.quarantine.settle(call.instance)

    def note_failure(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        failure: UpstreamFailure,
    ) -> None:
        """
        Take it that a call has ended without an answer.

        A lost answer says nothing of its instance, but that its results take
        space there under names that nobody knows.
        """
        self._note_attempt(pool, gate, call, failure)
        if failure.reason is Reason.answer_lost:
            self._space.note_lost(pool, gate, call)
        else:
            self._context.suspect(call.instance)
        is_free = failure.reason is Reason.connect_failed
        for waiting in call.waiting:
            if not waiting.is_wanted or waiting in call.passed_on:
                continue
            if is_free:
                gate.resubmit(
                    waiting,
                    call.instance.instance,
                    self._context.directory.get_pool(pool),
                )
            else:
                self._retry(pool, gate, call, waiting, _FAILED)

    def note_slow(self, pool: str, gate: PieceGate, call: PieceCall) -> None:
        """
        Try the pieces of a call that is slow elsewhere as well.

        Those that the retry budget does not cover keep waiting for the call:
        it is worked on, and most slow calls end with their results.
        """
        failure = UpstreamFailure(
            outcome=Outcome.unknown,
            reason=Reason.attempt_timeout,
            step=_STEP,
            peer=call.instance.instance,
            detail='slower than expected; left running',
        )
        self._context.suspect(call.instance)
        self._note_attempt(pool, gate, call, failure)
        for waiting in call.waiting:
            if not waiting.is_wanted or not self._may_be_made_again(waiting):
                continue
            if self._context.get_budget(pool).spend():
                self._context.metrics.count_retry(pool, 'slow_piece')
                call.passed_on.add(waiting)
                gate.resubmit(
                    waiting,
                    call.instance.instance,
                    self._context.directory.get_pool(pool),
                )

    def _settle(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        waiting: WaitingPiece,
        piece_result: PieceResult,
    ) -> None:
        if not waiting.is_wanted:
            if piece_result.handle:
                self._free(pool, (piece_result.handle,))
            return
        if piece_result.outcome is PieceOutcome.done:
            waiting.settle(piece_result)
        elif waiting in call.passed_on:
            # The other call that it is part of decides.
            return
        elif piece_result.outcome is PieceOutcome.no_room:
            # It was not worked on: no attempt, but an arrival to be paid.
            waiting.attempts -= 1
            self._retry(pool, gate, call, waiting, piece_result)
        elif piece_result.outcome is PieceOutcome.failed:
            self._retry(pool, gate, call, waiting, piece_result)
        else:
            waiting.settle(piece_result)

    def _retry(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        waiting: WaitingPiece,
        last: PieceResult,
    ) -> None:
        """Queue a piece again where attempts and budget allow it."""
        may_follow = self._may_be_made_again(waiting)
        if may_follow and self._context.get_budget(pool).spend():
            self._context.metrics.count_retry(pool, 'piece')
            gate.resubmit(
                waiting,
                call.instance.instance,
                self._context.directory.get_pool(pool),
            )
            return
        if may_follow:
            self._context.metrics.count_retry(pool, 'budget_spent')
        waiting.settle(last)

    def _may_be_made_again(self, waiting: WaitingPiece) -> bool:
        if self._context.quarantine.get_left_ms(waiting.piece.fingerprint):
            return False
        return waiting.attempts + 1 < global_settings.PIECE_ATTEMPTS

    def _note_attempt(
        self,
        pool: str,
        gate: PieceGate,
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
            gate,
            call,
            'piece_call_failed',
            reason=failure.reason,
            detail=failure.detail,
        )

    def _log(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        event: str,
        **fields: object,
    ) -> None:
        log_event(
            event,
            step=_STEP,
            pool=pool,
            peer=call.instance.instance,
            requests=sorted({one.piece.request_id for one in call.waiting}),
            pieces=len(call.waiting),
            failure_domain=call.instance.failure_domain,
            near=sum(
                waiting.piece.failure_domain == call.instance.failure_domain
                for waiting in call.waiting
            ),
            limit=call.limit,
            left=call.left,
            queued=gate.get_depth(),
            expected_ms=round(call.expected_ms),
            took_ms=round(get_monotonic_ms() - call.started_ms),
            room_bytes=gate.room.get_used(get_monotonic_ms()).get(
                call.instance.instance,
            ),
            **fields,
        )


def _count(found: Found) -> dict[str, int]:
    counts: dict[str, int] = {}
    for one in found:
        counts[one.outcome] = counts.get(one.outcome, 0) + 1
    return counts
