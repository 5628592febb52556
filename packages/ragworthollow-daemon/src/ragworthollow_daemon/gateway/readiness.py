"""Answer the load balancer's readiness checks."""

from aiohttp import web

from ragworthollow.platform.request_wire import READY_PATH
from ragworthollow_daemon.gateway.context import GatewayContext

_NOT_FOUND = 404
_UNAVAILABLE = 503


class Readiness:
    """
    Report whether this gateway accepts new connections.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context

    def is_ready(self) -> bool:
        """Return whether requests can be served now."""
        context = self._context
        has_state = (
            context.route_table is not None
            and context.quarantine.has_polled_peers
        )
        return has_state and not context.drain.is_draining

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one readiness check."""
        if request.path != READY_PATH:
            return web.Response(status=_NOT_FOUND)
        if self.is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=_UNAVAILABLE, text='not ready\n')
