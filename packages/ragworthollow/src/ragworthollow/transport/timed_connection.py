"""Limit the time for a request head and the idle time of a connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from aiohttp.web_protocol import RequestHandler

from ragworthollow.routes import RequestLimits
from ragworthollow.transport.refusal import render_refusal
from ragworthollow.transport.rejection_log import RejectionLog

_MILLISECONDS = 1000

GetLimits = Callable[[], RequestLimits]


class TimedConnection(RequestHandler):
    """
    Limit the time for a request head and the idle time of a connection.

    A client that sends its head one byte at a time, or opens connections and
    sends nothing, could hold memory and file descriptors indefinitely.
    aiohttp fixes the idle limit when a connection opens and does not limit
    the time for a head at all. A raised idle limit applies to open
    connections too: otherwise a client that relies on the new limit could
    send a request just as the server closes the connection.

    Parameters
    ----------
    server : Server
        Server that accepted the connection.
    get_limits : callable
        Returns the active limits.
    log : RejectionLog
        Records refused clients.
    options
        Options of the aiohttp request handler.
    """

    def __init__(
        self,
        server: object,
        *,
        get_limits: GetLimits,
        log: RejectionLog,
        **options: object,
    ) -> None:
        super().__init__(
            server,
            keepalive_timeout=get_limits().idle_timeout_ms / _MILLISECONDS,
            **options,
        )
        self._get_limits = get_limits
        self._log = log
        self._head_timer: asyncio.TimerHandle | None = None

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

    def _update_head_timer(self) -> None:
        """Start the timer when a head begins, and stop it at its end."""
        if not self._is_waiting():
            self._cancel_head_timer()
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._get_limits().header_timeout_ms / _MILLISECONDS,
                self._handle_head_timeout,
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _handle_head_timeout(self) -> None:
        self._head_timer = None
        if not self._is_waiting() or self.transport is None:
            return
        self._log.record('head_too_slow', peer=str(self.peername))
        # The request head is incomplete, so that nothing has run.
        self.transport.write(render_refusal(HTTPStatus.REQUEST_TIMEOUT))
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
