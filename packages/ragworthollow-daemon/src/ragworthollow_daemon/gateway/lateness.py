"""Refuse at once what would miss its objective on the whole way."""

from collections.abc import Callable, Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stage_way import StageWay
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'front'

GetWaits = Callable[[Iterable[str], int], Mapping[str, float]]


def refuse_late(
    job: RequestJob,
    way: StageWay,
    get_waits_ms: GetWaits,
) -> UpstreamFailure | None:
    """
    Judge a request before anything was spent on it.

    Parameters
    ----------
    job : RequestJob
        The request.
    way : StageWay
        What its stages are expected to take.
    get_waits_ms : callable
        Tells the expected waits by pool for a priority.

    Returns
    -------
    UpstreamFailure or None
        None lets it in.
    """
    pools = {stage.pool for stage in job.route.stages}
    waits_ms = get_waits_ms(pools, job.get_priority())
    late_ms = way.find_lateness_ms(waits_ms)
    allowed_ms = _get_allowed_ms(job)
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
        # Until then the queue is worked off so far that it would be let in.
        retry_after_ms=max(
            global_settings.GATEWAY_RETRY_AFTER_MS,
            late_ms - allowed_ms,
        ),
    )


def _get_allowed_ms(job: RequestJob) -> float:
    """
    Return the expected lateness up to which a request is taken.

    The throughput of a full pool is the same behind a short queue as behind
    a long one, but behind one as long as the slack of its requests half of
    them miss their objective by a little.  So a new request needs a margin.
    A caller that was refused and came back goes before new ones while it can
    be served in time, so that it is not sent away again and again.
    """
    if job.waited_ms:
        return global_settings.ADMISSION_GRACE_MS
    return -global_settings.ADMISSION_MARGIN * job.route.objective_ms
