"""Decide which attempts are made for a request."""

import asyncio
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType

from aiohttp import web
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.quarantine import RunningRequest
from ragworthollow.routes.allowed_regions import is_region_allowed
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.attempt import (
    AttemptPlan,
    UpstreamResponse,
    render_response,
)
from ragworthollow_daemon.gateway.attempt_failures import (
    CONNECTION_LOSS_REASONS,
    SUSPECT_REASONS,
)
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.instance_selection import InstanceSelection
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'forward'
_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)
_NO_FIELDS: Mapping[str, object] = MappingProxyType({})

ForwardResult = Result[web.StreamResponse, UpstreamFailure]


class AttemptSeries:
    """
    Track the attempts of one request and plan the next one.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        Request to answer.
    inputs : tuple of str
        Handles of its stage results.
    expected_engine : str
        Engine near which its stages were made; empty if there is none.

    Attributes
    ----------
    job : RequestJob
        Request to answer.
    selection : InstanceSelection
        Selects the instances of the attempts.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        job: RequestJob,
        inputs: tuple[str, ...],
        expected_engine: str = '',
    ) -> None:
        self.job = job
        self._context = context
        self._inputs = inputs
        self._created_ms = get_monotonic_ms()
        self._throttle = PoolThrottle(context=context, pool=job.pool)
        self._allowed_regions = job.get_allowed_regions()
        self.selection = InstanceSelection(
            context=context, job=job, expected_engine=expected_engine
        )
        self._sent_attempts = 0
        # Attempts that the limit of the route applies to: not those that
        # reached another instance than the one they were meant for.
        self._counted_attempts = 0
        self._may_have_run = False
        self._last_failure: UpstreamFailure | None = None
        self._error_response: UpstreamResponse | None = None

    def choose_instance(self) -> UpstreamInstance | None:
        """Choose the instance for the next attempt."""
        return self.selection.choose(
            [
                instance
                for instance in self._throttle.get_available()
                if is_region_allowed(instance.region, self._allowed_regions)
                and self.selection.binding.allows(instance)
            ]
        )

    def plan_next(
        self,
        last_event_id: str = '',
    ) -> Result[AttemptPlan, UpstreamFailure]:
        """Plan the next attempt, or return why none may be made."""
        failure = (
            self._find_quarantine_failure()
            or self._find_terminal_failure()
            or self.selection.binding.find_refusal()
        )
        if failure is not None:
            return Err(failure)
        context = self._context
        instance = self.choose_instance()
        if instance is None:
            return Err(self._explain_no_instance())
        if (
            self._sent_attempts
            and not context.get_budget(self.job.pool).withdraw()
        ):
            context.metrics.count_retry(self.job.pool, 'budget_spent')
            return Err(self._last_failure)
        self._context.monitor.require(
            holds=self.job.route.is_idempotent() or not self._may_have_run,
            invariant='attempt.single_run',
            step=_STEP,
            peer=instance.instance,
            detail=self.job.request_parameters.request_id,
        )
        self.selection.tried_instances.add(instance.instance)
        self._throttle.record_sent(instance)
        return Ok(
            AttemptPlan(
                instance=instance,
                planned_ms=get_boottime_ms(),
                timeout_ms=self._get_timeout_ms(),
                inputs=self._inputs,
                last_event_id=last_event_id,
            ),
        )

    @contextmanager
    def track_in_flight(self, instance: UpstreamInstance) -> Iterator[None]:
        """Count the attempt as in flight at its instance while it runs."""
        record = self._context.load_tracker.get(instance.instance)
        record.in_flight += 1
        self.selection.record_prompt_sent(record)
        self._sent_attempts += 1
        self._counted_attempts += 1
        try:
            yield
        finally:
            record.in_flight -= 1
            self.selection.record_prompt_read()

    def is_final(self, status: int) -> bool:
        """Return whether a response is passed on instead of retried."""
        if status < _SERVER_ERROR or not self.job.route.is_idempotent():
            return True
        return self._counted_attempts >= self.job.route.max_attempts

    def record_response(
        self,
        plan: AttemptPlan,
        status: int,
        response_fields: Mapping[str, object] = _NO_FIELDS,
        began_ms: float | None = None,
    ) -> None:
        """
        Record a response that is passed on to the caller.

        Parameters
        ----------
        plan : AttemptPlan
            The attempt that succeeded.
        status : int
            HTTP status of the response.
        response_fields : mapping of str to object
            Log fields on the response.
        began_ms : float, optional
            When the first event of a stream arrived, on the monotonic clock;
            now if absent.
        """
        self._context.load_tracker.record_success(plan.instance.instance)
        if status in _SUCCESS_STATUSES:
            self._context.quarantine.record_success(self.job.get_fingerprints())
        if began_ms is None:
            began_ms = get_monotonic_ms()
        late_ms = began_ms - self.job.get_objective_deadline_ms()
        self._log(
            plan,
            'answered',
            status=status,
            late_ms=round(late_ms),
            began_after_ms=round(began_ms - self.job.received_ms),
            **response_fields,
        )

    def record_error_response(
        self,
        plan: AttemptPlan,
        response: UpstreamResponse,
    ) -> None:
        """Record an upstream error response that may be retried."""
        self._error_response = response
        self.record_failure(
            plan,
            UpstreamFailure(
                outcome=Outcome.failed,
                reason=Reason.upstream_error,
                step=_STEP,
                peer=plan.instance.instance,
                detail=f'status {response.status}',
                exchange=response.exchange,
            ),
        )

    def record_failure(
        self,
        plan: AttemptPlan,
        failure: UpstreamFailure,
        response_fields: Mapping[str, object] = _NO_FIELDS,
    ) -> None:
        """Record a failed attempt."""
        self._context.metrics.count_attempt(
            self.job.pool,
            failure.outcome,
            failure.reason,
        )
        if failure.reason in SUSPECT_REASONS:
            self._context.mark_suspect(plan.instance)
        if failure.reason in CONNECTION_LOSS_REASONS:
            self._context.quarantine.record_connection_loss(
                plan.instance,
                (
                    RunningRequest(
                        fingerprint=self.job.fingerprint,
                        part_fingerprints=self.job.part_fingerprints,
                        started_ms=plan.planned_ms,
                    ),
                ),
            )
        if failure.reason is Reason.connect_failed:
            # Nothing was sent, so the upstream does not count this attempt.
            self._sent_attempts -= 1
            self._counted_attempts -= 1
        if failure.reason is Reason.misdirected:
            self._counted_attempts -= 1
        if failure.outcome is not Outcome.not_run:
            self._may_have_run = True
        self._last_failure = self._adjust_outcome(failure)
        self._log(
            plan,
            'attempt_failed',
            reason=failure.reason,
            outcome=failure.outcome,
            detail=failure.detail,
            **failure.describe_exchange(),
            **response_fields,
        )

    async def wait_for_crash_check(self, plan: AttemptPlan) -> None:
        """Wait for the crash check of an attempt if a retry may follow."""
        if self._find_terminal_failure() is None:
            await self._context.quarantine.wait_for_crash_check(plan.instance)

    def abort(self, failure: UpstreamFailure) -> ForwardResult:
        """
        End the request without a successful response.

        An error response that an upstream has signed is more informative than
        one generated here, so it is passed on to the caller if there is one.
        """
        if self._error_response is None:
            return Err(failure)
        return Ok(render_response(self._error_response))

    async def wait_while_throttled(self) -> None:
        """
        Wait while all instances are throttled, if stage work has been done.

        That work would be wasted otherwise.  A request without any work done
        is refused at once, with the time after which to retry.
        """
        if not self._inputs or self._sent_attempts:
            return
        while self.choose_instance() is None:
            wait_ms = self._throttle.get_pool_wait_ms(
                self.selection.tried_instances
            )
            remaining_ms = (
                self.job.get_objective_deadline_ms() - get_monotonic_ms()
            )
            if not wait_ms or wait_ms > remaining_ms:
                return
            await asyncio.sleep(wait_ms / 1000)

    def _explain_no_instance(self) -> UpstreamFailure:
        pause_ms = self._context.directory.get_pool_pause_ms(self.job.pool)
        if pause_ms:
            return self._make_failure(Reason.upstream_paused, pause_ms)
        refusal = self._throttle.find_refusal(self.selection.tried_instances)
        if refusal is not None:
            return self._make_failure(
                refusal.reason,
                refusal.retry_after_ms,
            )
        if self._last_failure is not None:
            return self._last_failure
        if self._context.directory.is_pool_drained(self.job.pool):
            return self._make_failure(Reason.domain_drained)
        return self._make_failure(Reason.no_instance)

    def _find_quarantine_failure(self) -> UpstreamFailure | None:
        remaining_ms = self._context.quarantine.get_remaining_ms(
            self.job.get_fingerprints()
        )
        if not remaining_ms:
            return None
        return self._make_failure(Reason.quarantined, remaining_ms)

    def _find_terminal_failure(self) -> UpstreamFailure | None:
        job = self.job
        if job.get_remaining_ms() <= 0:
            return self._last_failure or self._make_failure(
                Reason.deadline_exceeded
            )
        if self._last_failure is None:
            return None
        if self._may_have_run and not job.route.is_idempotent():
            return self._last_failure
        if self._counted_attempts >= job.route.max_attempts:
            return self._last_failure
        if self._last_failure.reason is Reason.inputs_gone:
            return self._last_failure
        return None

    def _get_timeout_ms(self) -> float:
        remaining_ms = max(1, self.job.get_remaining_ms())
        may_retry = (
            self.job.route.is_idempotent()
            and self._counted_attempts + 1 < self.job.route.max_attempts
        )
        if may_retry:
            return remaining_ms * global_settings.ATTEMPT_TIME_SHARE
        return remaining_ms

    def _adjust_outcome(self, failure: UpstreamFailure) -> UpstreamFailure:
        """Report `not_run` only if no earlier attempt may have run."""
        if not self._may_have_run or failure.outcome is not Outcome.not_run:
            return failure
        return UpstreamFailure(
            outcome=Outcome.unknown,
            reason=failure.reason,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            exchange=failure.exchange,
        )

    def _make_failure(
        self,
        reason: Reason,
        retry_after_ms: float | None = None,
    ) -> UpstreamFailure:
        return UpstreamFailure(
            outcome=(
                Outcome.unknown if self._may_have_run else Outcome.not_run
            ),
            reason=reason,
            step=_STEP,
            peer=self.job.pool,
            retry_after_ms=retry_after_ms,
        )

    def _log(self, plan: AttemptPlan, event: str, **fields: object) -> None:
        record = self._context.load_tracker.get(plan.instance.instance)
        log_event(
            event,
            step=_STEP,
            request_id=self.job.request_parameters.request_id,
            fingerprint=self.job.fingerprint,
            peer=plan.instance.instance,
            failure_domain=plan.instance.failure_domain,
            pool=self.job.pool,
            attempt=self._sent_attempts,
            route=self.job.route.name,
            rank=self.job.get_rank(),
            organisation=self.job.get_organisation(),
            staged_ms=round(self._created_ms - self.job.received_ms),
            **self.selection.describe(),
            in_flight=record.in_flight,
            others=record.get_other_requests(get_monotonic_ms()),
            left_ms=round(self.job.get_remaining_ms()),
            list_age_ms=round(
                get_monotonic_ms() - self._context.directory.updated_ms,
            ),
            **fields,
        )
