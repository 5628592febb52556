"""Assemble the sidecar."""

import asyncio

from aiohttp import web

from ragworthollow.admission import AdmissionQueue
from ragworthollow.conf import global_settings
from ragworthollow.configuration import Pool
from ragworthollow.once import Ledger, Ownership
from ragworthollow.once.ownership import OwnershipRules
from ragworthollow.utils import get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.once_agent import OnceAgent
from ragworthollow_daemon.sidecar.once_gate import OnceGate
from ragworthollow_daemon.sidecar.once_routes import OnceRoutes
from ragworthollow_daemon.sidecar.order_agent import OrderAgent
from ragworthollow_daemon.sidecar.slot_queue import SlotQueue
from ragworthollow_daemon.sidecar.stage_gate import StageGate
from ragworthollow_daemon.sidecar.stage_routes import StageRoutes, ignore_token
from ragworthollow_daemon.sidecar.upstream_client import UpstreamClient
from ragworthollow_daemon.web.health_routes import DETAILS_KEY

_MILLISECONDS = 1000


class SidecarRole:
    """
    Guard one upstream instance.

    Parameters
    ----------
    context : ProcessContext
        Of this process; its settings name the sidecar's pool and upstream.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        settings = context.settings
        self._pool = settings.sidecar.pool
        self._slots = SlotQueue(
            queue=AdmissionQueue(capacity=global_settings.DEFAULT_CONCURRENCY),
        )
        self._ledger = Ledger()
        self._ownership = Ownership(
            instance=settings.instance,
            incarnation=context.incarnation,
            rules=OwnershipRules(lease_ttl_ms=settings.lease_ttl_ms),
        )
        self._agent = OnceAgent(
            context=context,
            ownership=self._ownership,
            ledger=self._ledger,
            pool=self._pool,
        )
        self._orders = OrderAgent(context=context, pool=self._pool)
        self._gate = StageGate(
            context=context,
            slots=self._slots,
            upstream=UpstreamClient(
                session=context.plain_session,
                base_url=settings.sidecar.upstream_url,
            ),
        )
        self._once = OnceGate(
            context=context,
            ownership=self._ownership,
            ledger=self._ledger,
            execute=lambda call: self._gate.run(call, ignore_token),
        )
        context.store.listen(self._configure)

    def add_to(self, application: web.Application) -> None:
        """Add the routes of the role."""
        StageRoutes(
            context=self._context,
            gate=self._gate,
            once=self._once,
        ).add_to(application)
        OnceRoutes(
            gate=self._once,
            agent=self._agent,
            ownership=self._ownership,
            ledger=self._ledger,
        ).add_to(application)
        application[DETAILS_KEY] = self._get_details

    async def start(self) -> None:
        """Start the loops."""
        self._context.spawn(self._slots.run())
        self._context.spawn(self._run_agent())
        self._context.spawn(self._orders.run())

    async def stop(self, limit_ms: float) -> None:
        """
        Refuse new work, hand key ranges over and finish what runs.

        Parameters
        ----------
        limit_ms : float
            Longest wait.
        """
        if self._has_keys():
            await self._agent.leave(limit_ms)
        await self._context.drain.wait_quiet(limit_ms)
        await self._orders.lease.release()

    async def _run_agent(self) -> None:
        while True:
            if self._has_keys():
                await self._agent.step()
                self._ledger.forget_old(get_wall_ms())
                await self._agent.pause()
            else:
                await asyncio.sleep(
                    global_settings.OWNERSHIP_INTERVAL_MS / _MILLISECONDS,
                )

    def _has_keys(self) -> bool:
        """Tell whether any pipeline has a non-repeatable stage here."""
        deployment = self._context.store.deployment
        return self._pool in deployment.get_once_pools()

    def _configure(self) -> None:
        deployment = self._context.store.deployment
        pool = deployment.pools.get(self._pool, Pool())
        queue = self._slots.queue
        queue.capacity = pool.concurrency
        queue.limit = pool.queue_limit
        queue.shares = self._context.store.shares
        self._slots.pump()

    def _get_details(self) -> dict[str, object]:
        return {
            'pool': self._pool,
            'load': self._slots.get_load(
                leaving=self._context.drain.is_draining,
            ),
            'epoch': self._ownership.assignment.epoch,
            'ranges_owned': sum(
                self._ownership.is_ours(owner)
                for owner in self._ownership.assignment.ranges
            ),
            'models': self._orders.carried,
            'records': len(self._ledger),
            'records_bytes': self._ledger.size_bytes,
        }
