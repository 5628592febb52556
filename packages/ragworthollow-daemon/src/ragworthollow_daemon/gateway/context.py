"""Hold the state that the components of a gateway share."""

import asyncio
import contextlib
import random
from collections.abc import Collection, Coroutine

from ragworthollow.balancing import EngineView
from ragworthollow.conf import GatewaySettings, global_settings
from ragworthollow.logs.events import log_error
from ragworthollow.metrics import InvariantMonitor, Metrics
from ragworthollow.platform import REQUEST_ID_HEADER, StoreClient
from ragworthollow.replica import Replica
from ragworthollow.retries import RetryBudget
from ragworthollow.routes import RequestLimits, RouteTable
from ragworthollow.throttling import Throttle
from ragworthollow.transport.sessions import (
    make_unauthenticated_session,
    make_upstream_session,
)
from ragworthollow.upstreams import (
    Directory,
    LoadTracker,
    UpstreamInstance,
)
from ragworthollow.utils import get_monotonic_ms, make_identifier
from ragworthollow_daemon.drain import DrainState
from ragworthollow_daemon.gateway.exchanges import Exchanges
from ragworthollow_daemon.gateway.quarantine import Quarantine
from ragworthollow_daemon.gateway.shutdown_state import (
    RequestShutdown,
    ShutdownState,
    send_sigterm,
)


class GatewayContext:
    """
    Own the client sessions, the metrics and the shared state of a gateway.

    Must be created inside the running event loop.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    request_shutdown : callable
        Starts a graceful shutdown of this process.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        request_shutdown: RequestShutdown = send_sigterm,
    ) -> None:
        self._request_shutdown = request_shutdown
        self._is_shutdown_requested = False
        self.settings = settings
        self.incarnation = make_identifier()
        self.metrics = Metrics()
        self.monitor = InvariantMonitor(metrics=self.metrics)
        self.drain = DrainState()
        self.stop = ShutdownState()
        self.rng = random.Random(self.incarnation)  # noqa: S311
        self._session = make_unauthenticated_session(
            global_settings.UPSTREAM_READ_BUFFER_BYTES
        )
        self.upstream_session = make_upstream_session(REQUEST_ID_HEADER)
        self.store = StoreClient(
            session=self._session,
            base_url=settings.store_url,
        )
        self.replica = Replica()
        self.route_table: RouteTable | None = None
        self._has_route_table = asyncio.Event()
        self.directory = Directory(propagation_ms=settings.leaving_bound_ms)
        self.load_tracker = LoadTracker()
        self.exchanges = Exchanges(
            load_tracker=self.load_tracker,
            metrics=self.metrics,
            settings=settings,
        )
        self._engine_view = EngineView(load_tracker=self.load_tracker)
        self._throttle = Throttle(
            gateway=settings.instance,
            propagation_ms=settings.get_shortest_bound_ms(),
        )
        self._quarantine = Quarantine(
            settings=settings,
            incarnation=self.incarnation,
            directory=self.directory,
            metrics=self.metrics,
            spawn=self.spawn,
        )
        self._members = 1
        self._budgets: dict[str, RetryBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def members(self) -> int:
        """Return the number of gateways, including this one."""
        return self._members

    @property
    def quarantine(self) -> Quarantine:
        """Return the quarantine of requests that crash instances."""
        return self._quarantine

    @property
    def engine_view(self) -> EngineView:
        """Return what is known of the engines."""
        return self._engine_view

    @property
    def throttle(self) -> Throttle:
        """Return the throttle for instances with reduced capacity."""
        return self._throttle

    def get_interval_ms(self, rate_per_s: float) -> float:
        """Return this gateway's interval of what all do at a rate together."""
        return self._members * 1000 / rate_per_s

    def get_budget(self, pool: str) -> RetryBudget:
        """Return this gateway's share of the retry budget of a pool."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(
                ratio=self.settings.retry_ratio
                * global_settings.RETRY_BUDGET_USE,
                burst=self._get_burst(pool),
            )
            self._budgets[pool] = budget
        return budget

    def mark_suspect(self, instance: UpstreamInstance) -> None:
        """
        Record a failure of an instance, so that it is avoided for a while.

        An attempt may end long after its instance has been restarted under
        the same name.  Its failure then says nothing about the incarnation
        that is running now, and is ignored.
        """
        listed = self.directory.get(instance.instance)
        if listed is None or listed.is_same_incarnation(instance):
            self.load_tracker.record_failure(
                instance.instance, get_monotonic_ms()
            )

    def set_route_table(self, table: RouteTable) -> None:
        """Activate a route table."""
        self.route_table = table
        self.directory.route_history.record(table, get_monotonic_ms())
        self._has_route_table.set()
        if not self._quarantine.has_polled_peers:
            # The peers to exchange quarantine data with are now known.
            self._quarantine.has_urgent_update.set()

    async def wait_for_route_table(self, timeout_ms: float) -> None:
        """Wait for the first route table, at most `timeout_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self._has_route_table.wait()

    def can_host(self) -> bool:
        """Return whether pools and their instances are known."""
        return self.route_table is not None and self.directory.is_known()

    def set_members(self, names: Collection[str], now_ms: float) -> None:
        """
        Set the gateways among which budgets are divided.

        Parameters
        ----------
        names : collection of str
            Names of the members, including this gateway if it is listed.
        now_ms : float
            Time on the monotonic clock.
        """
        self._throttle.senders.set_members(names, now_ms)
        members = self.throttle.senders.count()
        if members == self._members:
            return
        self._members = members
        for pool, budget in self._budgets.items():
            budget.set_burst(self._get_burst(pool))

    def spawn(
        self,
        coroutine: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        """Run a task in the background; it is cancelled by `close`."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def spawn_loop(self, coroutine: Coroutine[None, None, None]) -> None:
        """
        Run a loop without which this process must not go on.

        A gateway whose loop has failed would keep serving from stale state,
        accepting keys that have been revoked since.  It shuts down instead,
        and is restarted.  While it is shutting down already it continues: a
        second signal would abort all requests.
        """
        self.spawn(coroutine).add_done_callback(self._handle_loop_end)

    async def close(self) -> None:
        """Cancel all background tasks and close the sessions."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        await self.upstream_session.close()
        await self.exchanges.close()

    def _get_burst(self, pool: str) -> float:
        slack = self.settings.retry_slack * global_settings.RETRY_BUDGET_USE
        pool_config = (
            None
            if self.route_table is None
            else self.route_table.pools.get(pool)
        )
        if pool_config is not None and pool_config.pieces is not None:
            return max(1, slack * global_settings.HOST_RETRY_SHARE)
        return max(1, slack / max(self._members, 4))

    def _handle_loop_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        if not self.drain.is_draining and not self._is_shutdown_requested:
            self._is_shutdown_requested = True
            self._request_shutdown()

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_error('task_failed', step='lifecycle', error=repr(error))


def get_request_limits(context: GatewayContext) -> RequestLimits:
    """Return the request limits of the current configuration."""
    if context.route_table is None:
        # A head that a configuration may allow is answered with 503, after
        # which its caller may come back.
        return RequestLimits(header_bytes=global_settings.MAX_HEADER_BYTES)
    return context.route_table.limits
