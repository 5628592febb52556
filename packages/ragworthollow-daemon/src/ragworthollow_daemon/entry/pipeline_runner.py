"""Run all stages of a request and compose its answer."""

import msgspec

from ragworthollow.admission.estimate import get_retry_after_ms
from ragworthollow.conf import global_settings
from ragworthollow.configuration import Stage
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport import StageAnswer
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.effect_tracker import EffectTracker
from ragworthollow_daemon.entry.estimates import Estimates
from ragworthollow_daemon.entry.key_resolver import KeyResolver
from ragworthollow_daemon.entry.key_router import KeyRouter
from ragworthollow_daemon.entry.messages import PipelineAnswer
from ragworthollow_daemon.entry.pool_router import PoolRouter
from ragworthollow_daemon.entry.refusals import make_refusal, refuse_request
from ragworthollow_daemon.entry.stage_caller import StageCaller
from ragworthollow_daemon.entry.stage_runner import StageRunner
from ragworthollow_daemon.entry.stage_work import StageWork
from ragworthollow_daemon.process_context import ProcessContext

_JSON_NULL = msgspec.Raw(b'null')


class StageInput(msgspec.Struct, frozen=True, kw_only=True):
    """
    Define the payload that an upstream receives.

    Attributes
    ----------
    input : Raw
        Input from the caller for this stage, or null.
    previous : Raw
        Output of the preceding stage, or null.
    """

    input: msgspec.Raw
    previous: msgspec.Raw


class PipelineRunner:
    """
    Run requests through their pipelines.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    pools : PoolRouter
        Router with the sidecars of every pool.
    """

    def __init__(self, *, context: ProcessContext, pools: PoolRouter) -> None:
        self._context = context
        self._instance = context.settings.instance
        self._estimates = Estimates()
        keys = KeyRouter(context=context, pools=pools)
        self._key_resolver = KeyResolver(instance=self._instance, keys=keys)
        self._stages = StageRunner(
            context=context,
            pools=pools,
            keys=keys,
            estimates=self._estimates,
            caller=StageCaller(context=context),
        )

    async def run(self, request: AdmittedRequest) -> PipelineAnswer:
        """
        Run one request and return its answer.

        Parameters
        ----------
        request : AdmittedRequest
            Validated request.

        Returns
        -------
        PipelineAnswer
            Complete result, or a refusal as soon as no attempt is left.
        """
        started_ms = get_monotonic_ms()
        answer = None
        if request.is_keyed():
            answer = await self._key_resolver.resolve(request)
        if answer is None:
            answer = self._refuse_if_late(request)
        if answer is None:
            answer = await self._run_stages(request)
        elapsed_ms = get_monotonic_ms() - started_ms
        refusal = answer.refusal
        self._context.metrics.count_request(
            request.pipeline_name,
            answer.outcome,
            refusal.reason if refusal else None,
        )
        self._context.metrics.latency.record('request', elapsed_ms)
        return msgspec.structs.replace(answer, elapsed_ms=elapsed_ms)

    def _refuse_if_late(
        self, request: AdmittedRequest
    ) -> PipelineAnswer | None:
        """Refuse a request that cannot complete before its deadline."""
        estimated_ms = self._estimate_ms(request, request.pipeline.stages)
        if estimated_ms <= request.get_remaining_ms():
            return None
        return refuse_request(
            request,
            msgspec.structs.replace(
                make_refusal(
                    self._instance,
                    'admission',
                    Reason.deadline_too_short,
                    f'the stages take about {estimated_ms:.0f} ms at present',
                ),
                retry_after_ms=get_retry_after_ms(estimated_ms),
            ),
        )

    async def _run_stages(self, request: AdmittedRequest) -> PipelineAnswer:
        effects = EffectTracker()
        outputs: dict[str, msgspec.Raw] = {}
        previous = _JSON_NULL
        is_replayed = False
        for position, stage in enumerate(request.pipeline.stages):
            work = self._make_stage_work(request, position, previous, effects)
            work.earlier = dict(outputs)
            stage_answer = await self._stages.run(work)
            if stage_answer.outcome is not Outcome.done:
                return self._compose_refusal(request, effects, stage_answer)
            if stage_answer.replayed:
                # Replay all outputs of the first request with this key, so
                # that they stay consistent with each other, such as a
                # dossier with its custody entry.
                outputs = dict(stage_answer.earlier)
                is_replayed = True
            previous = _get_output(work, stage_answer)
            outputs[stage.name] = previous
        return self._compose(request, outputs, is_replayed=is_replayed)

    def _make_stage_work(
        self,
        request: AdmittedRequest,
        position: int,
        previous: msgspec.Raw,
        effects: EffectTracker,
    ) -> StageWork:
        stages = request.pipeline.stages
        stage = stages[position]
        later_ms = self._estimate_ms(request, stages[position + 1 :])
        return StageWork(
            request=request,
            stage=stage,
            payload=_render_input(request, stage, previous),
            earlier={},
            later_ms=later_ms,
            cost_ms=self._estimate_ms(request, (stage,)) + later_ms,
            effects=effects,
        )

    def _compose(
        self,
        request: AdmittedRequest,
        outputs: dict[str, msgspec.Raw],
        *,
        is_replayed: bool,
    ) -> PipelineAnswer:
        names = {stage.name for stage in request.pipeline.stages}
        is_complete = self._context.monitor.require(
            holds=set(outputs) == names,
            invariant='answer.whole',
            step=request.pipeline_name,
            peer=self._instance,
            detail=request.request_id,
        )
        if not is_complete:
            return refuse_request(
                request,
                msgspec.structs.replace(
                    make_refusal(
                        self._instance, 'answer', Reason.invariant_violated, ''
                    ),
                    outcome=Outcome.unknown,
                ),
            )
        return PipelineAnswer(
            request_id=request.request_id,
            outcome=Outcome.done,
            answer=outputs,
            replayed=is_replayed,
        )

    def _compose_refusal(
        self,
        request: AdmittedRequest,
        effects: EffectTracker,
        last: StageAnswer,
    ) -> PipelineAnswer:
        outcome = effects.get_outcome(last.outcome)
        retry_after_ms = last.refusal.retry_after_ms
        if retry_after_ms is None:
            retry_after_ms = global_settings.RETRY_AFTER_FLOOR_MS
        return refuse_request(
            request,
            msgspec.structs.replace(
                last.refusal,
                outcome=outcome,
                retry_after_ms=retry_after_ms,
            ),
            is_safe=effects.is_safe_to_retry(),
        )

    def _estimate_ms(
        self,
        request: AdmittedRequest,
        stages: tuple[Stage, ...],
    ) -> float:
        now_ms = get_monotonic_ms()
        return sum(
            self._estimates.get_ms(
                f'{request.pipeline_name}/{stage.name}',
                now_ms,
            )
            for stage in stages
        )


def _render_input(
    request: AdmittedRequest,
    stage: Stage,
    previous: msgspec.Raw,
) -> msgspec.Raw:
    stage_input = StageInput(
        input=request.inputs.get(stage.name, _JSON_NULL),
        previous=previous,
    )
    return msgspec.Raw(msgspec.json.encode(stage_input))


def _get_output(work: StageWork, answer: StageAnswer) -> msgspec.Raw:
    """Return the complete output, also for a resumed generation."""
    if not work.tokens:
        return answer.output
    text = ''.join(work.tokens)
    return msgspec.Raw(
        msgspec.json.encode({'text': text, 'tokens': len(work.tokens)}),
    )
