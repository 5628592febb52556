"""Serve callers within the time limits of the active configuration."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.routes import RequestLimits

_MILLISECONDS = 1000
# The request head is incomplete, so that nothing has run.
_HEAD_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)

GetLimits = Callable[[], RequestLimits]
Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LimitedConnection(RequestHandler):
    """
    Limit the time for a request head and the idle time of a connection.

    A caller that sends its head one byte at a time, or opens connections and
    sends nothing, could hold memory and file descriptors indefinitely.
    aiohttp fixes the idle limit when a connection opens and does not limit
    the time for a head at all. A raised idle limit applies to open
    connections too: otherwise a caller that relies on the new limit could
    send a request just as the server closes the connection.

    Parameters
    ----------
    server : LimitedServer
        Server that accepted the connection.
    get_limits : callable
        Returns the active limits.
    options
        Options of the aiohttp request handler.
    """

    def __init__(
        self,
        server: 'LimitedServer',
        get_limits: GetLimits,
        **options: object,
    ) -> None:
        super().__init__(
            server,
            keepalive_timeout=get_limits().idle_timeout_ms / _MILLISECONDS,
            **options,
        )
        self._get_limits = get_limits
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Process bytes, and start the timer when a request head begins."""
        super().data_received(data)
        if not self._is_waiting():
            self._cancel_head_timer()
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._get_limits().header_timeout_ms / _MILLISECONDS,
                self._handle_head_timeout,
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a closed connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def is_receiving_head(self) -> bool:
        """Return whether a part of a request head has arrived."""
        return self._head_timer is not None

    def _is_waiting(self) -> bool:
        """
        Return whether no request is in progress and none has arrived.

        The first bytes may arrive before aiohttp begins to wait for them.
        """
        if not self._request_count:
            return True
        return self._waiter is not None and not self._waiter.done()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        self._head_timer = None
        if not self._is_waiting() or self.transport is None:
            return
        log_event('head_too_slow', step='front', peer=str(self.peername))
        self.transport.write(_HEAD_TIMEOUT_RESPONSE)
        self.force_close()

    def _process_keepalive(self) -> None:
        """Close an idle connection by the currently active limit."""
        limit_s = self._get_limits().idle_timeout_ms / _MILLISECONDS
        extension_s = max(0, limit_s - self._keepalive_timeout)
        close_s = self._next_keepalive_close_time + extension_s
        now_s = self._loop.time()
        if self._head_timer is not None:
            # A request head has begun and has its own time limit.
            close_s = now_s + limit_s
        if now_s < close_s:
            self._keepalive_handle = self._loop.call_at(
                close_s,
                self._process_keepalive,
            )
            return
        super()._process_keepalive()


class LimitedServer(web.Server):
    """
    Accept connections from callers and apply time limits to them.

    Parameters
    ----------
    handle : callable
        Handles a request.
    get_limits : callable
        Returns the active limits.
    """

    def __init__(self, handle: Handle, *, get_limits: GetLimits) -> None:
        super().__init__(handle, handler_cancellation=True)
        self._get_limits = get_limits

    def __call__(self) -> RequestHandler:
        """Create the handler of a new connection."""
        return LimitedConnection(
            self,
            self._get_limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            # Bodies are passed on as they were sent.
            auto_decompress=False,
            max_line_size=global_settings.GATEWAY_HEADER_BYTES,
            max_field_size=global_settings.GATEWAY_HEADER_BYTES,
            lingering_time=(global_settings.GATEWAY_LINGER_MS / _MILLISECONDS),
        )
