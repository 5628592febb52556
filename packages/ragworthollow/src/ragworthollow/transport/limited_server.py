"""Serve callers within the time limits of the configuration in force."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.routes import RequestLimits

_MILLISECONDS = 1000
# A whole head has not come, so that nothing has run.
_HEAD_TOO_SLOW = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)

GetLimits = Callable[[], RequestLimits]
Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LimitedConnection(RequestHandler):
    """
    Bound how long a head may take, and how long a connection may idle.

    A caller that sends its head a byte at a time, or opens connections and
    sends nothing, would hold memory and descriptors for as long as it
    likes.  The library bounds idle connections by a figure that is fixed
    when a connection opens, and heads not at all.  A limit that grows holds
    for open connections too: a caller that goes by the new limit would
    otherwise have its request cross the close.

    Parameters
    ----------
    server : LimitedServer
        Whose connection it is.
    get_limits : callable
        Returns the limits in force.
    options
        Of the library's own handler.
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
        """Take bytes, and give a head that has begun its time to end."""
        super().data_received(data)
        if not self._is_waiting():
            self._stop_head_timer()
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._get_limits().header_timeout_ms / _MILLISECONDS,
                self._end_slow_head,
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def _is_waiting(self) -> bool:
        """
        Tell whether no request is worked on and none has arrived.

        The first bytes may come before the library begins to wait.
        """
        if not self._request_count:
            return True
        return self._waiter is not None and not self._waiter.done()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow_head(self) -> None:
        self._head_timer = None
        if not self._is_waiting() or self.transport is None:
            return
        log_event('head_too_slow', step='front', peer=str(self.peername))
        self.transport.write(_HEAD_TOO_SLOW)
        self.force_close()

    def _process_keepalive(self) -> None:
        """Close an idle connection by the limit that is now in force."""
        limit_s = self._get_limits().idle_timeout_ms / _MILLISECONDS
        later_s = max(0, limit_s - self._keepalive_timeout)
        close_s = self._next_keepalive_close_time + later_s
        now_s = self._loop.time()
        if self._head_timer is not None:
            # A head has begun, and has a limit of its own.
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
    Make a limited connection of each that callers open.

    Parameters
    ----------
    handle : callable
        Answers a request.
    get_limits : callable
        Returns the limits in force.
    """

    def __init__(self, handle: Handle, *, get_limits: GetLimits) -> None:
        super().__init__(handle, handler_cancellation=True)
        self._get_limits = get_limits

    def __call__(self) -> RequestHandler:
        """Make the handler of a new connection."""
        return LimitedConnection(
            self,
            self._get_limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=global_settings.GATEWAY_HEADER_BYTES,
            max_field_size=global_settings.GATEWAY_HEADER_BYTES,
            lingering_time=(global_settings.GATEWAY_LINGER_MS / _MILLISECONDS),
        )
