"""Release results at the instances that produced them."""

import asyncio

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.platform.response_wire import read_response_metadata
from ragworthollow.platform.stage_wire import (
    RELEASE_RESULTS_PATH,
    encode_release,
)
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.response_attribution import (
    attribute_release,
)
from ragworthollow_daemon.gateway.response_metadata import (
    apply_response_metadata,
)
from ragworthollow_daemon.gateway.stage_message import StageMessage

_STEP = 'pieces'
_MILLISECONDS = 1000


class ResultReleaser:
    """
    Notify producers of results that are no longer needed.

    A throttled instance accepts few messages, and calls for pieces count
    among them.  Results to release at such an instance are collected and
    sent in one message as soon as it may receive one.
    """

    def __init__(self) -> None:
        self._pending: dict[str, tuple[str, ...]] = {}

    async def release(
        self,
        context: GatewayContext,
        producer: str,
        handles: tuple[str, ...],
    ) -> None:
        """
        Release results at the instance that produced them.

        Parameters
        ----------
        context : GatewayContext
            Shared state of this process.
        producer : str
            The instance.
        handles : tuple of str
            Handles of the results.
        """
        is_waiting = producer in self._pending
        self._pending[producer] = (*self._pending.get(producer, ()), *handles)
        if is_waiting:
            return
        instance = await _wait_until_available(context, producer)
        pending = self._pending.pop(producer)
        if instance is not None:
            await _send_release(context, instance, pending)


async def _wait_until_available(
    context: GatewayContext,
    producer: str,
) -> UpstreamInstance | None:
    """
    Return an instance once it may receive a message, or None if it may not.

    An instance that receives no message releases its results on expiry.
    """
    while True:
        instance = context.directory.get(producer)
        if instance is None or context.directory.get_remaining_pause_ms(
            instance
        ):
            return None
        throttle = PoolThrottle(
            context=context,
            pool=instance.pool,
            is_only_sender=True,
        )
        if throttle.try_acquire(instance):
            return instance
        await asyncio.sleep(throttle.get_wait_ms(instance) / _MILLISECONDS)


async def _send_release(
    context: GatewayContext,
    instance: UpstreamInstance,
    handles: tuple[str, ...],
) -> None:
    sent_ms = get_boottime_ms()
    message = StageMessage(
        instance=instance,
        method='POST',
        path=RELEASE_RESULTS_PATH,
        timeout=make_timeout(
            global_settings.STORE_TIMEOUT_MS,
            global_settings.UPSTREAM_CONNECT_TIMEOUT_MS,
        ),
        attribute=attribute_release,
        body=encode_release(handles),
    )
    try:
        response = await context.stage_exchange.send(message)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        # The producer drops results by itself when they expire.
        context.metrics.count_event('free_failed')
        log_event(
            'free_failed',
            step=_STEP,
            peer=instance.instance,
            error=repr(error),
        )
        return
    if response.attribution is not Attribution.foreign:
        apply_response_metadata(
            context,
            instance,
            read_response_metadata(response.status, response.headers),
            sent_ms=sent_ms,
        )
