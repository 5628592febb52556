"""Send load and unload orders to the engine next to this sidecar."""

import asyncio

import aiohttp
import msgspec
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.configuration import Pool
from ragworthollow.engines import (
    Action,
    EngineOrder,
    get_assigned_models,
    plan_order,
)
from ragworthollow.engines.load_budget import try_consume_load
from ragworthollow.engines.order import EngineModels
from ragworthollow.logs.events import log_event
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform.transaction import compare_with
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.utils import decode_json, get_monotonic_ms, get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext, get_timeout
from ragworthollow_daemon.sidecar.member_lease import MemberLease

_MILLISECONDS = 1000
_PRECONDITION_FAILED = 412
_OK = 200
_FAILURES = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class OrderAgent:
    """
    Ensure that only one process sends orders to an engine.

    The right to send orders is a key bound to a lease; the revision of the
    key is the fencing token, which grows with each new holder. An engine that
    ignores the token gets its first order only after every order of an
    earlier holder has ended: the earlier lease has expired or its process has
    terminated, and the maximum duration of an order has passed since. If a
    holder was suspended for longer than that and then sends an order, the
    next comparison of loaded and wanted models finds and corrects it.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    pool : str
        Pool of the engine.
    """

    def __init__(self, *, context: ProcessContext, pool: str) -> None:
        self._context = context
        self._pool = pool
        self._name = context.settings.instance
        self._url = context.settings.sidecar.upstream_url.rstrip('/')
        self._key = f'engines/{self._name}'
        self._ttl_ms = (
            context.settings.lease_ttl_ms * global_settings.ENGINE_LEASE_FACTOR
        )
        self._fencing_token = 0
        self._blocked_until_ms = float('inf')
        self._configuration_changed_ms = get_monotonic_ms()
        self._checked_ms = float('-inf')
        self.loaded_models: dict[str, str] = {}
        self.lease = MemberLease(
            key_value=context.key_value,
            key=self._key,
            ttl_ms=self._ttl_ms,
        )
        context.store.add_listener(self._record_configuration_change)

    async def run(self) -> None:
        """Keep the loaded models as configured until cancelled."""
        while True:
            await asyncio.sleep(
                global_settings.PLACEMENT_INTERVAL_MS / _MILLISECONDS,
            )
            if self._get_pool().engine and not self._context.drain.is_draining:
                await self.step()

    async def step(self) -> None:
        """Ensure the lease, compare models and send at most one order."""
        if not await self._ensure_lease():
            return
        now_ms = get_monotonic_ms()
        if now_ms < self._blocked_until_ms:
            return
        wanted = self._get_wanted()
        is_due = now_ms - self._checked_ms >= global_settings.PLACEMENT_CHECK_MS
        if self.loaded_models == wanted and not is_due:
            return
        loaded_models = await self._fetch_loaded_models()
        if loaded_models is None:
            return
        self.loaded_models = loaded_models
        self._checked_ms = now_ms
        order = plan_order(loaded_models, wanted, self._fencing_token)
        if order is not None and await self._is_order_allowed(order):
            await self._send_order(order)

    def _record_configuration_change(self) -> None:
        self._configuration_changed_ms = get_monotonic_ms()

    def _get_pool(self) -> Pool:
        pools = self._context.store.deployment.pools
        return pools.get(self._pool, Pool())

    def _get_wanted(self) -> dict[str, str]:
        listed = self._context.peers.get_pool(self._pool)
        return get_assigned_models(
            self._context.store.deployment,
            self._pool,
            self._name,
            [listed_instance.instance for listed_instance in listed],
        )

    async def _ensure_lease(self) -> bool:
        if self.lease.lease:
            if not self.lease.is_due(get_monotonic_ms()):
                return True
            renewed = await self.lease.renew()
            if isinstance(renewed, Err):
                age_ms = get_monotonic_ms() - self.lease.renewed_ms
                margin_ms = global_settings.LEASE_MARGIN_MS
                return age_ms < self._ttl_ms - margin_ms
            return renewed.ok_value
        return await self._acquire()

    async def _acquire(self) -> bool:
        previous = await self._context.key_value.read(self._key)
        if isinstance(previous, Err):
            return False
        member = MemberKey(
            incarnation=self._context.incarnation,
            address=self._context.settings.listen.get_address(),
        )
        acquired = await self.lease.acquire(
            member,
            previous.ok_value,
            compare_with(self._key, previous.ok_value),
        )
        if isinstance(acquired, Err) or not acquired.ok_value:
            return False
        current = await self._context.key_value.read(self._key)
        if isinstance(current, Err):
            self.lease.lease = 0
            return False
        self._fencing_token = current.ok_value.get_position().to_number()
        is_first = not previous.ok_value.mod_revision and not self.loaded_models
        is_safe_now = is_first or self._get_pool().checks_fencing
        wait_ms = 0 if is_safe_now else global_settings.ORDER_LIMIT_MS
        self._blocked_until_ms = get_monotonic_ms() + wait_ms
        return True

    async def _is_order_allowed(self, order: EngineOrder) -> bool:
        now_ms = get_monotonic_ms()
        if order.action is Action.unload:
            # Requests admitted under the previous configuration may still use
            # the model.
            waited_ms = now_ms - self._configuration_changed_ms
            return waited_ms >= global_settings.UNLOAD_DELAY_MS
        acquired = await try_consume_load(
            self._context.key_value,
            self._get_pool().loads_per_minute,
            get_wall_ms(),
        )
        if isinstance(acquired, Ok) and acquired.ok_value:
            return True
        self._context.metrics.count_event('load_postponed')
        return False

    async def _send_order(self, order: EngineOrder) -> None:
        status = await self._post_order(order)
        self._context.metrics.count_event(f'order_{order.action}')
        log_event(
            'engine_ordered',
            step=f'engine.{order.action}',
            peer=self._url,
            model=order.model,
            version=order.version,
            fence=order.fence,
            status=status,
        )
        if status == _PRECONDITION_FAILED:
            # Another process holds a newer fencing token; this lease is no
            # longer valid.
            self.lease.lease = 0
            self._context.metrics.count_event('order_fenced')
        elif status == _OK and order.action is Action.load:
            self.loaded_models = {
                **self.loaded_models,
                order.model: order.version,
            }

    async def _post_order(self, order: EngineOrder) -> int:
        try:
            async with self._context.plain_session.post(
                f'{self._url}/v1/orders',
                data=msgspec.json.encode(order),
                timeout=get_timeout(global_settings.ORDER_LIMIT_MS),
            ) as response:
                return response.status
        except _FAILURES:
            return 0

    async def _fetch_loaded_models(self) -> dict[str, str] | None:
        try:
            async with self._context.plain_session.get(
                f'{self._url}/v1/models',
                timeout=get_timeout(global_settings.PEER_TIMEOUT_MS),
                raise_for_status=True,
            ) as response:
                engine_models = decode_json(
                    await read_bounded(
                        response, global_settings.MAX_MESSAGE_BYTES
                    ),
                    EngineModels,
                )
        except _FAILURES:
            return None
        return engine_models.models
