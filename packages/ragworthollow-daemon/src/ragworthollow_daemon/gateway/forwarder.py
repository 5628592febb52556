"""Forward requests to upstream instances until one responds."""

import asyncio
from collections.abc import Callable

from aiohttp import ClientError, ClientResponse, web
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.attempt import (
    AttemptPlan,
    OpenResult,
    UpstreamResponse,
    fetch_response,
    open_response,
    render_response,
)
from ragworthollow_daemon.gateway.attempt_series import (
    AttemptSeries,
    ForwardResult,
)
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.event_order_error import EventOrderError
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.response_progress import ResponseProgress
from ragworthollow_daemon.gateway.stream_part_log import log_stream_part
from ragworthollow_daemon.gateway.stream_relay import StreamRelay
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'forward'
_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)


class Forwarder:
    """
    Make attempts until one gets a response or no further one is allowed.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context

    def predict_instance(self, job: RequestJob) -> UpstreamInstance | None:
        """Return the instance that a request would be sent to now."""
        series = AttemptSeries(context=self._context, job=job, inputs=())
        return series.choose_instance()

    async def forward(
        self,
        job: RequestJob,
        inputs: tuple[str, ...],
        on_inputs_read: Callable[[], None],
        progress: ResponseProgress,
        expected: UpstreamInstance | None = None,
    ) -> ForwardResult:
        """
        Forward a request and return the response to its caller.

        Parameters
        ----------
        job : RequestJob
            Request to answer.
        inputs : tuple of str
            Handles of its stage results.
        on_inputs_read : callable
            Called when the upstream should have read the inputs; may be called
            more than once.
        progress : ResponseProgress
            Updated with the current attempt and the start of the response.
        expected : UpstreamInstance, optional
            Instance near which the inputs were made.

        Returns
        -------
        Result
            The response, either finished or ready to be sent, or why there is
            none.
        """
        self._context.get_budget(job.pool).deposit()
        series = AttemptSeries(
            context=self._context,
            job=job,
            inputs=inputs,
            expected_engine='' if expected is None else expected.instance,
        )
        if job.route.is_stream():
            return await self._relay(series, on_inputs_read, progress)
        return await self._fetch(series, progress)

    async def _fetch(
        self,
        series: AttemptSeries,
        progress: ResponseProgress,
    ) -> ForwardResult:
        job = series.job
        while True:
            await series.wait_while_throttled()
            planned = series.plan_next()
            if isinstance(planned, Err):
                return series.abort(planned.err_value)
            plan = planned.ok_value
            progress.step = _STEP
            progress.peer = plan.instance.instance
            with series.track_in_flight(plan.instance):
                fetched = await fetch_response(self._context, job, plan)
            if isinstance(fetched, Err):
                series.record_failure(plan, fetched.err_value)
            elif series.is_final(fetched.ok_value.status):
                response = fetched.ok_value
                series.record_response(
                    plan, response.status, response.exchange.describe()
                )
                return Ok(render_response(response))
            else:
                series.record_error_response(plan, fetched.ok_value)
            await series.wait_for_crash_check(plan)

    async def _relay(
        self,
        series: AttemptSeries,
        on_inputs_read: Callable[[], None],
        progress: ResponseProgress,
    ) -> ForwardResult:
        relay = StreamRelay(
            job=series.job,
            progress=progress,
            is_draining=lambda: self._context.drain.is_draining,
        )
        while True:
            await series.wait_while_throttled()
            planned = series.plan_next(relay.get_last_event_id())
            if isinstance(planned, Err):
                if relay.is_started():
                    raise relay.abort(planned.err_value)
                return series.abort(planned.err_value)
            plan = planned.ok_value
            progress.step = _STEP
            progress.peer = plan.instance.instance
            with series.track_in_flight(plan.instance):
                response = await self._relay_attempt(
                    series, plan, relay, on_inputs_read
                )
            if response is not None:
                return Ok(response)
            await series.wait_for_crash_check(plan)

    async def _relay_attempt(
        self,
        series: AttemptSeries,
        plan: AttemptPlan,
        relay: StreamRelay,
        on_inputs_read: Callable[[], None],
    ) -> web.StreamResponse | None:
        on_first_event = self._make_first_event_callback(
            series, plan, on_inputs_read
        )
        opened = await self._open_and_release_inputs(
            series, plan, on_inputs_read
        )
        if isinstance(opened, Err):
            series.record_failure(plan, opened.err_value)
            return None
        upstream = opened.ok_value
        try:
            if upstream.status not in _SUCCESS_STATUSES:
                return await self._pass_error_response(
                    series, plan, relay, upstream
                )
            await relay.start(upstream, self._find_numbering(series, plan))
            await relay.relay_events(upstream, on_first_event)
        except (TimeoutError, ClientError) as error:
            series.record_failure(
                plan,
                _make_stream_failure(plan, upstream, error),
                relay.describe_end(),
            )
            return None
        finally:
            upstream.close()
            self._record_part(series, plan, relay, upstream)
        series.record_response(
            plan,
            upstream.status,
            {**upstream.exchange.describe(), **relay.describe_end()},
            began_ms=relay.timing.first_event_ms,
        )
        return await relay.finish()

    def _find_numbering(
        self, series: AttemptSeries, plan: AttemptPlan
    ) -> EventNumbering | None:
        return self._context.directory.event_numberings.find(
            series.job.route.name, plan.instance.software_version
        )

    def _record_part(
        self,
        series: AttemptSeries,
        plan: AttemptPlan,
        relay: StreamRelay,
        upstream: ClientResponse,
    ) -> None:
        if upstream.status in _SUCCESS_STATUSES:
            self._context.directory.event_numberings.record(
                series.job.route.name,
                plan.instance.software_version,
                relay.sequence.numbering,
            )
            log_stream_part(
                self._context,
                series.job,
                plan,
                relay.sequence,
                upstream.exchange.response_id,
            )

    def _make_first_event_callback(
        self,
        series: AttemptSeries,
        plan: AttemptPlan,
        on_inputs_read: Callable[[], None],
    ) -> Callable[[], None]:
        """Make a callback that records the first event of an attempt."""
        job = series.job
        sent_ms = get_monotonic_ms()
        is_recorded = False

        def record_event() -> None:
            nonlocal is_recorded
            if not is_recorded:
                is_recorded = True
                series.selection.binding.bind(plan.instance)
                series.selection.record_prompt_read()
                self._context.engine_view.get_first_event_latency(
                    job.pool
                ).record(
                    job.request_parameters.prompt_tokens,
                    get_monotonic_ms() - sent_ms,
                )
            on_inputs_read()

        return record_event

    async def _open_and_release_inputs(
        self,
        series: AttemptSeries,
        plan: AttemptPlan,
        on_inputs_read: Callable[[], None],
    ) -> OpenResult:
        """
        Open a stream, and release its inputs before its first event.

        An engine with a free slot reads the inputs at once and processes the
        prompt afterwards.  Releasing them only at the first event would keep
        them for the duration of the prompt, while the pool that produced them
        is short of space for results.
        """
        record = self._context.load_tracker.get(plan.instance.instance)
        depth = record.in_flight + record.get_other_requests(get_monotonic_ms())
        opening_response = open_response(self._context, series.job, plan)
        if depth > plan.instance.slots:
            return await opening_response
        release_timer = asyncio.get_running_loop().call_later(
            global_settings.ENGINE_INPUTS_READ_MS / 1000,
            on_inputs_read,
        )
        try:
            return await opening_response
        finally:
            release_timer.cancel()

    async def _pass_error_response(
        self,
        series: AttemptSeries,
        plan: AttemptPlan,
        relay: StreamRelay,
        upstream: ClientResponse,
    ) -> web.StreamResponse | None:
        guard = self._context.exchanges.guard
        with guard.answers.read() as reading:
            body = await read_bounded(
                upstream, global_settings.MAX_RESPONSE_BYTES, reading
            )
        response = UpstreamResponse(
            status=upstream.status,
            headers=upstream.headers,
            body=body,
            exchange=upstream.exchange,
        )
        if relay.is_started() or not series.is_final(response.status):
            series.record_error_response(plan, response)
            return None
        series.record_response(
            plan, response.status, response.exchange.describe()
        )
        return render_response(response)


def _make_stream_failure(
    plan: AttemptPlan,
    upstream: ClientResponse,
    error: Exception,
) -> UpstreamFailure:
    is_out_of_order = isinstance(error, EventOrderError)
    return UpstreamFailure(
        outcome=Outcome.unknown,
        reason=(
            Reason.events_out_of_order if is_out_of_order else Reason.truncated
        ),
        step=_STEP,
        peer=plan.instance.instance,
        detail=repr(error),
        exchange=upstream.exchange,
    )
