"""Run requests through their stages and forward them to an upstream."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from result import Err, Result

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.routes.homes import may_run_in
from ragworthollow_daemon.gateway.admission import make_refusal, make_stopping
from ragworthollow_daemon.gateway.answer_progress import AnswerProgress
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.deferral import Deferral
from ragworthollow_daemon.gateway.forwarder import Forwarder
from ragworthollow_daemon.gateway.lateness import refuse_late
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stage_way import StageWay
from ragworthollow_daemon.gateway.stage_work import StageWork
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_GIVEN_UP = frozenset((Reason.overloaded, Reason.stage_late))

Answered = Result[web.StreamResponse, UpstreamFailure]


class RequestRunner:
    """
    Run admitted requests to completion.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    pieces : PieceClient
        Client that runs the stages of requests.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        pieces: PieceClient,
    ) -> None:
        self._context = context
        self._pieces = pieces
        self._forwarder = Forwarder(context=context)
        self.deferral = Deferral(
            context=context,
            get_waits_ms=pieces.get_waits_ms,
        )

    async def run(
        self,
        job: RequestJob,
        progress: AnswerProgress,
    ) -> Answered:
        """
        Serve a request, deferring it if it cannot meet its objective.

        Parameters
        ----------
        job : RequestJob
            The request.
        progress : AnswerProgress
            Updated with the progress of the answer.

        Returns
        -------
        Result
            The response, or the failure.
        """
        hopeless = self._refuse_for_good(job)
        if hopeless is not None:
            return Err(hopeless)
        way = StageWay(
            job=job,
            answer_ms=self._context.get_answer_time(job.pool).estimate_ms(
                job.terms.prompt_tokens,
            ),
        )
        refusal = self._refuse(job, way)
        while refusal is None or await self._defer(job, way):
            if refusal is not None:
                way = way.begin_late()
            stages = StageWork(
                client=self._pieces,
                job=job,
                way=way,
                failure_domain=self._forwarder.expect_failure_domain(job),
            )
            try:
                answered = await self._run(job, stages, progress)
            finally:
                stages.free()
            if not _may_be_deferred(answered, stages):
                return answered
            refusal = answered.err_value
        return Err(refusal)

    def _refuse_for_good(self, job: RequestJob) -> UpstreamFailure | None:
        """Return a rejection that deferral cannot avoid, or None."""
        left_ms = self._context.quarantine.get_left_ms(job.fingerprint)
        if left_ms:
            return make_refusal(
                Reason.quarantined,
                job.pool,
                retry_after_ms=left_ms,
            )
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
            if self._is_away_from_home(job, pool):
                return make_refusal(Reason.no_instance, pool)
        return None

    def _is_away_from_home(self, job: RequestJob, pool: str) -> bool:
        """Tell whether all instances of a pool are in disallowed regions."""
        homes = job.get_homes()
        if homes is None:
            return False
        instances = self._context.directory.get_pool(pool)
        return bool(instances) and not any(
            may_run_in(one.region, homes) for one in instances
        )

    def _refuse(
        self,
        job: RequestJob,
        way: StageWay,
    ) -> UpstreamFailure | None:
        """Return why a request cannot start now, or None if it can."""
        if not self._context.directory.get_pool(job.pool):
            return make_refusal(Reason.no_instance, job.pool)
        return refuse_late(job, way, self._pieces.get_waits_ms)

    async def _defer(self, job: RequestJob, way: StageWay) -> bool:
        """Wait for spare capacity; return False if none was found in time."""
        may_begin = await self._context.stop.run(
            self.deferral.wait(job, way),
        )
        return bool(may_begin)

    async def _run(
        self,
        job: RequestJob,
        stages: StageWork,
        progress: AnswerProgress,
    ) -> Answered:
        made = await self._context.stop.run(self._run_stages(stages, job))
        if made is None:
            return Err(make_stopping(job.pool, Outcome.not_run))
        if isinstance(made, Err):
            return made
        return await self._forward(job, made.ok_value, stages.free, progress)

    async def _forward(
        self,
        job: RequestJob,
        inputs: tuple[str, ...],
        on_inputs_read: Callable[[], None],
        progress: AnswerProgress,
    ) -> Answered:
        answered = await self._context.stop.run(
            self._forwarder.forward(job, inputs, on_inputs_read, progress),
            may_end=lambda: not progress.is_started,
        )
        if answered is None:
            return Err(make_stopping(job.pool, Outcome.unknown))
        return answered

    async def _run_stages(
        self,
        stages: StageWork,
        job: RequestJob,
    ) -> Result[tuple[str, ...], UpstreamFailure]:
        try:
            async with asyncio.timeout(job.get_remaining_ms() / 1000):
                return await stages.run()
        except TimeoutError:
            return Err(make_refusal(Reason.deadline_exceeded, job.pool))


def _may_be_deferred(answered: Answered, stages: StageWork) -> bool:
    """Tell whether stages were abandoned before producing any result."""
    if not isinstance(answered, Err) or stages.has_spent:
        return False
    return answered.err_value.reason in _GIVEN_UP
