"""Handle callers' requests and send each of them one response."""

import asyncio

from aiohttp import web
from result import Err

from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform.request_wire import (
    read_request_id,
    read_request_parameters,
)
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.admission import Admission
from ragworthollow_daemon.gateway.body_budget import BodyBudget
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.ended_request import EndedRequest
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.refusals import refuse
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.request_runner import (
    RequestRunner,
    ResolveResume,
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
        self._admission = Admission(context=context)
        self._body_budget = BodyBudget(
            memory_mb=context.settings.memory_mb, metrics=context.metrics
        )
        self._runner = RequestRunner(
            context=context,
            pieces=pieces,
            resolve_resume=resolve_resume,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return its response."""
        received_ms = get_monotonic_ms()
        request_id = read_request_id(request.headers)
        with (
            self._context.drain.serving(request_id, request.remote or ''),
            self._body_budget.reserve() as reservation,
        ):
            admitted = await self._admission.admit(
                request, received_ms, reservation
            )
            if isinstance(admitted, Err):
                ended = self._refuse(admitted.err_value)
                job = None
            else:
                job = admitted.ok_value
                ended = await self._run_while_connected(job)
            self._record_end(request, received_ms, job, ended)
            response = ended.response
        if self._context.drain.is_draining and not response.prepared:
            response.force_close()
        return response

    def start_deferred(self) -> None:
        """Start deferred requests if there is capacity for them."""
        self._runner.deferral.start_ready()

    async def _run_while_connected(self, job: RequestJob) -> EndedRequest:
        """Run a request; record a cancellation if the caller disconnects."""
        progress = ResponseProgress(step='stages', peer=job.pool)
        try:
            result = await self._runner.run(job, progress)
        except StreamAborted as aborted:
            return self._abort_stream(job, aborted)
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
        if isinstance(result, Err):
            return self._refuse(result.err_value)
        return EndedRequest(response=result.ok_value)

    def _abort_stream(
        self, job: RequestJob, aborted: StreamAborted
    ) -> EndedRequest:
        """
        Close the connection so that the response does not look complete.

        Data already written is still delivered; the server cannot terminate
        the body regularly on a connection that is closing.  Closed any
        earlier, the connection would cancel this handler, as if the caller
        had left.
        """
        transport = job.request.transport
        if transport is not None:
            transport.close()
        self._record_aborted_stream(job, aborted.failure)
        return EndedRequest(response=aborted.response, failure=aborted.failure)

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

    def _refuse(self, failure: UpstreamFailure) -> EndedRequest:
        return EndedRequest(
            response=refuse(failure, self._context.rng), failure=failure
        )

    def _record_end(
        self,
        request: web.BaseRequest,
        received_ms: float,
        job: RequestJob | None,
        ended: EndedRequest,
    ) -> None:
        elapsed_ms = get_monotonic_ms() - received_ms
        failure = ended.failure
        outcome, reason = Outcome.done, None
        if failure is not None:
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
            shared=() if job is None else job.get_shared_fingerprints(),
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
            status=ended.response.status,
            outcome=outcome,
            reason=reason,
            peer=None if failure is None else failure.peer,
            detail=None if failure is None else failure.detail,
            elapsed_ms=round(elapsed_ms),
            time_limit_ms=request_parameters.time_limit_ms,
            waited_ms=None if job is None else round(job.waited_ms),
            pieces=request_parameters.piece_counts,
            prompt_tokens=request_parameters.prompt_tokens,
            organisation='' if job is None else job.get_organisation(),
            rank=None if job is None else job.get_rank(),
        )
