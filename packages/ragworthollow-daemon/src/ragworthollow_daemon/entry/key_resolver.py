"""Resolve an idempotency key before any stage runs."""

import msgspec

from ragworthollow.configuration import Stage
from ragworthollow.once import KeyRecord, LookupState, RecordState
from ragworthollow.outcomes import Outcome, Reason, Refusal
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.key_router import KeyRouter
from ragworthollow_daemon.entry.messages import PipelineAnswer
from ragworthollow_daemon.entry.refusals import make_refusal, refuse_request

_UNRESOLVED_RETRY_MS = 1000
_UNRESOLVED_REASONS = {
    LookupState.running: Reason.attempt_timeout,
    LookupState.born_before: Reason.born_before_ownership,
    LookupState.uncertain: Reason.ownership_unsure,
    LookupState.not_owner: Reason.ownership_unsure,
}


class KeyResolver:
    """
    Answer requests that repeat an idempotency key.

    Parameters
    ----------
    instance : str
        Name of this entry.
    keys : KeyRouter
        Router that queries the owners of keys.
    """

    def __init__(self, *, instance: str, keys: KeyRouter) -> None:
        self._instance = instance
        self._keys = keys

    async def resolve(
        self,
        request: AdmittedRequest,
    ) -> PipelineAnswer | None:
        """
        Answer a repeated key, or confirm that the key has never run.

        A later refusal of this request may report `not_run` only after the
        owner of the key has confirmed that.
        """
        stage = next(
            candidate
            for candidate in request.pipeline.stages
            if not candidate.repeatable
        )
        lookup = await self._keys.look_up(
            stage.pool,
            request.once,
            request.get_remaining_ms(),
        )
        if lookup.state is LookupState.absent:
            return None
        if lookup.record is not None:
            return self._replay(request, stage, lookup.record)
        return refuse_request(
            request,
            Refusal(
                outcome=Outcome.unknown,
                reason=_UNRESOLVED_REASONS[lookup.state],
                step=stage.name,
                peer=stage.pool,
                detail='whether this key has run cannot be told now; ask'
                ' again with the same key',
                retry_after_ms=_UNRESOLVED_RETRY_MS,
            ),
        )

    def _replay(
        self,
        request: AdmittedRequest,
        stage: Stage,
        record: KeyRecord,
    ) -> PipelineAnswer:
        if record.fingerprint != request.once.fingerprint:
            return refuse_request(
                request,
                make_refusal(
                    self._instance,
                    stage.name,
                    Reason.key_in_use,
                    'this key belongs to a request with other inputs',
                ),
            )
        if record.state is RecordState.done:
            return PipelineAnswer(
                request_id=request.request_id,
                outcome=Outcome.done,
                answer={**record.earlier, stage.name: record.output},
                replayed=True,
            )
        return refuse_request(
            request,
            msgspec.structs.replace(
                make_refusal(
                    self._instance,
                    stage.name,
                    Reason.upstream_error,
                    record.detail,
                ),
                outcome=Outcome(record.state.value),
            ),
        )
