"""Bind a stream to the software version that began it."""

from ragworthollow.logs.events import log_event
from ragworthollow.upstreams import StreamOrigin, UpstreamInstance
from ragworthollow.upstreams.stream_starts import list_starting_versions
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.resume_decision import (
    decide_resume,
    is_resume,
)
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure


class StreamBinding:
    """
    Restrict the instances of one request to those that fit its stream.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        The request.
    """

    def __init__(self, *, context: GatewayContext, job: RequestJob) -> None:
        self._context = context
        self._job = job
        self._origin: UpstreamInstance | None = None
        self._version: str | None = None
        self._refusal: UpstreamFailure | None = None
        if is_resume(job):
            decision = decide_resume(context, job)
            self._version = decision.software_version
            self._refusal = decision.make_refusal(job.pool)

    def find_refusal(self) -> UpstreamFailure | None:
        """Return why the stream may go on nowhere; None if it may."""
        return self._refusal

    def allows(self, instance: UpstreamInstance) -> bool:
        """Return whether an instance may generate the next event."""
        if self._version is not None:
            is_same = instance.software_version == self._version
            return is_same and not self._is_uncertain()
        return not self._job.route.can_resume or self._may_begin_at(instance)

    def bind(self, instance: UpstreamInstance) -> None:
        """Bind the stream to the instance of its first event."""
        if self._origin is not None:
            return
        self._origin = instance
        self._version = instance.software_version
        if self._job.route.can_resume:
            self._record(instance)

    def _record(self, instance: UpstreamInstance) -> None:
        request_id = self._get_first_request_id()
        if not request_id:
            return
        now_ms = get_monotonic_ms()
        spread_ms = self._context.settings.leaving_bound_ms
        is_recorded = self._context.directory.stream_versions.record(
            request_id,
            StreamOrigin(
                software_version=instance.software_version,
                instance=instance.instance,
                began_ms=now_ms,
                expires_ms=now_ms + self._job.route.timeout_ms + spread_ms,
                pool=instance.pool,
                is_relayed_here=True,
            ),
            now_ms,
        )
        if not is_recorded:
            self._context.metrics.count_event('stream_versions_full')
            log_event(
                'stream_versions_full',
                step='resume',
                request_id=request_id,
                peer=instance.instance,
            )

    def _get_first_request_id(self) -> str:
        """Return the attempt that callers name; empty if it is not known."""
        caller = self._job.request_parameters
        if caller.resumes_request_id or caller.last_event_id:
            return caller.resumes_request_id
        return caller.request_id

    def _is_uncertain(self) -> bool:
        """Return whether the instance may have restarted before it began."""
        if self._origin is None:
            return False
        listed = self._context.directory.get(self._origin.instance)
        return listed is not None and not listed.is_same_incarnation(
            self._origin
        )

    def _may_begin_at(self, instance: UpstreamInstance) -> bool:
        return instance.software_version in list_starting_versions(
            self._context.directory,
            self._job.pool,
            get_monotonic_ms(),
            self._context.settings.leaving_bound_ms,
        )
