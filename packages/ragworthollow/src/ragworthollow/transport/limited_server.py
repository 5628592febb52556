"""Serve clients within the limits of the active configuration."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ragworthollow.conf import global_settings
from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.limited_connection import LimitedConnection
from ragworthollow.transport.timed_connection import GetLimits

_MILLISECONDS = 1000

Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LimitedServer(web.Server):
    """
    Accept connections from clients and apply limits to them.

    Parameters
    ----------
    handle : callable
        Handles a request.
    get_limits : callable
        Returns the active limits.
    guard : ConnectionGuard
        Bounds the connections of all listeners of the process.
    share : float
        Fraction of the sockets of the process for this listener.
    is_message_server : bool
        Whether bodies are messages to this process, which are decoded and
        whose memory is bounded here.
    options
        Options of the aiohttp server.
    """

    def __init__(
        self,
        handle: Handle,
        *,
        get_limits: GetLimits,
        guard: ConnectionGuard,
        share: float,
        is_message_server: bool = False,
        **options: object,
    ) -> None:
        super().__init__(handle, handler_cancellation=True, **options)
        self.guard = guard
        self._get_limits = get_limits
        self._is_message_server = is_message_server
        self._table = guard.make_table(share)

    def __call__(self) -> RequestHandler:
        """Create the handler of a new connection."""
        return LimitedConnection(
            self,
            get_limits=self._get_limits,
            table=self._table,
            loop=asyncio.get_running_loop(),
            access_log=None,
            # Bodies that are passed on stay as they were sent.
            auto_decompress=self._is_message_server,
            bounds_bodies=self._is_message_server,
            read_bufsize=global_settings.REQUEST_READ_BUFFER_BYTES,
            lingering_time=(global_settings.GATEWAY_LINGER_MS / _MILLISECONDS),
        )
