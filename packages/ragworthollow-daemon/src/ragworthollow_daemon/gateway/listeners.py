"""Run the listeners of a gateway and close them for its shutdown."""

import asyncio

from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.routes import RequestLimits
from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.limited_runner import LimitedRunner
from ragworthollow.transport.limited_server import Handle, LimitedServer
from ragworthollow.transport.listener_closing import close_listener
from ragworthollow.transport.listening_socket import bind_listening_socket
from ragworthollow.transport.timed_connection import GetLimits

# The shutdown has already waited for requests; only idle connections remain.
_CLEANUP_TIMEOUT_S = 0.1
_OWN_LIMITS = RequestLimits(
    header_bytes=global_settings.MAX_HEADER_BYTES,
    idle_timeout_ms=2 * global_settings.KEEPALIVE_MS,
)


def get_own_limits() -> RequestLimits:
    """Return the limits at addresses for which operators set none."""
    return _OWN_LIMITS


class Listeners:
    """
    Own the runners of all listeners of a process.

    Parameters
    ----------
    guard : ConnectionGuard
        Bounds their connections.
    """

    def __init__(self, *, guard: ConnectionGuard) -> None:
        self._guard = guard
        self._runners: list[web.BaseRunner] = []
        self._draining: list[web.BaseRunner] = []

    async def serve(
        self,
        address: str,
        handle: Handle,
        *,
        get_limits: GetLimits,
        share: float,
        drains: bool,
    ) -> None:
        """
        Start a listener whose requests one function handles.

        Parameters
        ----------
        address : str
            Address to listen on, as `IP:PORT`.
        handle : callable
            Handles a request.
        get_limits : callable
            Returns the active limits on requests.
        share : float
            Fraction of the sockets of the process for its connections.
        drains : bool
            Whether its connections have to be closed before the process
            exits.
        """
        server = LimitedServer(
            handle, get_limits=get_limits, guard=self._guard, share=share
        )
        runner = web.ServerRunner(server, shutdown_timeout=_CLEANUP_TIMEOUT_S)
        await self._run(runner, address, drains=drains)

    async def serve_application(
        self,
        address: str,
        application: web.Application,
        *,
        share: float,
        drains: bool,
    ) -> None:
        """Start a listener for an application, as `serve` does."""
        runner = LimitedRunner(
            application,
            get_limits=get_own_limits,
            guard=self._guard,
            share=share,
            shutdown_timeout=_CLEANUP_TIMEOUT_S,
        )
        await self._run(runner, address, drains=drains)

    async def drain(self, limit_ms: float) -> int:
        """
        Close the listeners whose connections have to be closed.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        open_connections = await asyncio.gather(
            *(close_listener(runner, limit_ms) for runner in self._draining),
        )
        return sum(open_connections)

    async def cleanup(self) -> None:
        """Close all listeners at once."""
        for runner in self._runners:
            await runner.cleanup()

    async def _run(
        self,
        runner: web.BaseRunner,
        address: str,
        *,
        drains: bool,
    ) -> None:
        host, _, port = address.rpartition(':')
        await runner.setup()
        site = web.SockSite(
            runner,
            bind_listening_socket(host, int(port)),
            backlog=global_settings.MAX_CONNECTIONS,
        )
        await site.start()
        self._runners.append(runner)
        if drains:
            self._draining.append(runner)
