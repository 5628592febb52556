"""Make a single attempt at one upstream instance."""

from dataclasses import dataclass, replace

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ConnectionTimeoutError,
    web,
)
from multidict import CIMultiDictProxy
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.exchange import AttemptMetadata, ResponseMetadata
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform.request_wire import make_upstream_headers
from ragworthollow.platform.response_wire import (
    make_caller_headers,
    read_response_metadata,
)
from ragworthollow.transport import bounded_reading, target_url
from ragworthollow.transport.exchange import Exchange
from ragworthollow.transport.foreign_response_error import (
    ForeignResponseError,
)
from ragworthollow.transport.paced_response import PacedResponse
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.response_metadata import (
    apply_response_metadata,
)
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'attempt'
_INPUTS_GONE_STATUS = 409
# Statuses by which callers conclude that the request did not run.  An upstream
# that sends one without verified metadata may still have run the request.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamResponse:
    """
    Hold a complete upstream response.

    Attributes
    ----------
    status : int
        Status code sent by the upstream.
    headers : CIMultiDictProxy
        Headers as received.
    body : bytes
        Complete body.
    exchange : Exchange
        Where it came from.
    """

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    exchange: Exchange


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptPlan:
    """
    Hold the parameters of one attempt.

    Attributes
    ----------
    instance : UpstreamInstance
        Target instance.
    planned_ms : float
        Time on the boot-time clock, in milliseconds.
    timeout_ms : float
        Timeout for the complete response, or for the head of a stream.
    inputs : tuple of str
        Handles of the stage results that the upstream reads.
    last_event_id : str
        Event after which a stream resumes; empty to start at the beginning.
    """

    instance: UpstreamInstance
    planned_ms: float
    timeout_ms: float
    inputs: tuple[str, ...] = ()
    last_event_id: str = ''


OpenResult = Result[ClientResponse, UpstreamFailure]
FetchResult = Result[UpstreamResponse, UpstreamFailure]


async def open_response(
    context: GatewayContext,
    job: RequestJob,
    plan: AttemptPlan,
) -> OpenResult:
    """
    Send a request and read the head of its response.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    job : RequestJob
        Request to send.
    plan : AttemptPlan
        Parameters of the attempt.

    Returns
    -------
    Result
        The open response, which the calling function has to close, or a
        failure that states whether the request may have run.
    """
    address = plan.instance.address
    sent_ms = get_boottime_ms()
    headers = make_upstream_headers(
        job.request.headers,
        AttemptMetadata(
            instance=plan.instance.instance,
            organisation=job.get_organisation(),
            time_limit_ms=job.get_remaining_ms(),
            priority=job.get_priority(),
            inputs=plan.inputs,
            last_event_id=plan.last_event_id,
        ),
    )
    try:
        async with context.exchanges.time_limits.limit(plan.timeout_ms):
            response = await context.upstream_session.request(
                job.request.method,
                target_url.make_target_url(address, job.request.raw_path),
                headers=headers,
                data=job.body or None,
                allow_redirects=False,
                timeout=make_timeout(
                    job.get_remaining_ms(),
                    global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
                ),
            )
    except (ClientError, OSError, ValueError) as error:
        reason, outcome = _classify_error(error)
        return _make_error(plan, reason, error, outcome)
    return _check_response_head(context, job, plan, response, sent_ms)


async def fetch_response(
    context: GatewayContext,
    job: RequestJob,
    plan: AttemptPlan,
) -> FetchResult:
    """
    Send a request and read its complete response.

    Returns
    -------
    Result
        The complete response, or a failure that states whether the request
        may have run.
    """
    end_ms = get_monotonic_ms() + plan.timeout_ms
    opened = await open_response(context, job, plan)
    if isinstance(opened, Err):
        return opened
    response = opened.ok_value
    time_limit = context.exchanges.time_limits.limit(
        end_ms - get_monotonic_ms()
    )
    try:
        with context.exchanges.guard.answers.read() as reading:
            async with time_limit:
                body = await bounded_reading.read_bounded(
                    response, global_settings.MAX_RESPONSE_BYTES, reading
                )
    except TimeoutError as error:
        return _make_error(plan, Reason.attempt_timeout, error, Outcome.unknown)
    except (ClientError, OSError) as error:
        return _make_error(plan, Reason.truncated, error, Outcome.unknown)
    finally:
        response.close()
    return Ok(
        UpstreamResponse(
            status=response.status,
            headers=response.headers,
            body=body,
            exchange=response.exchange,
        ),
    )


def _classify_error(error: Exception) -> tuple[Reason, Outcome]:
    if isinstance(error, ClientConnectorError | ConnectionTimeoutError):
        # No connection was established, so nothing was sent.
        return Reason.connect_failed, Outcome.not_run
    if isinstance(error, TimeoutError):
        return Reason.attempt_timeout, Outcome.unknown
    if isinstance(error, ForeignResponseError):
        return Reason.mismatched_answer, Outcome.unknown
    return Reason.connection_lost, Outcome.unknown


def _check_response_head(
    context: GatewayContext,
    job: RequestJob,
    plan: AttemptPlan,
    response: ClientResponse,
    sent_ms: float,
) -> OpenResult:
    metadata = read_response_metadata(response.status, response.headers)
    if metadata.request_id == job.request_parameters.request_id:
        apply_response_metadata(
            context,
            plan.instance,
            metadata,
            sent_ms=sent_ms,
            is_authentic=metadata.is_signed or metadata.is_not_run,
        )
    failure = _classify_response(job, plan, response.status, metadata)
    if failure is None:
        return Ok(response)
    response.close()
    return Err(replace(failure, exchange=response.exchange))


def _classify_response(
    job: RequestJob,
    plan: AttemptPlan,
    status: int,
    metadata: ResponseMetadata,
) -> UpstreamFailure | None:
    if metadata.request_id != job.request_parameters.request_id:
        return _make_status_failure(
            plan, Reason.mismatched_answer, status, Outcome.unknown
        )
    if metadata.is_misdirected:
        return _make_status_failure(
            plan, Reason.misdirected, status, Outcome.not_run
        )
    if metadata.is_not_run and status == _INPUTS_GONE_STATUS:
        return _make_status_failure(
            plan, Reason.inputs_gone, status, Outcome.not_run
        )
    if metadata.is_not_run:
        return _make_status_failure(
            plan, Reason.upstream_full, status, Outcome.not_run
        )
    is_usable = metadata.is_signed and metadata.is_valid
    if status in _NOT_RUN_STATUSES or not is_usable:
        return _make_status_failure(
            plan, Reason.upstream_error, status, Outcome.unknown
        )
    return None


def _make_status_failure(
    plan: AttemptPlan,
    reason: Reason,
    status: int,
    outcome: Outcome,
) -> UpstreamFailure:
    return UpstreamFailure(
        outcome=outcome,
        reason=reason,
        step=_STEP,
        peer=plan.instance.instance,
        detail=f'status {status}',
    )


def _make_error(
    plan: AttemptPlan,
    reason: Reason,
    error: Exception,
    outcome: Outcome,
) -> Err[UpstreamFailure]:
    return Err(
        UpstreamFailure(
            outcome=outcome,
            reason=reason,
            step=_STEP,
            peer=plan.instance.instance,
            detail=repr(error),
        ),
    )


def render_response(response: UpstreamResponse) -> web.Response:
    """Convert an upstream response into the response to the caller."""
    return PacedResponse(
        status=response.status,
        headers=make_caller_headers(response.headers),
        body=response.body,
    )
