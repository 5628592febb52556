"""Find out at which software version a caller's stream may go on."""

from ragworthollow.conf import global_settings
from ragworthollow.upstreams import StreamOrigin
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.resume_decision import (
    ResumeDecision,
    decide_resume,
    log_resume,
)
from ragworthollow_daemon.gateway.stream_origin_client import (
    StreamOriginClient,
)
from ragworthollow_daemon.gateway.stream_records import StreamRecords
from ragworthollow_daemon.gateway.version_records import VersionRecords


class ResumeResolver:
    """
    Ask the store and the peers for what this gateway does not know.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    versions : VersionRecords
        Records of the versions of pools in the store.
    streams : StreamRecords
        Records of what began streams in the store.
    origins : StreamOriginClient
        Asks the peers.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        versions: VersionRecords,
        streams: StreamRecords,
        origins: StreamOriginClient,
    ) -> None:
        self._context = context
        self._versions = versions
        self._streams = streams
        self._origins = origins

    async def resolve(self, job: RequestJob) -> ResumeDecision:
        """
        Decide at which version a stream may go on, and log the decision.

        Parameters
        ----------
        job : RequestJob
            Request that resumes a stream.
        """
        decision = decide_resume(self._context, job)
        if decision.is_inferred():
            decision = await self._confirm_inference(job)
        request_id = job.request_parameters.resumes_request_id
        if request_id and decision.may_be_in_store():
            await self._streams.refresh(self._get_limit_ms(job))
            decision = decide_resume(self._context, job)
        may_ask = decision.may_be_known_elsewhere() and request_id
        if may_ask and await self._origins.fetch(request_id):
            decision = decide_resume(self._context, job)
        if decision.is_recorded_in_store():
            decision = await self._confirm_record(job, decision)
        log_resume(self._context, job, decision)
        return decision

    async def _confirm_inference(self, job: RequestJob) -> ResumeDecision:
        """Decide again: another version may have been announced since."""
        if await self._versions.refresh(self._get_limit_ms(job)):
            return decide_resume(self._context, job)
        return ResumeDecision(
            source='unread', retry_after_ms=global_settings.RESUME_READ_LIMIT_MS
        )

    def _get_limit_ms(self, job: RequestJob) -> float:
        return min(
            max(job.get_remaining_ms(), 0), global_settings.RESUME_READ_LIMIT_MS
        )

    async def _confirm_record(
        self, job: RequestJob, decision: ResumeDecision
    ) -> ResumeDecision:
        """Decide again with what the writer of the record knows by now."""
        request_id = job.request_parameters.resumes_request_id
        recorded = self._context.directory.recorded_streams.find(request_id)
        writers = () if recorded is None else recorded.writers
        if await self._origins.confirm(request_id, writers):
            return decide_resume(self._context, job)
        # It has ended: the record is all there is.
        self._keep_origin(job, decision)
        return decision

    def _keep_origin(self, job: RequestJob, decision: ResumeDecision) -> None:
        """Remember what the store has told, until the stream is bound."""
        now_ms = get_monotonic_ms()
        self._context.directory.stream_versions.record(
            job.request_parameters.resumes_request_id,
            StreamOrigin(
                software_version=decision.software_version,
                instance='',
                began_ms=now_ms,
                expires_ms=now_ms + job.route.timeout_ms,
                pool=job.pool,
            ),
            now_ms,
        )
