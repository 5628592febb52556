"""Send one call for pieces and read its answer."""

import aiohttp
import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import PieceCall, PieceResult
from ragworthollow.platform.answer_wire import read_marks
from ragworthollow.platform.stage_wire import (
    EXPECT_INSTANCE,
    FREE_PATH,
    RUN_PATH,
    decode_run,
    encode_free,
    encode_run,
)
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.answer_notices import note_marks
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'pieces'
_OK = 200
_JSON = 'application/json'

Found = tuple[PieceResult, ...]


async def send_call(
    context: GatewayContext,
    call: PieceCall,
) -> Result[Found, UpstreamFailure]:
    """
    Send one call and read its answer.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    call : PieceCall
        The pieces, and who is to make them.

    Returns
    -------
    Result
        Results in the order of the pieces, or why there are none.
    """
    now_ms = get_monotonic_ms()
    pieces = tuple(waiting.piece for waiting in call.waiting)
    try:
        async with context.upstream_session.post(
            f'http://{call.instance.address}{RUN_PATH}',
            data=encode_run(pieces, now_ms),
            headers={
                'Content-Type': _JSON,
                EXPECT_INSTANCE: call.instance.instance,
            },
            timeout=make_timeout(
                global_settings.PIECE_CALL_TIMEOUT_MS,
                global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
            ),
        ) as response:
            text = await response.read()
            return _read(context, call, response, text, now_ms)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        return _fail(call, Reason.connect_failed, repr(error))
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return _fail(call, Reason.connection_lost, repr(error), Outcome.unknown)


async def free_results(
    context: GatewayContext,
    maker: str,
    handles: tuple[str, ...],
) -> None:
    """
    Give results up at the instance that made them.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    maker : str
        The instance.
    handles : tuple of str
        Names of the results.
    """
    instance = context.directory.get(maker)
    if instance is None or not _may_be_told(context, instance):
        # Its space is given up after a while without being told.
        return
    asked_ms = get_monotonic_ms()
    try:
        async with context.upstream_session.post(
            f'http://{instance.address}{FREE_PATH}',
            data=encode_free(handles),
            headers={'Content-Type': _JSON, EXPECT_INSTANCE: maker},
            timeout=make_timeout(
                global_settings.STORE_TIMEOUT_MS,
                global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
            ),
        ) as response:
            note_marks(
                context,
                instance,
                read_marks(response.status, response.headers),
                asked_ms=asked_ms,
            )
            await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        # The maker frees results by itself after a while.
        context.metrics.count_event('free_failed')
        log_event('free_failed', step=_STEP, peer=maker, error=repr(error))


def _may_be_told(context: GatewayContext, instance: UpstreamInstance) -> bool:
    """Tell whether an instance may get a note now, and count it if so."""
    if context.directory.get_pause_left_ms(instance):
        return False
    throttle = PoolThrottle(
        context=context,
        pool=instance.pool,
        is_only_sender=True,
    )
    if throttle.get_wait_ms(instance):
        return False
    throttle.note_sent(instance)
    return True


def _read(
    context: GatewayContext,
    call: PieceCall,
    response: aiohttp.ClientResponse,
    text: bytes,
    asked_ms: float,
) -> Result[Found, UpstreamFailure]:
    marks = read_marks(response.status, response.headers)
    note_marks(
        context,
        call.instance,
        marks,
        asked_ms=asked_ms,
        is_authentic=marks.is_not_run or response.status == _OK,
    )
    if marks.is_not_run:
        return _fail(call, Reason.upstream_full, f'status {response.status}')
    if response.status != _OK:
        return _fail(
            call,
            Reason.upstream_error,
            f'status {response.status}',
            Outcome.unknown,
        )
    try:
        found = decode_run(text)
    except msgspec.DecodeError as error:
        return _fail(call, Reason.truncated, str(error), Outcome.unknown)
    if len(found) != len(call.waiting):
        return _fail(
            call,
            Reason.mismatched_answer,
            f'{len(found)} results for {len(call.waiting)} pieces',
            Outcome.unknown,
        )
    return Ok(found)


def _fail(
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
