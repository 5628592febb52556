"""Monitor calls for pieces that take longer than expected."""

import asyncio
from collections.abc import Callable, Coroutine

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.pieces import PieceCall
from ragworthollow.platform.response_wire import read_response_metadata
from ragworthollow.platform.stage_wire import REPORT_PATH, decode_is_busy
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.response_attribution import (
    attribute_report,
)
from ragworthollow_daemon.gateway.response_metadata import (
    apply_response_metadata,
)
from ragworthollow_daemon.gateway.stage_message import StageMessage
from ragworthollow_daemon.gateway.stage_response import StageResponse

_STEP = 'pieces'

QueryIsBusy = Callable[
    [GatewayContext, UpstreamInstance],
    Coroutine[None, None, bool | None],
]


async def query_is_busy(
    context: GatewayContext,
    instance: UpstreamInstance,
) -> bool | None:
    """
    Query whether an instance has any call in progress.

    Returns
    -------
    bool or None
        None if the instance does not report it, has asked gateways to back
        off, is throttled, or is in a drained failure domain.
    """
    directory = context.directory
    if directory.get_remaining_pause_ms(instance):
        return None
    if directory.drains.is_drained(instance.failure_domain):
        return None
    throttle = PoolThrottle(
        context=context,
        pool=instance.pool,
        is_only_sender=True,
    )
    if not throttle.try_acquire(instance):
        return None
    sent_ms = get_boottime_ms()
    message = StageMessage(
        instance=instance,
        method='GET',
        path=REPORT_PATH,
        timeout=make_timeout(
            global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
            global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
        ),
        attribute=attribute_report,
    )
    try:
        response = await context.stage_exchange.send(message)
        return _read_report(context, instance, response, sent_ms)
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        msgspec.DecodeError,
    ) as error:
        context.metrics.count_event('report_failed')
        log_event(
            'report_failed',
            step=_STEP,
            peer=instance.instance,
            error=repr(error),
        )
        return None


def _read_report(
    context: GatewayContext,
    instance: UpstreamInstance,
    response: StageResponse,
    sent_ms: float,
) -> bool | None:
    if response.attribution is Attribution.foreign:
        return None
    apply_response_metadata(
        context,
        instance,
        read_response_metadata(response.status, response.headers),
        sent_ms=sent_ms,
    )
    return decode_is_busy(response.body)


class CallMonitor:
    """
    Determine whether an overdue call is slow or its response was lost.

    A response may be lost while its connection stays open.  As an instance
    works on one call at a time, it would then stay idle until the call times
    out seconds later: one lost response took a third of a pool's capacity for
    six seconds, and two of them two thirds.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    query : callable
        Queries whether an instance has any call in progress.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        query: QueryIsBusy = query_is_busy,
    ) -> None:
        self._context = context
        self._query = query

    async def monitor(
        self,
        call: PieceCall,
        response: asyncio.Future,
        on_slow: Callable[[], None],
    ) -> bool:
        """
        Monitor a call until it ends.

        Parameters
        ----------
        call : PieceCall
            Call that has been sent.
        response : Future
            Done when the call has been answered or has failed.
        on_slow : callable
            Called once if the call is slow.

        Returns
        -------
        bool
            Whether the response was lost.
        """
        overdue_ms = (
            call.expected_ms * global_settings.PIECE_CALL_OVERDUE_FACTOR
        )
        await asyncio.wait({response}, timeout=overdue_ms / 1000)
        is_slow = False
        while not response.done():
            if await self._is_response_lost(call, response):
                return True
            if not is_slow and _is_slow(call):
                is_slow = True
                on_slow()
            await asyncio.wait(
                {response},
                timeout=global_settings.PIECE_CALL_PROBE_MS / 1000,
            )
        return False

    async def _is_response_lost(
        self, call: PieceCall, response: asyncio.Future
    ) -> bool:
        is_working = await self._query(self._context, call.instance)
        if is_working is not False:
            return False
        await asyncio.wait(
            {response},
            timeout=global_settings.PIECE_RESPONSE_GRACE_MS / 1000,
        )
        return not response.done()


def _is_slow(call: PieceCall) -> bool:
    duration_ms = get_monotonic_ms() - call.started_ms
    return (
        duration_ms >= call.expected_ms * global_settings.PIECE_CALL_SLOW_FACTOR
    )
