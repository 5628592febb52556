"""Assemble the components of the sidecar role."""

import asyncio

from aiohttp import web

from ragworthollow.admission import AdmissionQueue
from ragworthollow.conf import global_settings
from ragworthollow.configuration import Pool
from ragworthollow.once import KeyRegistry, Ownership
from ragworthollow.once.ownership import OwnershipRules
from ragworthollow.utils import get_wall_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.shutdown_limit import ShutdownLimit
from ragworthollow_daemon.sidecar.once_agent import OnceAgent
from ragworthollow_daemon.sidecar.once_executor import OnceExecutor
from ragworthollow_daemon.sidecar.once_routes import OnceRoutes
from ragworthollow_daemon.sidecar.order_agent import OrderAgent
from ragworthollow_daemon.sidecar.slot_queue import SlotQueue
from ragworthollow_daemon.sidecar.stage_executor import StageExecutor
from ragworthollow_daemon.sidecar.stage_routes import StageRoutes, ignore_token
from ragworthollow_daemon.sidecar.upstream_client import UpstreamClient
from ragworthollow_daemon.web.health_routes import DETAILS_KEY

_MILLISECONDS = 1000


class SidecarRole:
    """
    Admit and run stage calls for one upstream instance.

    Parameters
    ----------
    context : ProcessContext
        Context of this process; its settings name the pool and the URL of
        the upstream.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        settings = context.settings
        self._pool = settings.sidecar.pool
        self._slots = SlotQueue(
            queue=AdmissionQueue(capacity=global_settings.DEFAULT_CONCURRENCY),
        )
        self._registry = KeyRegistry()
        self._ownership = Ownership(
            instance=settings.instance,
            incarnation=context.incarnation,
            rules=OwnershipRules(lease_ttl_ms=settings.lease_ttl_ms),
        )
        self._agent = OnceAgent(
            context=context,
            ownership=self._ownership,
            registry=self._registry,
            pool=self._pool,
        )
        self._order_agent = OrderAgent(context=context, pool=self._pool)
        self._stage_executor = StageExecutor(
            context=context,
            slots=self._slots,
            upstream=UpstreamClient(
                session=context.plain_session,
                base_url=settings.sidecar.upstream_url,
                answers=context.guard.answers,
            ),
        )
        self._once_executor = OnceExecutor(
            context=context,
            ownership=self._ownership,
            registry=self._registry,
            execute=lambda call: self._stage_executor.run(call, ignore_token),
        )
        context.store.add_listener(self._configure)

    def add_to(self, application: web.Application) -> None:
        """Register the routes of the role."""
        StageRoutes(
            context=self._context,
            executor=self._stage_executor,
            once_executor=self._once_executor,
        ).add_to(application)
        OnceRoutes(
            executor=self._once_executor,
            agent=self._agent,
            ownership=self._ownership,
            registry=self._registry,
        ).add_to(application)
        application[DETAILS_KEY] = self._get_details

    async def start(self) -> None:
        """Start the background tasks."""
        self._context.spawn(self._slots.run())
        self._context.spawn(self._run_agent())
        self._context.spawn(self._order_agent.run())

    async def leave(self, limit: ShutdownLimit) -> None:
        """
        Transfer the key ranges to other members.

        Parameters
        ----------
        limit : ShutdownLimit
            Limit of the whole stop.
        """
        if self._has_once_stages():
            await self._agent.leave(limit)

    async def end(self, limit: ShutdownLimit) -> None:
        """
        Release the right to order the engine, once all calls have ended.

        Parameters
        ----------
        limit : ShutdownLimit
            Limit of the whole stop; a lease that cannot be released by then
            expires.
        """
        await limit.run(self._order_agent.lease.release())

    async def _run_agent(self) -> None:
        while True:
            if self._has_once_stages():
                await self._agent.step()
                self._registry.remove_expired(get_wall_ms())
                await self._agent.pause()
            else:
                await asyncio.sleep(
                    global_settings.OWNERSHIP_INTERVAL_MS / _MILLISECONDS,
                )

    def _has_once_stages(self) -> bool:
        """Return whether this pool serves any non-repeatable stage."""
        deployment = self._context.store.deployment
        return self._pool in deployment.get_non_repeatable_pools()

    def _configure(self) -> None:
        deployment = self._context.store.deployment
        pool = deployment.pools.get(self._pool, Pool())
        queue = self._slots.queue
        queue.capacity = pool.concurrency
        queue.limit = pool.queue_limit
        queue.shares = self._context.store.shares
        self._slots.dispatch_waiting()

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
            'models': self._order_agent.loaded_models,
            'records': len(self._registry),
            'records_bytes': self._registry.size_bytes,
        }
