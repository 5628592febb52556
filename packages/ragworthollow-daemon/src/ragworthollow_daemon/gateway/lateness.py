"""Refuse requests that are expected to miss their objective."""

from collections.abc import Callable, Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'front'

GetWaits = Callable[[Iterable[str], int], Mapping[str, float]]


def refuse_if_late(
    job: RequestJob,
    estimate: LatencyEstimate,
    get_waits_ms: GetWaits,
) -> UpstreamFailure | None:
    """
    Refuse a request that is expected to be late, before any work is done.

    Parameters
    ----------
    job : RequestJob
        The request.
    estimate : LatencyEstimate
        Estimates of the time that the request takes.
    get_waits_ms : callable
        Returns the expected waits in milliseconds by pool, given the pools
        and a priority.

    Returns
    -------
    UpstreamFailure or None
        The refusal; None if the request is admitted.
    """
    pools = {stage.pool for stage in job.route.stages}
    waits_ms = get_waits_ms(pools, job.get_rank())
    late_ms = estimate.estimate_lateness_ms(waits_ms)
    allowed_ms = _get_allowed_lateness_ms(job)
    if late_ms <= allowed_ms:
        return None
    return UpstreamFailure(
        outcome=Outcome.not_run,
        reason=Reason.overloaded,
        step=_STEP,
        peer=max(waits_ms, key=waits_ms.get),
        detail=(
            f'expected {late_ms:.0f} ms late after {job.waited_ms:.0f} ms; '
            f'waits {waits_ms}'
        ),
        # By then the queue is short enough for the request to be admitted.
        retry_after_ms=max(
            global_settings.GATEWAY_RETRY_AFTER_MS,
            late_ms - allowed_ms,
        ),
    )


def _get_allowed_lateness_ms(job: RequestJob) -> float:
    """
    Return the expected lateness up to which a request is admitted.

    The throughput of a saturated pool does not depend on the length of its
    queue, but if the wait in the queue equals the slack of the requests, half
    of them narrowly miss their objective.  New requests therefore need a
    margin.  A caller that retries after a refusal takes precedence over
    new ones while it can be served in time, so that it is not refused
    repeatedly.
    """
    if job.waited_ms:
        return global_settings.ADMISSION_GRACE_MS
    return -global_settings.ADMISSION_MARGIN * job.route.objective_ms
