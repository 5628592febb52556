"""Handle callers' requests and send each of them one response."""

import asyncio

from aiohttp import web
from result import Err, Ok

from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform.request_wire import (
    read_request_id,
    read_request_parameters,
)
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.admission import Admission
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.refusals import refuse
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.request_runner import (
    RequestRunner,
    ResponseResult,
)
from ragworthollow_daemon.gateway.response_progress import ResponseProgress
from ragworthollow_daemon.gateway.stream_relay import StreamAborted
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'front'


class RequestHandler:
    """
    Admit requests, run them and record their outcomes.

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
        self._admission = Admission(context=context)
        self._runner = RequestRunner(context=context, pieces=pieces)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return its response."""
        received_ms = get_monotonic_ms()
        request_id = read_request_id(request.headers)
        with self._context.drain.serving(request_id, request.remote or ''):
            admitted = await self._admission.admit(request, received_ms)
            if isinstance(admitted, Err):
                result: ResponseResult = admitted
                job = None
            else:
                job = admitted.ok_value
                result = await self._run_while_connected(job)
            response = self._finish(request, received_ms, job, result)
        if self._context.drain.is_draining and not response.prepared:
            response.force_close()
        return response

    def start_deferred(self) -> None:
        """Start deferred requests if there is capacity for them."""
        self._runner.deferral.start_ready()

    async def _run_while_connected(self, job: RequestJob) -> ResponseResult:
        """Run a request; record a cancellation if the caller disconnects."""
        progress = ResponseProgress(step='stages', peer=job.pool)
        try:
            return await self._runner.run(job, progress)
        except StreamAborted as aborted:
            self._record_aborted_stream(job, aborted.failure)
            return Ok(aborted.response)
        except (asyncio.CancelledError, ConnectionError) as error:
            self._context.metrics.count_request(
                job.route.name,
                Outcome.unknown,
                Reason.cancelled,
            )
            log_event(
                'request_abandoned',
                step=progress.step,
                peer=progress.peer,
                is_started=progress.is_started,
                request_id=job.request_parameters.request_id,
                route=job.route.name,
                pool=job.pool,
                version=job.route_table.version,
                error=repr(error),
                elapsed_ms=round(get_monotonic_ms() - job.received_ms),
            )
            raise

    def _record_aborted_stream(
        self,
        job: RequestJob,
        failure: UpstreamFailure,
    ) -> None:
        self._context.metrics.count_event('stream_broken')
        log_event(
            'stream_broken',
            step=failure.step,
            request_id=job.request_parameters.request_id,
            route=job.route.name,
            pool=job.pool,
            peer=failure.peer,
            reason=failure.reason,
            detail=failure.detail,
        )

    def _finish(
        self,
        request: web.BaseRequest,
        received_ms: float,
        job: RequestJob | None,
        result: ResponseResult,
    ) -> web.StreamResponse:
        elapsed_ms = get_monotonic_ms() - received_ms
        failure = result.err_value if isinstance(result, Err) else None
        if failure is None:
            response = result.ok_value
            outcome, reason = Outcome.done, None
        else:
            response = refuse(failure, self._context.rng)
            outcome, reason = failure.outcome, failure.reason
        route = '' if job is None else job.route.name
        self._context.metrics.count_request(route, outcome, reason)
        self._context.metrics.latency.record('request', elapsed_ms)
        request_parameters = (
            read_request_parameters(request.headers)
            if job is None
            else job.request_parameters
        )
        table = self._context.route_table
        log_event(
            'request_ended',
            step=_STEP if failure is None else failure.step,
            request_id=request_parameters.request_id,
            fingerprint='' if job is None else job.fingerprint,
            route=route,
            pool='' if job is None else job.pool,
            version=None if table is None else table.version,
            version_age_ms=(
                None
                if table is None
                else round(
                    self._context.replica.freshness.get_age_ms(
                        get_boottime_ms()
                    )
                )
            ),
            status=response.status,
            outcome=outcome,
            reason=reason,
            peer=None if failure is None else failure.peer,
            detail=None if failure is None else failure.detail,
            elapsed_ms=round(elapsed_ms),
            time_limit_ms=request_parameters.time_limit_ms,
            waited_ms=None if job is None else round(job.waited_ms),
            pieces=request_parameters.piece_counts,
        )
        return response
