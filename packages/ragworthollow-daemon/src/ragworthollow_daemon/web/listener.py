"""Listen for the connections of a process, and close them for its shutdown."""

import socket

from aiohttp import web

from ragworthollow.conf import ListenSettings, global_settings
from ragworthollow.routes import RequestLimits
from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.limited_runner import LimitedRunner
from ragworthollow.transport.listener_closing import close_listener
from ragworthollow.transport.listening_socket import bind_listening_socket

# The shutdown has already waited for requests.
_CLEANUP_TIMEOUT_S = 0.1
_LIMITS = RequestLimits(
    header_bytes=global_settings.MAX_HEADER_BYTES,
    idle_timeout_ms=2 * global_settings.KEEPALIVE_MS,
)


class Listener:
    """
    Own the listening socket of a process and its connections.

    Parameters
    ----------
    application : Application
        Application to serve.
    listen : ListenSettings
        Host and port to listen on.
    guard : ConnectionGuard
        Bounds the connections of this process.
    """

    def __init__(
        self,
        *,
        application: web.Application,
        listen: ListenSettings,
        guard: ConnectionGuard,
    ) -> None:
        self._listen = listen
        self._runner = LimitedRunner(
            application,
            get_limits=lambda: _LIMITS,
            guard=guard,
            share=global_settings.DAEMON_CONNECTIONS_SHARE,
            shutdown_timeout=_CLEANUP_TIMEOUT_S,
        )
        self._socket: socket.socket | None = None

    async def start(self) -> None:
        """Bind the port and start to listen."""
        await self._runner.setup()
        self._socket = bind_listening_socket(
            self._listen.host, self._listen.port
        )
        site = web.SockSite(
            self._runner,
            self._socket.dup(),
            backlog=global_settings.MAX_CONNECTIONS,
        )
        await site.start()

    async def close(self, limit_ms: float) -> int:
        """
        Refuse new connections, then wait until all open ones are closed.

        The port stays bound: an instance has only one process, and the next
        one may not start before this one has ended.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        for site in tuple(self._runner.sites):
            await site.stop()
        # Linux keeps the port of a listening socket that is shut down, and
        # without SO_REUSEADDR nobody else can bind it.
        if self._socket is not None:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
            self._socket.shutdown(socket.SHUT_RDWR)
        # Responds to long polls.
        await self._runner.shutdown()
        # Idle connections take a moment to close and would be counted as open.
        return await close_listener(
            self._runner, max(limit_ms, global_settings.SHUTDOWN_POLL_MS)
        )

    async def cleanup(self) -> None:
        """Close all connections at once and release the port."""
        await self._runner.cleanup()
        if self._socket is not None:
            self._socket.close()
