"""Send a call for pieces and read its response."""

import aiohttp
import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import PieceCall, PieceResult
from ragworthollow.platform.response_wire import read_response_metadata
from ragworthollow.platform.stage_wire import (
    RUN_PATH,
    decode_run,
    encode_run,
)
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.response_attribution import (
    find_mismatch,
    make_call_attribution,
)
from ragworthollow_daemon.gateway.response_metadata import (
    apply_response_metadata,
)
from ragworthollow_daemon.gateway.stage_message import StageMessage
from ragworthollow_daemon.gateway.stage_response import StageResponse
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'
_OK = 200

PieceResults = tuple[PieceResult, ...]


async def send_call(
    context: GatewayContext,
    call: PieceCall,
) -> Result[PieceResults, UpstreamFailure]:
    """
    Send a call and read its response.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    call : PieceCall
        The pieces and the instance that should process them.

    Returns
    -------
    Result
        Results in the order of the pieces, or the failure of the call.
    """
    now_ms = get_monotonic_ms()
    sent_ms = get_boottime_ms()
    pieces = tuple(waiting.piece for waiting in call.pieces)
    message = StageMessage(
        instance=call.instance,
        method='POST',
        path=RUN_PATH,
        timeout=make_timeout(
            global_settings.PIECE_CALL_TIMEOUT_MS,
            global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
        ),
        attribute=make_call_attribution(call),
        body=encode_run(pieces, now_ms),
    )
    try:
        response = await context.stage_exchange.send(message)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        return _make_failure(call, Reason.connect_failed, repr(error))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return _make_failure(
            call, Reason.connection_lost, repr(error), Outcome.unknown
        )
    return _read_response(context, call, response, sent_ms)


def _read_response(
    context: GatewayContext,
    call: PieceCall,
    response: StageResponse,
    sent_ms: float,
) -> Result[PieceResults, UpstreamFailure]:
    if response.attribution is Attribution.foreign:
        return _make_failure(
            call,
            Reason.mismatched_answer,
            f'status {response.status} of another request',
            Outcome.unknown,
        )
    metadata = read_response_metadata(response.status, response.headers)
    apply_response_metadata(
        context,
        call.instance,
        metadata,
        sent_ms=sent_ms,
        is_authentic=metadata.is_not_run or response.status == _OK,
    )
    if metadata.is_not_run:
        return _make_failure(
            call, Reason.upstream_full, f'status {response.status}'
        )
    if response.status != _OK:
        return _make_failure(
            call,
            Reason.upstream_error,
            f'status {response.status}',
            Outcome.unknown,
        )
    try:
        results = decode_run(response.body)
    except msgspec.DecodeError as error:
        return _make_failure(
            call, Reason.truncated, str(error), Outcome.unknown
        )
    mismatch = find_mismatch(call, results)
    if mismatch:
        return _make_failure(
            call, Reason.mismatched_answer, mismatch, Outcome.unknown
        )
    return Ok(results)


def _make_failure(
    call: PieceCall,
    reason: Reason,
    detail: str,
    outcome: Outcome = Outcome.not_run,
) -> Err[UpstreamFailure]:
    return Err(
        UpstreamFailure(
            outcome=outcome,
            reason=reason,
            step=_STEP,
            peer=call.instance.instance,
            detail=detail,
        ),
    )
