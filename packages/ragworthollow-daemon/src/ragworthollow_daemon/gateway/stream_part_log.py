"""Log what each upstream has contributed to a stream."""

from ragworthollow.logs.events import log_event
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.attempt import AttemptPlan
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.event_sequence import EventSequence
from ragworthollow_daemon.gateway.request_job import RequestJob

_STEP = 'forward'


def log_stream_part(
    context: GatewayContext,
    job: RequestJob,
    plan: AttemptPlan,
    sequence: EventSequence,
    response_id: str,
) -> None:
    """
    Log one part of a relayed stream when it has ended.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        The request.
    plan : AttemptPlan
        The attempt that brought the part.
    sequence : EventSequence
        Ids of its events.
    response_id : str
        Request that the response belongs to, according to the upstream.
    """
    instance = plan.instance
    log_event(
        'stream_part',
        step=_STEP,
        request_id=job.request_parameters.request_id,
        route=job.route.name,
        pool=job.pool,
        peer=instance.instance,
        started_unix_ms=instance.started_unix_ms,
        software_version=instance.software_version,
        list_age_ms=round(
            get_monotonic_ms() - context.directory.updated_ms,
        ),
        response_id=response_id,
        caller_resumed_after=job.request_parameters.last_event_id,
        resumes_request_id=job.request_parameters.resumes_request_id,
        resumed_after=sequence.part_resumed_after,
        first_event_id=sequence.part_first_id,
        last_event_id=sequence.last_event_id,
        numbering=sequence.numbering,
    )
