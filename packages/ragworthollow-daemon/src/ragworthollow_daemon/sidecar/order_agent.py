"""Give the engine beside this sidecar its orders."""

import asyncio

import aiohttp
import msgspec
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.configuration import Pool
from ragworthollow.engines import Action, EngineOrder, get_wanted, plan_order
from ragworthollow.engines.load_budget import take_load
from ragworthollow.engines.order import EngineModels
from ragworthollow.logs.events import log_event
from ragworthollow.once.member_key import MemberKey
from ragworthollow.platform.transaction import compare_with
from ragworthollow.utils import get_monotonic_ms, get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext, get_timeout
from ragworthollow_daemon.sidecar.member_lease import MemberLease

_MILLISECONDS = 1000
_FENCED = 412
_OK = 200
_FAILURES = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class OrderAgent:
    """
    Be the one orderer of an engine.

    The right to order is a leased key; its revision is the fencing number,
    which grows with each new holder.  An engine that ignores the number gets
    its first order only after every order of an earlier holder has ended:
    its lease has lapsed or its process is dead, and the longest order has
    passed since.  An order of a holder that was paused beyond all that is
    found by the next comparison and corrected.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
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
        self._fence = 0
        self._quiet_until_ms = float('inf')
        self._configured_ms = get_monotonic_ms()
        self._checked_ms = float('-inf')
        self.carried: dict[str, str] = {}
        self.lease = MemberLease(
            key_value=context.key_value,
            key=self._key,
            ttl_ms=self._ttl_ms,
        )
        context.store.listen(self._note_change)

    async def run(self) -> None:
        """Keep the engine as configured until cancelled."""
        while True:
            await asyncio.sleep(
                global_settings.PLACEMENT_INTERVAL_MS / _MILLISECONDS,
            )
            if self._get_pool().engine and not self._context.drain.is_draining:
                await self.step()

    async def step(self) -> None:
        """Hold the right to order, compare, and give at most one order."""
        if not await self._hold_right():
            return
        now_ms = get_monotonic_ms()
        if now_ms < self._quiet_until_ms:
            return
        wanted = self._get_wanted()
        is_due = now_ms - self._checked_ms >= global_settings.PLACEMENT_CHECK_MS
        if self.carried == wanted and not is_due:
            return
        carried = await self._read_carried()
        if carried is None:
            return
        self.carried = carried
        self._checked_ms = now_ms
        order = plan_order(carried, wanted, self._fence)
        if order is not None and await self._may_order(order):
            await self._give(order)

    def _note_change(self) -> None:
        self._configured_ms = get_monotonic_ms()

    def _get_pool(self) -> Pool:
        pools = self._context.store.deployment.pools
        return pools.get(self._pool, Pool())

    def _get_wanted(self) -> dict[str, str]:
        listed = self._context.peers.get_pool(self._pool)
        return get_wanted(
            self._context.store.deployment,
            self._pool,
            self._name,
            [one.instance for one in listed],
        )

    async def _hold_right(self) -> bool:
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
        found = await self._context.key_value.read(self._key)
        if isinstance(found, Err):
            return False
        member = MemberKey(
            incarnation=self._context.incarnation,
            address=self._context.settings.listen.get_address(),
        )
        acquired = await self.lease.acquire(
            member,
            found.ok_value,
            compare_with(self._key, found.ok_value),
        )
        if isinstance(acquired, Err) or not acquired.ok_value:
            return False
        stored = await self._context.key_value.read(self._key)
        if isinstance(stored, Err):
            self.lease.lease = 0
            return False
        self._fence = stored.ok_value.get_position().to_number()
        is_first = not found.ok_value.mod_revision and not self.carried
        has_gap = is_first or self._get_pool().checks_fencing
        wait_ms = 0 if has_gap else global_settings.ORDER_LIMIT_MS
        self._quiet_until_ms = get_monotonic_ms() + wait_ms
        return True

    async def _may_order(self, order: EngineOrder) -> bool:
        now_ms = get_monotonic_ms()
        if order.action is Action.unload:
            # Requests that were admitted under the earlier configuration
            # may still ask for the model.
            waited_ms = now_ms - self._configured_ms
            return waited_ms >= global_settings.UNLOAD_DELAY_MS
        taken = await take_load(
            self._context.key_value,
            self._get_pool().loads_per_minute,
            get_wall_ms(),
        )
        if isinstance(taken, Ok) and taken.ok_value:
            return True
        self._context.metrics.count_event('load_postponed')
        return False

    async def _give(self, order: EngineOrder) -> None:
        status = await self._post(order)
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
        if status == _FENCED:
            # Somebody holds a newer right; ours is over.
            self.lease.lease = 0
            self._context.metrics.count_event('order_fenced')
        elif status == _OK and order.action is Action.load:
            self.carried = {**self.carried, order.model: order.version}

    async def _post(self, order: EngineOrder) -> int:
        try:
            async with self._context.plain_session.post(
                f'{self._url}/v1/orders',
                data=msgspec.json.encode(order),
                timeout=get_timeout(global_settings.ORDER_LIMIT_MS),
            ) as response:
                return response.status
        except _FAILURES:
            return 0

    async def _read_carried(self) -> dict[str, str] | None:
        try:
            async with self._context.plain_session.get(
                f'{self._url}/v1/models',
                timeout=get_timeout(global_settings.PEER_TIMEOUT_MS),
                raise_for_status=True,
            ) as response:
                found = msgspec.json.decode(
                    await response.read(),
                    type=EngineModels,
                )
        except _FAILURES:
            return None
        return found.models
