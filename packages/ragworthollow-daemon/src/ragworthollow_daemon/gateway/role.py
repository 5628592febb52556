"""Assemble the components of a gateway and run them."""

import asyncio

from ragworthollow.conf import GatewaySettings, global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.configuration_subscriber import (
    ConfigurationSubscriber,
)
from ragworthollow_daemon.gateway.context import (
    GatewayContext,
    RequestShutdown,
    get_request_limits,
    send_sigterm,
)
from ragworthollow_daemon.gateway.instances_subscriber import (
    InstancesSubscriber,
)
from ragworthollow_daemon.gateway.listeners import Listeners, get_own_limits
from ragworthollow_daemon.gateway.membership import Membership
from ragworthollow_daemon.gateway.peer_routes import PeerRoutes
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.piece_service import PieceService
from ragworthollow_daemon.gateway.readiness import Readiness
from ragworthollow_daemon.gateway.request_handler import RequestHandler
from ragworthollow_daemon.gateway.scheduler_handover import SchedulerHandover
from ragworthollow_daemon.gateway.status_routes import StatusRoutes
from ragworthollow_daemon.gateway.store_poller_factory import (
    make_host_pinger,
    make_store_poller,
)
from ragworthollow_daemon.gateway.store_records import StoreRecords


class GatewayRole:
    """
    Run one gateway.

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
        self._settings = settings
        self.context = GatewayContext(
            settings=settings,
            request_shutdown=request_shutdown,
        )
        self.members = GatewayMembers(
            instance=settings.instance,
            capacity=settings.get_capacity(),
        )
        self.service = PieceService(context=self.context)
        self.membership = Membership(
            context=self.context,
            members=self.members,
        )
        self._piece_client = PieceClient(
            context=self.context,
            members=self.members,
            service=self.service,
        )
        self._handover = SchedulerHandover(
            context=self.context,
            members=self.members,
            schedulers=self.service.get_schedulers(),
        )
        self._records = StoreRecords(context=self.context)
        self.store_poller = make_store_poller(
            context=self.context,
            members=self.members,
            subscribers=(
                InstancesSubscriber(
                    context=self.context,
                    on_change=self.service.advance_all,
                    on_restart=self.service.forget_incarnation,
                ),
                self.membership,
                *self._records.list_subscribers(),
                ConfigurationSubscriber(context=self.context),
            ),
        )
        self._host_pinger = make_host_pinger(
            context=self.context,
            members=self.members,
            announced=self.service.get_schedulers().announced,
            store_poller=self.store_poller,
        )
        self._listeners = Listeners(guard=self.context.exchanges.guard)

    async def start(self) -> None:
        """Start the listeners, then the background loops."""
        readiness = Readiness(context=self.context)
        request_handler = RequestHandler(
            context=self.context,
            pieces=self._piece_client,
            resolve_resume=self._records.make_resolver(self.members).resolve,
        )
        peer_routes = PeerRoutes(
            context=self.context,
            members=self.members,
            service=self.service,
            handover=self._handover,
        )
        await self._listeners.serve(
            self._settings.ready_address,
            readiness.handle,
            get_limits=get_own_limits,
            share=global_settings.MONITORING_CONNECTIONS_SHARE,
            drains=False,
        )
        await self._listeners.serve(
            self._settings.front_address,
            request_handler.handle,
            get_limits=lambda: get_request_limits(self.context),
            share=global_settings.CALLER_CONNECTIONS_SHARE,
            drains=True,
        )
        await self._listeners.serve_application(
            self._settings.peer_address,
            peer_routes.make_application(),
            share=global_settings.PEER_CONNECTIONS_SHARE,
            drains=True,
        )
        if self._settings.metrics_address:
            status_routes = StatusRoutes(
                context=self.context, pieces=self._piece_client
            )
            await self._listeners.serve_application(
                self._settings.metrics_address,
                status_routes.make_application(),
                share=global_settings.MONITORING_CONNECTIONS_SHARE,
                drains=False,
            )
        self.context.spawn_loop(self.store_poller.run())
        self.context.spawn_loop(self._tick(request_handler))
        self.context.spawn_loop(self.membership.run())
        self.context.spawn_loop(self._host_pinger.run())
        for loop in self._records.make_loops():
            self.context.spawn_loop(loop)

    def begin_shutdown(self) -> None:
        """Report as not ready, and refuse requests that cannot finish."""
        self.context.drain.is_draining = True
        self.context.stop.begin(
            get_boottime_ms(),
            self._settings.grace_s * 1000,
        )

    async def stop(self) -> None:
        """
        Keep serving until the load balancer has moved away, then drain.

        The load balancer checks readiness once a second and needs two negative
        responses, so new connections keep arriving for a while.  They are
        served like any other, and each response closes its connection.

        The process may exit only once its connections are closed: on an open
        one a request may arrive at any moment, and a response that has been
        written may not have been delivered.
        """
        started_ms = get_monotonic_ms()
        await self._handover.leave()
        await self.membership.leave()
        await self.context.stop.wait(global_settings.GATEWAY_BALANCER_LAG_MS)
        await self.context.drain.wait_until_idle(self._get_remaining_ms())
        open_connections = await self._close_listeners(self._get_remaining_ms())
        if open_connections or self.context.drain.in_flight:
            self.context.stop.abort()
            open_connections = await self._close_listeners(
                global_settings.GATEWAY_FINAL_RESPONSES_MS
            )
        await self.membership.end()
        self.context.drain.log_interrupted_requests()
        log_event(
            'drained',
            step='lifecycle',
            peer=self._settings.instance,
            cut=self.context.drain.in_flight,
            open_connections=open_connections,
            elapsed_ms=round(get_monotonic_ms() - started_ms),
        )

    async def close(self) -> None:
        """Close the listeners, the background loops and the sessions."""
        await self._listeners.cleanup()
        await self.context.close()

    def _get_remaining_ms(self) -> float:
        return self.context.stop.get_remaining_ms(get_boottime_ms())

    async def _close_listeners(self, limit_ms: float) -> int:
        """
        Close the connections of callers and peers, and finish all requests.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        open_connections, _ = await asyncio.gather(
            self._listeners.drain(limit_ms),
            self.context.drain.wait_until_idle(limit_ms),
        )
        return open_connections

    async def _tick(self, request_handler: RequestHandler) -> None:
        while True:
            await asyncio.sleep(global_settings.SCHEDULER_TICK_MS / 1000)
            self.context.exchanges.time_limits.adjust()
            self._handover.check()
            self._piece_client.notify_new_hosts()
            self.service.advance_all()
            request_handler.start_deferred()
