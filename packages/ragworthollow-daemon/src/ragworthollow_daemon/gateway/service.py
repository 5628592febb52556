"""Run a gateway as a service with a graceful shutdown."""

import asyncio
import os
import signal

from aiomisc import Service

from ragworthollow.conf import GatewaySettings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow_daemon.gateway.role import GatewayRole

_CUT_EXIT_CODE = 1


class GatewayService(Service):
    """
    Start a gateway, serve, and stop without cutting a request.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    """

    settings: GatewaySettings

    async def start(self) -> None:
        """Begin to serve."""
        self._stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_stop)
        loop.add_signal_handler(signal.SIGHUP, self._take_reload)
        self._role = GatewayRole(settings=self.settings)
        await self._role.start()
        log_event(
            'started',
            step='lifecycle',
            peer=self.settings.instance,
            role=self.settings.role,
            incarnation=self._role.context.incarnation,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listeners and the sessions."""
        await self._role.close()

    async def serve(self) -> None:
        """Serve until a signal asks for a stop and the stop is complete."""
        await self._stopping.wait()
        await self._role.stop()
        # Nothing is kept, so that there is nothing to tear down; the time up
        # to KILL belongs to what was still served.
        os._exit(0)

    def _take_stop(self) -> None:
        drain = self._role.context.drain
        if drain.is_draining:
            log_error(
                'stopped_at_once',
                step='lifecycle',
                peer=self.settings.instance,
                cut=drain.in_flight,
            )
            os._exit(_CUT_EXIT_CODE)
        self._role.begin_stop()
        log_event(
            'draining',
            step='lifecycle',
            peer=self.settings.instance,
            in_flight=drain.in_flight,
        )
        self._stopping.set()

    def _take_reload(self) -> None:
        log_event('reload', step='lifecycle', peer=self.settings.instance)
