"""Run a gateway as a service with a graceful shutdown."""

import asyncio
import os
import signal

from aiomisc import Service

from ragworthollow.conf import GatewaySettings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow_daemon.build_info import describe_build
from ragworthollow_daemon.gateway.features import find_features
from ragworthollow_daemon.gateway.role import GatewayRole
from ragworthollow_daemon.loop_monitor import LoopMonitor

_FORCED_EXIT_CODE = 1


class GatewayService(Service):
    """
    Start a gateway, serve, and stop without interrupting requests.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    """

    settings: GatewaySettings

    async def start(self) -> None:
        """Install the signal handlers and start the gateway."""
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._handle_reload_signal)
        self._is_signalled = False
        self._role = GatewayRole(
            settings=self.settings,
            request_shutdown=self._begin_shutdown,
        )
        loop_monitor = LoopMonitor(metrics=self._role.context.metrics)
        loop_monitor.start_sampling()
        self._role.context.spawn(loop_monitor.run())
        await self._role.start()
        log_event(
            'started',
            step='lifecycle',
            peer=self.settings.instance,
            role=self.settings.role,
            incarnation=self._role.context.incarnation,
            features=sorted(find_features(self.settings)),
            platform_contracts=self.settings.platform_contracts,
            **describe_build(),
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listeners and the sessions."""
        await self._role.close()

    async def serve(self) -> None:
        """Serve until a signal requests shutdown and it is complete."""
        await self._stopping.wait()
        await self._role.stop()
        # The process keeps no state that needs a teardown; the time before
        # SIGKILL is reserved for the requests in flight.
        os._exit(0)

    def _handle_stop_signal(self) -> None:
        if self._is_signalled:
            log_error(
                'stopped_at_once',
                step='lifecycle',
                peer=self.settings.instance,
                cut=self._role.context.drain.in_flight,
            )
            os._exit(_FORCED_EXIT_CODE)
        self._is_signalled = True
        self._begin_shutdown()

    def _begin_shutdown(self) -> None:
        drain = self._role.context.drain
        if drain.is_draining:
            return
        self._role.begin_shutdown()
        log_event(
            'draining',
            step='lifecycle',
            peer=self.settings.instance,
            in_flight=drain.in_flight,
        )
        self._stopping.set()

    def _handle_reload_signal(self) -> None:
        log_event('reload', step='lifecycle', peer=self.settings.instance)
