"""Run the listeners of a gateway and close them for its shutdown."""

import asyncio

from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.transport.listener_closing import close_listener

# The shutdown has already waited for requests; only idle connections remain.
_CLEANUP_TIMEOUT_S = 0.1


class Listeners:
    """Own the runners of all listeners of a process."""

    def __init__(self) -> None:
        self._runners: list[web.BaseRunner] = []
        self._draining: list[web.BaseRunner] = []

    async def serve(
        self,
        address: str,
        server: web.Server,
        *,
        drains: bool,
    ) -> None:
        """
        Start a listener for a server.

        Parameters
        ----------
        address : str
            Address to listen on, as `IP:PORT`.
        server : Server
            Server that handles the connections.
        drains : bool
            Whether its connections have to be closed before the process
            exits.
        """
        runner = web.ServerRunner(server, shutdown_timeout=_CLEANUP_TIMEOUT_S)
        await self._run(runner, address, drains=drains)

    async def serve_application(
        self,
        address: str,
        application: web.Application,
        *,
        drains: bool,
    ) -> None:
        """Start a listener for an application, as `serve` does."""
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
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
        site = web.TCPSite(
            runner,
            host,
            int(port),
            backlog=global_settings.MAX_CONNECTIONS,
            reuse_address=True,
        )
        await site.start()
        self._runners.append(runner)
        if drains:
            self._draining.append(runner)
