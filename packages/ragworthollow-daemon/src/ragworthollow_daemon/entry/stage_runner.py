"""Run one stage of a request, with retries where they are safe."""

import asyncio

from ragworthollow.conf import global_settings
from ragworthollow.configuration import StageKind
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.routing import PeerState
from ragworthollow.routing.choice import SelectionCriteria
from ragworthollow.transport import StageAnswer, StageCall, StreamLine
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.estimates import Estimates
from ragworthollow_daemon.entry.key_router import KeyRouter
from ragworthollow_daemon.entry.messages import TokenEvent
from ragworthollow_daemon.entry.pool_router import PoolRouter
from ragworthollow_daemon.entry.racing import cancel_all, wait_for_first_success
from ragworthollow_daemon.entry.retry_rules import may_retry_elsewhere
from ragworthollow_daemon.entry.stage_caller import StageCaller
from ragworthollow_daemon.entry.stage_work import StageWork
from ragworthollow_daemon.process_context import ProcessContext

_MILLISECONDS = 1000


class StageRunner:
    """
    Run stages with retries and hedging.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    pools : PoolRouter
        Router that chooses sidecars.
    keys : KeyRouter
        Router that finds the owners of keys.
    estimates : Estimates
        Estimates of stage durations, updated by each success.
    caller : StageCaller
        Caller that sends single attempts.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        pools: PoolRouter,
        keys: KeyRouter,
        estimates: Estimates,
        caller: StageCaller,
    ) -> None:
        self._context = context
        self._pools = pools
        self._keys = keys
        self._estimates = estimates
        self._caller = caller

    async def run(self, work: StageWork) -> StageAnswer:
        """
        Attempt a stage until it is done or no attempt is left.

        Parameters
        ----------
        work : StageWork
            State of the stage of one request; updated.

        Returns
        -------
        StageAnswer
            Answer of the last attempt.
        """
        pool = work.stage.pool
        self._pools.get_budget(pool).deposit()
        while True:
            answer = await self._try_once(work)
            if answer.outcome is Outcome.done:
                return answer
            if not self._may_retry(work, answer):
                return answer
            self._context.metrics.count_retry(
                work.stage.name,
                answer.refusal.reason,
            )
            if work.is_keyed_once():
                await self._keys.refresh(pool)
                await asyncio.sleep(
                    global_settings.KEYED_RETRY_MS / _MILLISECONDS,
                )

    async def _try_once(self, work: StageWork) -> StageAnswer:
        if work.request.get_remaining_ms() <= 0:
            return self._refuse(work, Reason.deadline_exceeded)
        peer = await self._choose(work)
        if peer is None:
            return self._refuse(work, Reason.no_instance)
        started_ms = get_monotonic_ms()
        if work.stage.repeatable and work.stage.kind is not StageKind.generate:
            answer = await self._hedge(work, peer)
        else:
            answer = await self._attempt(work, peer)
        now_ms = get_monotonic_ms()
        if answer.outcome is Outcome.done and not answer.replayed:
            elapsed_ms = now_ms - started_ms
            self._estimates.record(work.get_estimate_key(), elapsed_ms, now_ms)
        return answer

    async def _choose(self, work: StageWork) -> PeerState | None:
        request = work.request
        if work.is_keyed_once():
            return await self._keys.find_owner(
                work.stage.pool, request.once.key
            )
        affinity = ''
        if work.stage.kind is StageKind.generate:
            # Requests of one organisation and pipeline share a prompt
            # prefix; those of different organisations never do.
            affinity = f'{request.organisation}/{request.pipeline_name}'
        wish = SelectionCriteria(
            affinity_key=affinity, avoid=frozenset(work.tried)
        )
        stage = work.stage
        peer = self._pools.choose(stage.pool, stage.model, wish)
        if peer is None and work.tried:
            # In a small pool all instances may have been tried; one of
            # them may have recovered.
            work.tried.clear()
            await asyncio.sleep(global_settings.KEYED_RETRY_MS / _MILLISECONDS)
            peer = self._pools.choose(
                stage.pool, stage.model, SelectionCriteria()
            )
        return peer

    async def _hedge(self, work: StageWork, peer: PeerState) -> StageAnswer:
        """Run an attempt, and start a second if it takes unusually long."""
        running = {asyncio.ensure_future(self._attempt(work, peer))}
        try:
            return await self._race(work, running)
        except BaseException:
            cancel_all(running)
            raise

    async def _race(
        self,
        work: StageWork,
        running: set[asyncio.Task],
    ) -> StageAnswer:
        delay_ms = self._get_hedge_delay_ms(work)
        done, _ = await asyncio.wait(
            running,
            timeout=delay_ms / _MILLISECONDS,
        )
        second = None if done else self._start_hedge(work)
        if second is not None:
            running.add(second)
        answer = await wait_for_first_success(running)
        cancel_all(running)
        return answer

    def _start_hedge(self, work: StageWork) -> asyncio.Task | None:
        peer = self._pools.choose(
            work.stage.pool,
            work.stage.model,
            SelectionCriteria(avoid=frozenset(work.tried)),
        )
        if peer is None:
            return None
        if not self._pools.get_budget(work.stage.pool).withdraw():
            return None
        self._context.metrics.count_retry(work.stage.name, 'hedge')
        return asyncio.ensure_future(self._attempt(work, peer))

    async def _attempt(self, work: StageWork, peer: PeerState) -> StageAnswer:
        work.attempts += 1
        work.tried.add(peer.instance.instance)
        call = self._make_call(work)

        async def emit(line: StreamLine) -> None:
            self._check_offset(work, line, peer)
            work.tokens.append(line.token)
            await work.request.emit(
                TokenEvent(
                    stage=work.stage.name,
                    offset=line.offset,
                    token=line.token,
                ),
            )

        answer = await self._caller.call(
            peer,
            call,
            emit,
            self._get_timeout_ms(work),
        )
        # Record every attempt, including one that loses a race: a request
        # counts as not run only if no attempt has reached an upstream.
        work.effects.record(work.stage, answer)
        return answer

    def _check_offset(
        self,
        work: StageWork,
        line: StreamLine,
        peer: PeerState,
    ) -> None:
        self._context.monitor.require(
            holds=line.offset == len(work.tokens),
            invariant='stream.offset_without_gap',
            step=work.stage.name,
            peer=peer.instance.instance,
            detail=work.request.request_id,
        )

    def _make_call(self, work: StageWork) -> StageCall:
        request = work.request
        stage = work.stage
        is_once = not stage.repeatable
        return StageCall(
            request_id=request.request_id,
            stage=stage.name,
            attempt=work.attempts,
            remaining_ms=request.get_remaining_ms() - work.later_ms,
            organisation=request.organisation,
            pipeline=request.pipeline_name,
            kind=stage.kind,
            pool=stage.pool,
            payload=work.payload,
            operation=stage.operation,
            model=stage.model,
            adapter=stage.adapter,
            max_tokens=stage.max_tokens,
            resume_offset=len(work.tokens),
            worth=request.worth,
            cost_ms=work.cost_ms,
            once=request.once if is_once else None,
            earlier=work.earlier if is_once and request.is_keyed() else {},
        )

    def _may_retry(self, work: StageWork, answer: StageAnswer) -> bool:
        if work.request.get_remaining_ms() <= 0:
            return False
        if answer.outcome is Outcome.not_run:
            is_local = answer.refusal.peer == self._context.settings.instance
            if is_local and not work.is_keyed_once():
                # No instance was left to try. Another search would find
                # none either, and would keep the event loop from serving
                # other requests.
                return False
            return may_retry_elsewhere(work, answer.refusal.reason)
        if not work.stage.repeatable:
            return False
        if work.attempts >= global_settings.MAX_ATTEMPTS:
            return False
        return self._pools.get_budget(work.stage.pool).withdraw()

    def _get_timeout_ms(self, work: StageWork) -> float:
        remaining_ms = work.request.get_remaining_ms()
        if not work.stage.repeatable:
            return remaining_ms
        estimated_ms = self._estimates.get_ms(
            work.get_estimate_key(), get_monotonic_ms()
        )
        if work.stage.kind is StageKind.generate:
            floor_ms = global_settings.STREAM_SILENCE_FLOOR_MS
            factor = global_settings.STREAM_SILENCE_FACTOR
        else:
            floor_ms = global_settings.CALL_TIMEOUT_FLOOR_MS
            factor = global_settings.CALL_TIMEOUT_FACTOR
        return min(remaining_ms, max(floor_ms, estimated_ms * factor))

    def _get_hedge_delay_ms(self, work: StageWork) -> float:
        estimated_ms = self._estimates.get_ms(
            work.get_estimate_key(), get_monotonic_ms()
        )
        return max(
            estimated_ms * global_settings.HEDGE_QUANTILE_FACTOR,
            global_settings.HEDGE_DELAY_FLOOR_MS,
        )

    def _refuse(self, work: StageWork, reason: Reason) -> StageAnswer:
        return refuse(
            self._make_call(work),
            outcome=Outcome.not_run,
            reason=reason,
            peer=self._context.settings.instance,
        )
