"""Host the gates of pools and send their calls."""

import asyncio
from collections.abc import Sequence

from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import (
    Piece,
    PieceCall,
    PieceGate,
    PieceOutcome,
    PieceResult,
    StageRun,
    WaitingPiece,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.gate_book import GateBook
from ragworthollow_daemon.gateway.piece_call import free_results, send_call
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'
_OK = 200
_JSON = 'application/json'
_RETRIED = frozenset((PieceOutcome.no_room, PieceOutcome.failed))

Found = tuple[PieceResult, ...]


class PieceService:
    """
    Fill calls across all requests whose pieces come here.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._gates = GateBook(context=context)

    async def run(self, pool: str, pieces: Sequence[Piece]) -> Found:
        """
        Have pieces done.

        Parameters
        ----------
        pool : str
            Pool that does them.
        pieces : sequence of Piece
            Of one stage of one request.

        Returns
        -------
        tuple of PieceResult
            In the order of the pieces.
        """
        refused = self._gates.refuse(pool, pieces)
        if refused is not None:
            return refused
        self._context.get_budget(pool).earn()
        loop = asyncio.get_running_loop()
        gate = self._gates.get(pool)
        stage_run = StageRun()
        futures = []
        submitted = []
        for piece in pieces:
            future = loop.create_future()
            waiting = WaitingPiece(
                piece=piece,
                arrived_ms=get_monotonic_ms(),
                on_result=_make_settler(future),
                stage_run=stage_run,
            )
            futures.append(future)
            submitted.append(waiting)
        for waiting in submitted:
            gate.submit(waiting)
        self.advance(pool)
        try:
            return tuple(await asyncio.gather(*futures))
        except asyncio.CancelledError:
            # Whoever asked has left: results made so far would take their
            # makers' space until they expire.
            self.free(_get_handles(futures))
            raise
        finally:
            for waiting in submitted:
                waiting.is_wanted = False

    def get_waits_ms(self) -> dict[str, list[float]]:
        """Return the expected waits by pool hosted here and priority."""
        return self._gates.get_waits_ms()

    async def tick(self) -> None:
        """Advance every gate now and then, until cancelled."""
        while True:
            await asyncio.sleep(global_settings.GATE_TICK_MS / 1000)
            self.advance_all()

    def advance_all(self) -> None:
        """Advance every gate."""
        for pool in self._gates.get_pools():
            self.advance(pool)

    def advance(self, pool: str) -> None:
        """Send the calls that a gate wants sent now."""
        profile = self._gates.find_profile(pool)
        if profile is None:
            return
        gate = self._gates.get(pool)
        calls = gate.plan(
            profile,
            self._context.directory.get_pool(pool),
            self._context.book,
            get_monotonic_ms(),
        )
        for call in calls:
            self._context.spawn(self._send(pool, gate, call))

    def free(self, handles: Sequence[str]) -> None:
        """Give results up that gates hosted here had made."""
        by_maker: dict[str, list[str]] = {}
        for handle in handles:
            maker = self._gates.free(handle)
            if maker:
                by_maker.setdefault(maker, []).append(handle)
        for maker, given_up in by_maker.items():
            self._context.spawn(
                free_results(self._context, maker, tuple(given_up)),
            )

    async def _send(self, pool: str, gate: PieceGate, call: PieceCall) -> None:
        """
        Make one call and see it to its end.

        A call that is slow is not cut: its instance would go on working on
        it, and its results would take space there under names that nobody
        knows.  Its pieces go to other instances meanwhile; what it makes
        after all is used if it comes first, and freed if not.
        """
        record = self._context.book.get(call.instance.instance)
        record.in_flight += 1
        sending = asyncio.ensure_future(send_call(self._context, call))
        try:
            await self._watch(pool, gate, call, sending)
            answered = await sending
        finally:
            record.in_flight -= 1
            gate.finish(call)
        if isinstance(answered, Err):
            self._note_failure(pool, gate, call, answered.err_value)
        else:
            self._note_results(pool, gate, call, answered.ok_value)
        self.advance(pool)

    async def _watch(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        sending: asyncio.Future,
    ) -> None:
        """Follow a call up to its end, or until it is slow."""
        patience_ms = call.expected_ms * global_settings.PIECE_CALL_PATIENCE
        await asyncio.wait({sending}, timeout=patience_ms / 1000)
        if not sending.done():
            self._note_failure(pool, gate, call, _make_slow(call))
            self.advance(pool)

    def _note_results(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        found: Found,
    ) -> None:
        now_ms = get_monotonic_ms()
        self._context.book.note_success(call.instance.instance)
        self._context.metrics.latency.record(
            f'pieces/{pool}',
            now_ms - call.started_ms,
        )
        described = self._context.table.pools[pool]
        until_ms = now_ms + described.pieces.kept_ms
        for waiting, piece_result in zip(call.waiting, found, strict=True):
            if piece_result.outcome is PieceOutcome.no_room:
                gate.room.note_full(
                    call.instance.instance,
                    now_ms + global_settings.ROOM_RETRY_MS,
                )
            if piece_result.outcome is PieceOutcome.done:
                gate.room.keep(
                    handle=piece_result.handle,
                    instance=call.instance.instance,
                    result_bytes=waiting.piece.result_bytes,
                    until_ms=until_ms,
                )
            self._settle(pool, gate, call, waiting, piece_result)
        self._log(pool, call, 'pieces_done', outcomes=_count(found))

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
                self.free((piece_result.handle,))
            return
        if piece_result.outcome in _RETRIED and self._may_retry(pool, waiting):
            self._resubmit(pool, gate, call, waiting)
            return
        waiting.settle(piece_result)

    def _note_failure(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        failure: UpstreamFailure,
    ) -> None:
        self._context.book.note_failure(
            call.instance.instance,
            get_monotonic_ms(),
        )
        self._context.metrics.count_attempt(
            pool,
            failure.outcome,
            failure.reason,
        )
        self._log(
            pool,
            call,
            'piece_call_failed',
            reason=failure.reason,
            detail=failure.detail,
        )
        is_free = failure.reason is Reason.connect_failed
        for waiting in call.waiting:
            if not waiting.is_wanted:
                continue
            if is_free or self._may_retry(pool, waiting):
                self._resubmit(pool, gate, call, waiting)
            else:
                waiting.settle(PieceResult(outcome=PieceOutcome.failed))

    def _resubmit(
        self,
        pool: str,
        gate: PieceGate,
        call: PieceCall,
        waiting: WaitingPiece,
    ) -> None:
        gate.resubmit(
            waiting,
            call.instance.instance,
            self._context.directory.get_pool(pool),
        )

    def _may_retry(self, pool: str, waiting: WaitingPiece) -> bool:
        if waiting.attempts + 1 >= global_settings.PIECE_ATTEMPTS:
            return False
        may_spend = self._context.get_budget(pool).spend()
        reason = 'piece' if may_spend else 'budget_spent'
        self._context.metrics.count_retry(pool, reason)
        return may_spend

    def _log(
        self,
        pool: str,
        call: PieceCall,
        event: str,
        **fields: object,
    ) -> None:
        gate = self._gates.get(pool)
        log_event(
            event,
            step=_STEP,
            pool=pool,
            peer=call.instance.instance,
            requests=sorted({one.piece.request_id for one in call.waiting}),
            pieces=len(call.waiting),
            queued=gate.get_depth(),
            expected_ms=round(call.expected_ms),
            took_ms=round(get_monotonic_ms() - call.started_ms),
            room_bytes=gate.room.get_used(get_monotonic_ms()).get(
                call.instance.instance,
            ),
            **fields,
        )


def _make_settler(future: asyncio.Future[PieceResult]):
    def settle(piece_result: PieceResult) -> None:
        if not future.done():
            future.set_result(piece_result)

    return settle


def _make_slow(call: PieceCall) -> UpstreamFailure:
    return UpstreamFailure(
        outcome=Outcome.unknown,
        reason=Reason.attempt_timeout,
        step=_STEP,
        peer=call.instance.instance,
        detail='slower than expected; left running',
    )


def _get_handles(futures: Sequence[asyncio.Future[PieceResult]]) -> list[str]:
    return [
        future.result().handle
        for future in futures
        if future.done() and not future.cancelled() and future.result().handle
    ]


def _count(found: Found) -> dict[str, int]:
    counts: dict[str, int] = {}
    for one in found:
        counts[one.outcome] = counts.get(one.outcome, 0) + 1
    return counts
