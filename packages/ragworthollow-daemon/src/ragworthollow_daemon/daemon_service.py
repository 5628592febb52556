"""Run a role as a service with a graceful shutdown."""

import asyncio
import os
import signal

from aiomisc import Service

from ragworthollow.conf import DaemonSettings, Role
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.role import EntryRole
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.role import SidecarRole
from ragworthollow_daemon.web import make_application, run_site

_CUT_EXIT_CODE = 1


class DaemonService(Service):
    """
    Start a role, serve, and stop without cutting a request.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    """

    settings: DaemonSettings

    async def start(self) -> None:
        """Learn what is needed, then listen."""
        self._stopping = asyncio.Event()
        self._context = ProcessContext(settings=self.settings)
        self._role = _make_role(self._context)
        application = make_application(self._context)
        self._role.add_to(application)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        # Binding the port first makes sure that no earlier process of this
        # instance is left: ownership of keys relies on it.
        self._runner = await run_site(application, self.settings.listen)
        await self._context.start()
        await self._role.start()
        log_event(
            'started',
            step='lifecycle',
            peer=self.settings.instance,
            role=self.settings.role,
            generation=self._context.store.generation,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the listener and the sessions."""
        await self._runner.cleanup()
        await self._context.close()

    async def serve(self) -> None:
        """Serve until a signal asks for a stop and the stop is complete."""
        await self._stopping.wait()
        started_ms = get_monotonic_ms()
        await self._role.stop(self.settings.drain_limit_ms)
        drain = self._context.drain
        log = log_error if drain.in_flight else log_event
        log(
            'stopped',
            step='lifecycle',
            peer=self.settings.instance,
            cut=drain.in_flight,
            elapsed_ms=round(get_monotonic_ms() - started_ms),
        )

    def _take_signal(self) -> None:
        if self._context.drain.is_draining:
            log_error(
                'stopped_at_once',
                step='lifecycle',
                peer=self.settings.instance,
                cut=self._context.drain.in_flight,
            )
            os._exit(_CUT_EXIT_CODE)
        self._context.drain.is_draining = True
        log_event(
            'draining',
            step='lifecycle',
            peer=self.settings.instance,
            in_flight=self._context.drain.in_flight,
        )
        self._stopping.set()


def _make_role(context: ProcessContext) -> EntryRole | SidecarRole:
    if context.settings.role is Role.entry:
        return EntryRole(context=context)
    return SidecarRole(context=context)
