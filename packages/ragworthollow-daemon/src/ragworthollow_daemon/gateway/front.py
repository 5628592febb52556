"""Take callers' requests and answer each of them once."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform.request_wire import read_terms
from ragworthollow.routes import KeyHolder, Route, RouteTable
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.forwarder import Forwarder
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.refusals import refuse
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stage_work import StageWork
from ragworthollow_daemon.gateway.stream_relay import (
    AnswerProgress,
    StreamBroken,
)
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'front'

Answered = Result[web.StreamResponse, UpstreamFailure]


class Front:
    """
    Admit requests and see each to its one answer.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    pieces : PieceClient
        Has stage work done.
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

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        received_ms = get_monotonic_ms()
        with self._context.drain.serving():
            admitted = await self._admit(request, received_ms)
            if isinstance(admitted, Err):
                answered: Answered = admitted
                job = None
            else:
                job, table = admitted.ok_value
                answered = await self._serve_present(job, table)
            response = self._finish(request, received_ms, job, answered)
        if self._context.drain.is_draining and not response.prepared:
            response.force_close()
        return response

    async def _admit(
        self,
        request: web.BaseRequest,
        received_ms: float,
    ) -> Result[tuple[RequestJob, RouteTable], UpstreamFailure]:
        table = self._context.table
        if table is None:
            return _refuse(Reason.not_configured, request.remote)
        path = request.raw_path.partition('?')[0]
        route = table.match(request.headers.get('Host', ''), path)
        if route is None:
            return _refuse(Reason.unknown_route, path)
        terms = read_terms(request.headers)
        identified = _identify(table, route, terms.key)
        if isinstance(identified, Err):
            return identified
        body = await _read_body(request, table.limits.body_bytes)
        if body is None:
            return _refuse(Reason.body_too_large, route.name)
        limit_ms = route.timeout_ms
        if terms.time_limit_ms is not None:
            limit_ms = min(limit_ms, terms.time_limit_ms)
        if not self._context.stop.accepts(route, limit_ms, received_ms):
            return Err(_make_stopping(route.name, Outcome.not_run))
        job = RequestJob(
            request=request,
            body=body,
            terms=terms,
            route=route,
            holder=identified.ok_value,
            pool=self._choose_pool(route),
            version=table.version,
            received_ms=received_ms,
            deadline_ms=received_ms + limit_ms,
        )
        return Ok((job, table))

    def _choose_pool(self, route: Route) -> str:
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return route.shares[0].pool
        chosen = self._context.rng.choices(route.shares, weights)
        return chosen[0].pool

    async def _serve_present(
        self,
        job: RequestJob,
        table: RouteTable,
    ) -> Answered:
        """Serve as long as the caller is there; say so when it leaves."""
        try:
            return await self._serve(job, table)
        except StreamBroken as broken:
            self._note_broken(job, broken.failure)
            return Ok(broken.response)
        except (asyncio.CancelledError, ConnectionError) as error:
            self._context.metrics.count_request(
                job.route.name,
                Outcome.unknown,
                Reason.cancelled,
            )
            log_event(
                'request_abandoned',
                step=_STEP,
                request_id=job.terms.request_id,
                route=job.route.name,
                pool=job.pool,
                version=job.version,
                error=repr(error),
                elapsed_ms=round(get_monotonic_ms() - job.received_ms),
            )
            raise

    def _note_broken(self, job: RequestJob, failure: UpstreamFailure) -> None:
        self._context.metrics.count_event('stream_broken')
        log_event(
            'stream_broken',
            step=failure.step,
            request_id=job.terms.request_id,
            route=job.route.name,
            pool=job.pool,
            peer=failure.peer,
            reason=failure.reason,
            detail=failure.detail,
        )

    async def _serve(self, job: RequestJob, table: RouteTable) -> Answered:
        stages = StageWork(
            client=self._pieces,
            job=job,
            table=table,
            failure_domain=self._forwarder.expect_failure_domain(job),
        )
        refusal = self._refuse_late(job, stages)
        if refusal is not None:
            return Err(refusal)
        try:
            return await self._run(job, stages)
        finally:
            stages.free()

    async def _run(self, job: RequestJob, stages: StageWork) -> Answered:
        made = await self._context.stop.run(self._run_stages(stages, job))
        if made is None:
            return Err(_make_stopping(job.pool, Outcome.not_run))
        if isinstance(made, Err):
            return made
        return await self._forward(job, made.ok_value, stages.free)

    async def _forward(
        self,
        job: RequestJob,
        inputs: tuple[str, ...],
        on_inputs_read: Callable[[], None],
    ) -> Answered:
        progress = AnswerProgress()
        answered = await self._context.stop.run(
            self._forwarder.forward(job, inputs, on_inputs_read, progress),
            may_end=lambda: not progress.is_started,
        )
        if answered is None:
            return Err(_make_stopping(job.pool, Outcome.unknown))
        return answered

    def _refuse_late(
        self,
        job: RequestJob,
        stages: StageWork,
    ) -> UpstreamFailure | None:
        """Refuse at once what would miss its objective on the whole way."""
        pools = {stage.pool for stage in job.route.stages}
        waits_ms = self._pieces.get_waits_ms(pools, job.get_priority())
        late_ms = stages.find_lateness_ms(waits_ms)
        if late_ms <= global_settings.ADMISSION_GRACE_MS:
            return None
        return UpstreamFailure(
            outcome=Outcome.not_run,
            reason=Reason.overloaded,
            step=_STEP,
            peer=max(waits_ms, key=waits_ms.get),
            detail=f'expected {late_ms:.0f} ms late; waits {waits_ms}',
            retry_after_ms=late_ms,
        )

    async def _run_stages(
        self,
        stages: StageWork,
        job: RequestJob,
    ) -> Result[tuple[str, ...], UpstreamFailure]:
        try:
            async with asyncio.timeout(job.get_remaining_ms() / 1000):
                return await stages.run()
        except TimeoutError:
            return Err(_make_failure(Reason.deadline_exceeded, job.pool))

    def _finish(
        self,
        request: web.BaseRequest,
        received_ms: float,
        job: RequestJob | None,
        answered: Answered,
    ) -> web.StreamResponse:
        elapsed_ms = get_monotonic_ms() - received_ms
        failure = answered.err_value if isinstance(answered, Err) else None
        if failure is None:
            response = answered.ok_value
            outcome, reason = Outcome.done, None
        else:
            response = refuse(failure, self._context.rng)
            outcome, reason = failure.outcome, failure.reason
        route = '' if job is None else job.route.name
        self._context.metrics.count_request(route, outcome, reason)
        self._context.metrics.latency.record('request', elapsed_ms)
        terms = read_terms(request.headers) if job is None else job.terms
        table = self._context.table
        log_event(
            'request_ended',
            step=_STEP if failure is None else failure.step,
            request_id=terms.request_id,
            route=route,
            pool='' if job is None else job.pool,
            version=None if table is None else table.version,
            status=response.status,
            outcome=outcome,
            reason=reason,
            peer=None if failure is None else failure.peer,
            detail=None if failure is None else failure.detail,
            elapsed_ms=round(elapsed_ms),
        )
        return response


def _identify(
    table: RouteTable,
    route: Route,
    key: str,
) -> Result[KeyHolder | None, UpstreamFailure]:
    holder = table.identify(key) if key else None
    if holder is None and table.requires_key and not route.is_public:
        return _refuse(Reason.unauthorized, route.name)
    return Ok(holder)


async def _read_body(
    request: web.BaseRequest,
    limit_bytes: int,
) -> bytes | None:
    """Read a whole body; None when it is longer than allowed."""
    if not request.body_exists:
        return b''
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > limit_bytes:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def _make_stopping(peer: str, outcome: Outcome) -> UpstreamFailure:
    return UpstreamFailure(
        outcome=outcome,
        reason=Reason.draining,
        step=_STEP,
        peer=peer,
        retry_after_ms=global_settings.GATEWAY_STOPPING_RETRY_MS,
    )


def _refuse(reason: Reason, peer: str | None) -> Err[UpstreamFailure]:
    return Err(_make_failure(reason, peer or ''))


def _make_failure(reason: Reason, peer: str) -> UpstreamFailure:
    return UpstreamFailure(
        outcome=Outcome.not_run,
        reason=reason,
        step=_STEP,
        peer=peer,
    )
