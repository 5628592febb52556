"""Run a web application whose connections are limited."""

from aiohttp import web

from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.limited_server import LimitedServer
from ragworthollow.transport.timed_connection import GetLimits


class LimitedRunner(web.AppRunner):
    """
    Serve an application on limited connections.

    Parameters
    ----------
    application : Application
        Application to serve.
    get_limits : callable
        Returns the active limits.
    guard : ConnectionGuard
        Bounds the connections of all listeners of the process.
    share : float
        Fraction of the sockets of the process for this listener.
    options
        Options of the aiohttp runner.
    """

    def __init__(
        self,
        application: web.Application,
        *,
        get_limits: GetLimits,
        guard: ConnectionGuard,
        share: float,
        **options: object,
    ) -> None:
        super().__init__(application, **options)
        self._get_limits = get_limits
        self._guard = guard
        self._share = share

    async def _make_server(self) -> LimitedServer:
        server = await super()._make_server()
        return LimitedServer(
            server.request_handler,
            request_factory=server.request_factory,
            get_limits=self._get_limits,
            guard=self._guard,
            share=self._share,
            is_message_server=True,
        )
