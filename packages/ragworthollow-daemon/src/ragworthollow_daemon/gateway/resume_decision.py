"""Decide at which software version a caller's stream may go on."""

import math
from dataclasses import dataclass

from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.upstreams import Directory, PoolVersions, StreamOrigin
from ragworthollow.upstreams.recorded_streams import RecordedStream
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'resume'
_READ_SOURCES = frozenset(('versions', 'unobserved', 'pools'))
_ASKED_SOURCES = frozenset((*_READ_SOURCES, 'stale', 'unread'))


@dataclass(frozen=True, kw_only=True, slots=True)
class ResumeDecision:
    """
    Hold whether and at which software version a stream may go on.

    Attributes
    ----------
    source : str
        What it follows from: `record` (the stream began here, or a peer knows
        it), `store` (it is recorded there), `list` (the pool has had one
        version), `uncertain` (the version that began it is not certain),
        `versions` (the pool has had several), `stale` (the list is too old),
        `unread` (the store did not confirm that the pool has had one version),
        `unobserved` (this gateway has not seen the lists of the stream's time),
        `pools` (it may have begun in another pool than that of its route),
        `moved` (it began in another pool than that of its route) or `gone` (no
        instance of the version is left).
    software_version : str or None
        Version at which it may go on; None if it may not.
    age_ms : float or None
        Age of the record; None without one.
    retry_after_ms : float or None
        When a refused caller may find that the pool has had one version only.
    """

    source: str
    software_version: str | None = None
    age_ms: float | None = None
    retry_after_ms: float | None = None

    def is_inferred(self) -> bool:
        """Return whether it follows from what this gateway has not seen."""
        return self.source == 'list'

    def is_recorded_in_store(self) -> bool:
        """Return whether the store has told the version."""
        return self.source == 'store'

    def may_be_in_store(self) -> bool:
        """Return whether a read of the store may tell more of the stream."""
        return self.source in _READ_SOURCES

    def may_be_known_elsewhere(self) -> bool:
        """Return whether a peer may know more of the stream."""
        return self.source in _ASKED_SOURCES

    def make_refusal(self, pool: str) -> UpstreamFailure | None:
        """Return the refusal; None if the stream may go on."""
        if self.software_version is not None:
            return None
        return UpstreamFailure(
            outcome=Outcome.not_run,
            reason=Reason.version_unknown,
            step=_STEP,
            peer=pool,
            detail=self.source,
            retry_after_ms=self.retry_after_ms,
        )


def is_resume(job: RequestJob) -> bool:
    """Return whether a caller already has events of a stream."""
    caller = job.request_parameters
    has_events = caller.last_event_id or caller.resumes_request_id
    return bool(has_events) and job.route.is_stream()


def decide_resume(context: GatewayContext, job: RequestJob) -> ResumeDecision:
    """
    Decide at which software version a caller's stream may go on.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        Request that resumes a stream.
    """
    now_ms = get_monotonic_ms()
    request_id = job.request_parameters.resumes_request_id
    if not request_id:
        return _decide_by_list(context, job, now_ms)
    origin = context.directory.stream_versions.find(request_id, now_ms)
    if origin is not None:
        return _decide_by_origin(
            context,
            job,
            origin,
            source='record',
            age_ms=now_ms - origin.began_ms,
        )
    recorded = context.directory.recorded_streams.find(request_id)
    if recorded is not None:
        return _decide_by_origin(context, job, recorded, source='store')
    return _decide_by_list(context, job, now_ms)


def _decide_by_origin(
    context: GatewayContext,
    job: RequestJob,
    origin: StreamOrigin | RecordedStream,
    *,
    source: str,
    age_ms: float | None = None,
) -> ResumeDecision:
    """Decide for a stream of which it is known what began it."""
    version = origin.software_version
    if version is None:
        return ResumeDecision(source='uncertain', age_ms=age_ms)
    if origin.pool != job.pool:
        return ResumeDecision(source='moved', age_ms=age_ms)
    instances = context.directory.get_pool(job.pool)
    if all(instance.software_version != version for instance in instances):
        return ResumeDecision(source='gone', age_ms=age_ms)
    return ResumeDecision(
        source=source, software_version=version, age_ms=age_ms
    )


def _decide_by_list(
    context: GatewayContext, job: RequestJob, now_ms: float
) -> ResumeDecision:
    """Decide for a stream that may have begun at any version of its time."""
    directory = context.directory
    spread_ms = context.settings.leaving_bound_ms
    if directory.observation.get_age_ms() > spread_ms:
        return ResumeDecision(source='stale')
    window_ms = job.route.timeout_ms + spread_ms
    if _may_be_in_other_pool(context, job, now_ms):
        return ResumeDecision(source='pools', retry_after_ms=window_ms)
    last_known_ms = dict(
        directory.versions.get_last_listed_ms(job.pool, now_ms - window_ms)
    )
    recorded = directory.recorded_versions.get(job.pool)
    if recorded is not None:
        for version in recorded.list_all():
            last_known_ms.setdefault(version, now_ms)
    observed_ms = now_ms - directory.observation.since_ms
    if len(last_known_ms) == 1 and recorded is None and observed_ms < window_ms:
        return ResumeDecision(
            source='unobserved', retry_after_ms=window_ms - observed_ms
        )
    if len(last_known_ms) == 1:
        return ResumeDecision(
            source='list', software_version=next(iter(last_known_ms))
        )
    # One version may stay; the others have to be out of the window.
    others_ms = sorted(last_known_ms.values())[:-1]
    return ResumeDecision(
        source='versions',
        retry_after_ms=max(others_ms, default=now_ms) + window_ms - now_ms,
    )


def _may_be_in_other_pool(
    context: GatewayContext, job: RequestJob, now_ms: float
) -> bool:
    pools = context.directory.route_history.find_pools(
        job.route.host,
        job.get_path(),
        request_id=job.request_parameters.resumes_request_id,
        now_ms=now_ms,
        spread_ms=context.settings.leaving_bound_ms,
    )
    return pools != {job.pool}


def log_resume(
    context: GatewayContext, job: RequestJob, decision: ResumeDecision
) -> None:
    """Count and log a decision."""
    may_go_on = decision.software_version is not None
    outcome = 'allowed' if may_go_on else 'refused'
    context.metrics.count_event(f'resume_{outcome}_{decision.source}')
    caller = job.request_parameters
    directory = context.directory
    now_ms = get_monotonic_ms()
    log_event(
        'resume_decided',
        step=_STEP,
        request_id=caller.request_id,
        resumes_request_id=caller.resumes_request_id,
        last_event_id=caller.last_event_id,
        route=job.route.name,
        pool=job.pool,
        outcome=outcome,
        source=decision.source,
        software_version=decision.software_version,
        age_ms=decision.age_ms,
        list_age_ms=round(directory.observation.get_age_ms()),
        observed_ms=round(now_ms - directory.observation.since_ms),
        listed_ms_ago=_get_listed_ms_ago(directory, job.pool, now_ms),
        recorded_versions=sorted(
            directory.recorded_versions.get(job.pool, PoolVersions()).list_all()
        ),
        retry_after_ms=decision.retry_after_ms,
    )


def _get_listed_ms_ago(
    directory: Directory, pool: str, now_ms: float
) -> dict[str, int]:
    """Return how long ago each version of a pool was listed last."""
    last_listed_ms = directory.versions.get_last_listed_ms(pool, -math.inf)
    return {
        version: round(now_ms - listed_ms)
        for version, listed_ms in last_listed_ms.items()
    }
