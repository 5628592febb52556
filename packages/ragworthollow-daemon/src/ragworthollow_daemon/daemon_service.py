"""Run a role as a service that shuts down gracefully."""

import asyncio
import os
import signal

from aiomisc import Service

from ragworthollow.conf import DaemonSettings, Role
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.role import EntryRole
from ragworthollow_daemon.graceful_stop import stop_gracefully
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.shutdown_limit import ShutdownLimit
from ragworthollow_daemon.sidecar.role import SidecarRole
from ragworthollow_daemon.web import Listener, make_application

_ABORTED_EXIT_CODE = 1


class DaemonService(Service):
    """
    Start a role, serve requests, and shut down without aborting any.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    """

    settings: DaemonSettings

    async def start(self) -> None:
        """Bind the listener, load the shared state, then start the role."""
        self._shutdown_requested = asyncio.Event()
        self._context = ProcessContext(settings=self.settings)
        self._role = _make_role(self._context)
        application = make_application(self._context)
        self._role.add_to(application)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)
        # Bind the port before joining the fleet: binding fails while an earlier
        # process of this instance is still running. Key ownership relies on
        # there being no such process.
        self._listener = Listener(
            application=application,
            listen=self.settings.listen,
            guard=self._context.guard,
        )
        await self._listener.start()
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
        """Close the listener, the background tasks and the sessions."""
        await self._listener.cleanup()
        await self._context.close()

    async def serve(self) -> None:
        """Serve until a signal requests shutdown and it has completed."""
        await self._shutdown_requested.wait()
        started_ms = get_monotonic_ms()
        drain = self._context.drain
        open_connections = await stop_gracefully(
            role=self._role,
            listener=self._listener,
            drain=drain,
            limit=ShutdownLimit(limit_ms=self.settings.drain_limit_ms),
        )
        drain.log_interrupted_requests()
        is_clean = not (drain.in_flight or open_connections)
        log = log_event if is_clean else log_error
        log(
            'stopped',
            step='lifecycle',
            peer=self.settings.instance,
            cut=drain.in_flight,
            open_connections=open_connections,
            elapsed_ms=round(get_monotonic_ms() - started_ms),
        )

    def request_shutdown(self) -> None:
        """Make `serve` shut down and return."""
        self._context.drain.is_draining = True
        log_event(
            'draining',
            step='lifecycle',
            peer=self.settings.instance,
            in_flight=self._context.drain.in_flight,
        )
        self._shutdown_requested.set()

    def _handle_signal(self) -> None:
        if self._context.drain.is_draining:
            log_error(
                'stopped_at_once',
                step='lifecycle',
                peer=self.settings.instance,
                cut=self._context.drain.in_flight,
            )
            os._exit(_ABORTED_EXIT_CODE)
        self.request_shutdown()


def _make_role(context: ProcessContext) -> EntryRole | SidecarRole:
    if context.settings.role is Role.entry:
        return EntryRole(context=context)
    return SidecarRole(context=context)
