"""Admit stage calls and run them on the upstream."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Err

from ragworthollow.admission import Ticket
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport import StageAnswer, StageCall
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.slot_queue import SlotQueue
from ragworthollow_daemon.sidecar.upstream_client import Emit, UpstreamClient
from ragworthollow_daemon.sidecar.upstream_result import UpstreamResult

Execute = Callable[[], Awaitable[StageAnswer]]


class StageExecutor:
    """
    Run stage calls on the upstream, within its concurrency limit.

    All calls of the sidecar to the upstream go through this class.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    slots : SlotQueue
        Queue for the concurrency slots of the upstream.
    upstream : UpstreamClient
        Client of the upstream.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        slots: SlotQueue,
        upstream: UpstreamClient,
    ) -> None:
        self._context = context
        self._slots = slots
        self._upstream = upstream
        self._name = context.settings.instance

    def check(self, call: StageCall) -> StageAnswer | None:
        """
        Refuse a call that must not be queued.

        Parameters
        ----------
        call : StageCall
            Call as received.

        Returns
        -------
        StageAnswer or None
            Refusal, or None if the call may wait for a slot.
        """
        sidecar = self._context.settings.sidecar
        reason = None
        if self._context.drain.is_draining:
            reason = Reason.leaving
        elif sidecar is not None and call.pool != sidecar.pool:
            reason = Reason.no_instance
        elif not self._context.store.generation:
            reason = Reason.not_configured
        elif call.remaining_ms <= 0:
            reason = Reason.deadline_exceeded
        if reason is None:
            return None
        return self.refuse_unrun(call, reason)

    async def run(self, call: StageCall, emit: Emit) -> StageAnswer:
        """
        Wait for a slot, run the call and release the slot.

        Parameters
        ----------
        call : StageCall
            Call for which `check` has returned None.
        emit : callable
            Receives each token of a stream.

        Returns
        -------
        StageAnswer
            Result of the attempt.
        """
        deadline_ms = get_monotonic_ms() + call.remaining_ms
        ticket = self._slots.make_ticket(
            organisation=call.organisation,
            deadline_ms=deadline_ms,
            worth=call.worth,
            cost_ms=call.cost_ms,
        )
        granted = await self._slots.acquire(ticket)
        if isinstance(granted, Err):
            refusal = granted.err_value
            return self.refuse_unrun(
                call,
                refusal.reason,
                retry_after_ms=refusal.retry_after_ms,
            )
        started_ms = get_monotonic_ms()
        try:
            result = await self._upstream.call(
                call,
                emit,
                deadline_ms - started_ms,
            )
        except BaseException:
            self._release(ticket, call, Outcome.unknown, started_ms)
            raise
        busy_ms = self._release(ticket, call, result.outcome, started_ms)
        return self._make_answer(call, result, busy_ms)

    def refuse_unrun(
        self,
        call: StageCall,
        reason: Reason,
        *,
        detail: str = '',
        retry_after_ms: int | None = None,
    ) -> StageAnswer:
        """Refuse a call that has not been sent to the upstream."""
        return refuse(
            call,
            outcome=Outcome.not_run,
            reason=reason,
            peer=self._name,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )

    def finalize_answer(self, answer: StageAnswer) -> StageAnswer:
        """Add the load and the generation to an answer and count it."""
        refusal = answer.refusal
        self._context.metrics.count_attempt(
            answer.stage,
            answer.outcome,
            refusal.reason if refusal else None,
        )
        return msgspec.structs.replace(
            answer,
            load=self._slots.get_load(leaving=self._context.drain.is_draining),
            generation=self._context.store.generation,
        )

    def _release(
        self,
        ticket: Ticket,
        call: StageCall,
        outcome: Outcome,
        started_ms: float,
    ) -> float:
        busy_ms = get_monotonic_ms() - started_ms
        is_done = outcome is Outcome.done
        self._slots.release(ticket, busy_ms, is_done=is_done)
        self._context.metrics.latency.record(call.stage, busy_ms)
        self._context.metrics.add_busy_ms(call.stage, outcome, busy_ms)
        return busy_ms

    def _make_answer(
        self,
        call: StageCall,
        result: UpstreamResult,
        busy_ms: float,
    ) -> StageAnswer:
        if result.outcome is Outcome.done:
            return StageAnswer(
                request_id=call.request_id,
                stage=call.stage,
                attempt=call.attempt,
                outcome=Outcome.done,
                output=result.output,
                busy_ms=busy_ms,
            )
        answer = refuse(
            call,
            outcome=result.outcome,
            reason=result.reason or Reason.upstream_error,
            peer=self._name,
            detail=result.detail,
        )
        return msgspec.structs.replace(answer, busy_ms=busy_ms)
