"""Run calls with a once key at most once."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from ragworthollow.once import (
    KeyRecord,
    KeyRegistry,
    LookupAnswer,
    LookupState,
    Ownership,
    RecordState,
)
from ragworthollow.once.ownership import OwnershipStatus
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport import OnceKey, StageAnswer, StageCall
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext

Execute = Callable[[StageCall], Awaitable[StageAnswer]]

_MILLISECONDS = 1000
_OWNERSHIP_RETRY_MS = 1000
_REFUSAL_REASONS = {
    OwnershipStatus.not_owner: Reason.not_owner,
    OwnershipStatus.unsure: Reason.ownership_unsure,
    OwnershipStatus.born_before: Reason.born_before_ownership,
}


_LOOKUP_STATES = {
    OwnershipStatus.owner: LookupState.absent,
    OwnershipStatus.not_owner: LookupState.not_owner,
    OwnershipStatus.unsure: LookupState.uncertain,
    OwnershipStatus.born_before: LookupState.born_before,
}


class OnceExecutor:
    """
    Run each call with a once key at most once on the upstream.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    ownership : Ownership
        Decides whether this process owns a key.
    registry : KeyRegistry
        Records of the keys that have run here.
    execute : callable
        Runs a call on the upstream.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        registry: KeyRegistry,
        execute: Execute,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._registry = registry
        self._execute = execute
        self._name = context.settings.instance
        self._running: dict[str, asyncio.Task[StageAnswer]] = {}

    async def run(self, call: StageCall, once: OnceKey) -> StageAnswer:
        """
        Run a call, wait for it if it is running, or return its result.

        A disconnected caller does not cancel a call that may already have had
        its effect: the task continues and its result is kept for a retry.

        Parameters
        ----------
        call : StageCall
            Call to run.
        once : OnceKey
            Key of the call.

        Returns
        -------
        StageAnswer
            Result of the call, the same for each retry, or a refusal.
        """
        if once.fresh:
            # The key was never given to another process, so no other process
            # can have run it and no retry can arrive.
            return await self._execute(call)
        record = self._registry.get(once.key)
        if record is None:
            refused = self._refuse_before_start(call, once)
            if refused is not None:
                return refused
            self._start_execution(call, once)
        elif record.fingerprint != once.fingerprint:
            return self._refuse(call, Outcome.not_run, Reason.key_in_use)
        elif record.state is not RecordState.running:
            return self._make_replay(call, record)
        return await self._join(call, once.key)

    async def look_up(self, once: OnceKey, wait_ms: float) -> LookupAnswer:
        """
        Look up the state of a key.

        Parameters
        ----------
        once : OnceKey
            Key to look up.
        wait_ms : float
            Maximum wait for a call that is still running.

        Returns
        -------
        LookupAnswer
            `absent` only if it is certain that the key never ran.
        """
        task = self._running.get(once.key)
        if task is not None:
            await asyncio.wait([task], timeout=wait_ms / _MILLISECONDS)
        record = self._registry.get(once.key)
        if record is not None:
            if record.state is RecordState.running:
                return LookupAnswer(state=LookupState.running)
            return LookupAnswer(state=LookupState.finished, record=record)
        status = self._get_ownership_status(once)
        return LookupAnswer(state=_LOOKUP_STATES[status])

    def _get_ownership_status(self, once: OnceKey) -> OwnershipStatus:
        return self._ownership.get_ownership_status(
            once.key,
            once.born_ms,
            get_monotonic_ms(),
        )

    def _refuse_before_start(
        self, call: StageCall, once: OnceKey
    ) -> StageAnswer | None:
        status = self._get_ownership_status(once)
        if status is OwnershipStatus.born_before:
            return self._refuse(call, Outcome.unknown, _REFUSAL_REASONS[status])
        if status is not OwnershipStatus.owner:
            return self._refuse(
                call,
                Outcome.not_run,
                _REFUSAL_REASONS[status],
                retry_after_ms=_OWNERSHIP_RETRY_MS,
            )
        if self._registry.is_full():
            return self._refuse(
                call,
                Outcome.not_run,
                Reason.overloaded,
                retry_after_ms=_OWNERSHIP_RETRY_MS,
            )
        return None

    def _start_execution(self, call: StageCall, once: OnceKey) -> None:
        self._registry.put(
            KeyRecord(
                key=once.key,
                born_ms=once.born_ms,
                state=RecordState.running,
                request_id=call.request_id,
                fingerprint=once.fingerprint,
                earlier=call.earlier,
            ),
        )
        self._context.monitor.require(
            holds=once.key not in self._running,
            invariant='once.single_execution',
            step=call.stage,
            peer=self._name,
            detail=call.request_id,
        )
        task = asyncio.ensure_future(self._execute_and_record(call, once))
        self._running[once.key] = task
        task.add_done_callback(lambda _: self._running.pop(once.key, None))

    async def _execute_and_record(
        self,
        call: StageCall,
        once: OnceKey,
    ) -> StageAnswer:
        try:
            answer = await self._execute(call)
        except BaseException:
            self._record(call, once, RecordState.unknown)
            raise
        if answer.outcome is Outcome.not_run:
            self._registry.remove(once.key)
        else:
            self._record(
                call,
                once,
                RecordState(answer.outcome.value),
                answer,
            )
        return answer

    def _record(
        self,
        call: StageCall,
        once: OnceKey,
        state: RecordState,
        answer: StageAnswer | None = None,
    ) -> None:
        refusal = answer.refusal if answer else None
        self._registry.put(
            KeyRecord(
                key=once.key,
                born_ms=once.born_ms,
                state=state,
                request_id=call.request_id,
                fingerprint=once.fingerprint,
                output=answer.output if answer else msgspec.Raw(b'null'),
                earlier=call.earlier,
                detail=refusal.detail if refusal else '',
            ),
        )

    async def _join(self, call: StageCall, key: str) -> StageAnswer:
        task = self._running.get(key)
        if task is not None:
            await asyncio.wait(
                [task],
                timeout=max(call.remaining_ms, 0) / _MILLISECONDS,
            )
        record = self._registry.get(key)
        if record is None and task is not None and task.done():
            # The call is certain not to have started; each waiting caller
            # gets that answer.
            return msgspec.structs.replace(
                task.result(),
                request_id=call.request_id,
                attempt=call.attempt,
            )
        if record is None or record.state is RecordState.running:
            return self._refuse(call, Outcome.unknown, Reason.attempt_timeout)
        return self._make_replay(call, record)

    def _make_replay(self, call: StageCall, record: KeyRecord) -> StageAnswer:
        if record.state is RecordState.done:
            return StageAnswer(
                request_id=call.request_id,
                stage=call.stage,
                attempt=call.attempt,
                outcome=Outcome.done,
                output=record.output,
                earlier=record.earlier,
                replayed=record.request_id != call.request_id,
            )
        return self._refuse(
            call,
            Outcome(record.state.value),
            Reason.upstream_error,
            detail=record.detail,
        )

    def _refuse(
        self,
        call: StageCall,
        outcome: Outcome,
        reason: Reason,
        *,
        detail: str = '',
        retry_after_ms: int | None = None,
    ) -> StageAnswer:
        return refuse(
            call,
            outcome=outcome,
            reason=reason,
            peer=self._name,
            detail=detail,
            retry_after_ms=retry_after_ms,
        )
