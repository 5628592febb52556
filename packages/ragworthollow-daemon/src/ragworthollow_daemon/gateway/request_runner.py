"""Run requests through their stages and forward them to an upstream."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from result import Err, Result

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.routes.allowed_regions import is_region_allowed
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow_daemon.gateway.admission import (
    make_refusal,
    make_shutdown_failure,
)
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.deferral_queue import DeferralQueue
from ragworthollow_daemon.gateway.forwarder import Forwarder
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.lateness import refuse_if_late
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.response_progress import ResponseProgress
from ragworthollow_daemon.gateway.resume_decision import (
    ResumeDecision,
    is_resume,
)
from ragworthollow_daemon.gateway.stage_graph_runner import StageGraphRunner
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_DEFERRABLE_REASONS = frozenset((Reason.overloaded, Reason.stage_late))

ResponseResult = Result[web.StreamResponse, UpstreamFailure]
ResolveResume = Callable[[RequestJob], Awaitable[ResumeDecision]]


class RequestRunner:
    """
    Run admitted requests to completion.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    pieces : PieceClient
        Client that runs the stages of requests.
    resolve_resume : callable
        Decides at which software version a caller's stream may go on.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        pieces: PieceClient,
        resolve_resume: ResolveResume,
    ) -> None:
        self._context = context
        self._pieces = pieces
        self._resolve_resume = resolve_resume
        self._forwarder = Forwarder(context=context)
        self.deferral = DeferralQueue(
            context=context,
            get_waits_ms=pieces.get_waits_ms,
            is_quarantined=lambda job: self._find_quarantine(job) is not None,
            is_space_scarce=pieces.is_space_scarce,
        )

    async def run(
        self,
        job: RequestJob,
        progress: ResponseProgress,
    ) -> ResponseResult:
        """
        Serve a request, deferring it if it cannot meet its objective.

        Parameters
        ----------
        job : RequestJob
            The request.
        progress : ResponseProgress
            Records the progress of the response.

        Returns
        -------
        Result
            The response, or the failure.
        """
        final_refusal = self._find_final_refusal(job)
        if final_refusal is None and is_resume(job):
            decision = await self._resolve_resume(job)
            final_refusal = decision.make_refusal(job.pool)
        if final_refusal is not None:
            return Err(final_refusal)
        estimate = LatencyEstimate(
            job=job,
            first_event_ms=self._context.engine_view.get_first_event_latency(
                job.pool
            ).estimate_ms(
                job.request_parameters.prompt_tokens,
            ),
        )
        refusal = self._find_refusal(job, estimate)
        while refusal is None or await self._defer(job, estimate):
            if refusal is not None:
                estimate = estimate.as_deferred()
            expected = self._forwarder.predict_instance(job)
            stages = StageGraphRunner(
                client=self._pieces,
                job=job,
                estimate=estimate,
                failure_domain=(
                    '' if expected is None else expected.failure_domain
                ),
            )
            try:
                result = await self._run_once(job, stages, progress, expected)
            finally:
                stages.release()
            if not _may_be_deferred(result, stages):
                return result
            refusal = result.err_value
        return Err(self._find_quarantine(job) or refusal)

    def _find_final_refusal(self, job: RequestJob) -> UpstreamFailure | None:
        """Return a refusal that deferral could not avoid, or None."""
        quarantine = self._find_quarantine(job)
        if quarantine is not None:
            return quarantine
        directory = self._context.directory
        pause_ms = directory.get_pool_pause_ms(job.pool)
        if pause_ms:
            return make_refusal(
                Reason.upstream_paused,
                job.pool,
                retry_after_ms=pause_ms,
            )
        throttle = PoolThrottle(context=self._context, pool=job.pool)
        throttled = throttle.find_refusal()
        if throttled is not None:
            return make_refusal(
                throttled.reason,
                job.pool,
                retry_after_ms=throttled.retry_after_ms,
            )
        for pool in job.get_pools():
            if directory.is_pool_drained(pool):
                return make_refusal(Reason.domain_drained, pool)
            if self._is_outside_allowed_regions(job, pool):
                return make_refusal(Reason.no_instance, pool)
        return None

    def _find_quarantine(self, job: RequestJob) -> UpstreamFailure | None:
        remaining_ms = self._context.quarantine.get_remaining_ms(
            job.get_fingerprints()
        )
        if not remaining_ms:
            return None
        return make_refusal(
            Reason.quarantined, job.pool, retry_after_ms=remaining_ms
        )

    def _is_outside_allowed_regions(self, job: RequestJob, pool: str) -> bool:
        """Tell whether all instances of a pool are in disallowed regions."""
        allowed_regions = job.get_allowed_regions()
        if allowed_regions is None:
            return False
        instances = self._context.directory.get_pool(pool)
        return bool(instances) and not any(
            is_region_allowed(instance.region, allowed_regions)
            for instance in instances
        )

    def _find_refusal(
        self,
        job: RequestJob,
        estimate: LatencyEstimate,
    ) -> UpstreamFailure | None:
        """Return why a request cannot start now, or None if it can."""
        if not self._context.directory.get_pool(job.pool):
            return make_refusal(Reason.no_instance, job.pool)
        return refuse_if_late(job, estimate, self._pieces.get_waits_ms)

    async def _defer(self, job: RequestJob, estimate: LatencyEstimate) -> bool:
        """Wait for spare capacity; return False if none was found in time."""
        may_begin = await self._context.stop.run(
            self.deferral.wait(job, estimate),
        )
        return bool(may_begin)

    async def _run_once(
        self,
        job: RequestJob,
        stages: StageGraphRunner,
        progress: ResponseProgress,
        expected: UpstreamInstance | None,
    ) -> ResponseResult:
        stage_results = await self._context.stop.run(
            self._run_stages(stages, job)
        )
        if stage_results is None:
            return Err(make_shutdown_failure(job.pool, Outcome.not_run))
        if isinstance(stage_results, Err):
            return stage_results
        return await self._forward(
            job, stage_results.ok_value, stages.release, progress, expected
        )

    async def _forward(
        self,
        job: RequestJob,
        inputs: tuple[str, ...],
        on_inputs_read: Callable[[], None],
        progress: ResponseProgress,
        expected: UpstreamInstance | None,
    ) -> ResponseResult:
        result = await self._context.stop.run(
            self._forwarder.forward(
                job, inputs, on_inputs_read, progress, expected
            ),
            may_cancel=lambda: not progress.is_started,
        )
        if result is None:
            return Err(make_shutdown_failure(job.pool, Outcome.unknown))
        return result

    async def _run_stages(
        self,
        stages: StageGraphRunner,
        job: RequestJob,
    ) -> Result[tuple[str, ...], UpstreamFailure]:
        try:
            async with self._context.exchanges.time_limits.limit(
                job.get_remaining_ms()
            ):
                return await stages.run()
        except TimeoutError:
            return Err(make_refusal(Reason.deadline_exceeded, job.pool))


def _may_be_deferred(result: ResponseResult, stages: StageGraphRunner) -> bool:
    """Tell whether stages were refused or late before any result."""
    if not isinstance(result, Err) or stages.has_produced_results:
        return False
    return result.err_value.reason in _DEFERRABLE_REASONS
