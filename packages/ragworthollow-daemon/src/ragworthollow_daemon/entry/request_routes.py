"""Serve the API of callers."""

import dataclasses
import math

from aiohttp import web
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason, Refusal
from ragworthollow.transport.responses import respond
from ragworthollow.utils import make_identifier
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.event_stream import EventStream
from ragworthollow_daemon.entry.messages import PipelineAnswer
from ragworthollow_daemon.entry.pipeline_runner import PipelineRunner
from ragworthollow_daemon.entry.request_validator import RequestValidator
from ragworthollow_daemon.process_context import ProcessContext

_MILLISECONDS = 1000
_SERVICE_UNAVAILABLE = 503
_CONFLICT = 409
_STATUS_BY_REASON = {
    Reason.bad_request: 400,
    Reason.bad_deadline: 400,
    Reason.bad_idempotency_key: 400,
    Reason.deadline_exceeded: 400,
    Reason.unauthorized: 401,
    Reason.unknown_pipeline: 404,
    Reason.body_too_large: 413,
    Reason.key_in_use: _CONFLICT,
    Reason.overloaded: 429,
    Reason.shed: 429,
    Reason.deadline_too_short: 429,
}
_BAD_GATEWAY = 502


class RequestRoutes:
    """
    Receive pipeline requests and send their answers.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    validator : RequestValidator
        Validates requests.
    runner : PipelineRunner
        Runs validated requests.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        validator: RequestValidator,
        runner: PipelineRunner,
    ) -> None:
        self._context = context
        self._validator = validator
        self._runner = runner

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        application.router.add_post(
            '/v1/pipelines/{pipeline}',
            self.run_pipeline,
        )

    async def run_pipeline(self, request: web.Request) -> web.StreamResponse:
        """Run one pipeline for one caller."""
        if self._context.drain.in_flight >= global_settings.MAX_IN_FLIGHT:
            return self._refuse(self._make_overload_refusal())
        with self._context.drain.serving(peer=request.remote or ''):
            admitted = await self._validator.admit(request)
            if isinstance(admitted, Err):
                return self._refuse(admitted.err_value)
            if admitted.ok_value.is_stream:
                return await self._stream(request, admitted.ok_value)
            answer = await self._run(admitted.ok_value)
            return _render(answer)

    async def _run(self, admitted: AdmittedRequest) -> PipelineAnswer:
        answer = await self._runner.run(admitted)
        refusal = answer.refusal
        log_event(
            'request_ended',
            request_id=answer.request_id,
            organisation=admitted.organisation,
            pipeline=admitted.pipeline_name,
            outcome=answer.outcome,
            reason=refusal.reason if refusal else None,
            step=refusal.step if refusal else 'answer',
            peer=refusal.peer if refusal else self._context.settings.instance,
            elapsed_ms=round(answer.elapsed_ms, 1),
        )
        return answer

    async def _stream(
        self,
        request: web.Request,
        admitted: AdmittedRequest,
    ) -> web.StreamResponse:
        stream = EventStream(request=request)
        answer = await self._run(
            dataclasses.replace(admitted, emit=stream.send_token),
        )
        if not stream.is_started and answer.outcome is not Outcome.done:
            return _render(answer)
        return await stream.finish(answer)

    def _make_overload_refusal(self) -> Refusal:
        return Refusal(
            outcome=Outcome.not_run,
            reason=Reason.overloaded,
            step='door',
            peer=self._context.settings.instance,
            detail='this entry serves as many requests as it may',
            retry_after_ms=global_settings.RETRY_AFTER_FLOOR_MS,
        )

    def _refuse(self, refusal: Refusal) -> web.Response:
        self._context.metrics.count_request('', refusal.outcome, refusal.reason)
        request_id = make_identifier()
        log_event(
            'request_refused',
            request_id=request_id,
            reason=refusal.reason,
            step=refusal.step,
            peer=refusal.peer,
        )
        return _render(
            PipelineAnswer(
                request_id=request_id,
                outcome=refusal.outcome,
                refusal=refusal,
                safe_to_retry=refusal.outcome is Outcome.not_run,
            ),
        )


def _render(answer: PipelineAnswer) -> web.Response:
    response = respond(answer, status=_get_status(answer))
    refusal = answer.refusal
    if refusal is not None and refusal.retry_after_ms is not None:
        seconds = math.ceil(refusal.retry_after_ms / _MILLISECONDS)
        response.headers['Retry-After'] = str(seconds)
    return response


def _get_status(answer: PipelineAnswer) -> int:
    if answer.refusal is None:
        return web.HTTPOk.status_code
    if answer.outcome is Outcome.not_run:
        return _STATUS_BY_REASON.get(
            answer.refusal.reason, _SERVICE_UNAVAILABLE
        )
    if answer.refusal.reason is Reason.bad_idempotency_key:
        return _STATUS_BY_REASON[Reason.bad_idempotency_key]
    return _BAD_GATEWAY
