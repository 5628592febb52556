"""Notice that a client has left whose connection is not being read."""

import asyncio
import select
from collections.abc import Callable

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000
_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerCheck:
    """
    Check a connection at intervals for the end of its client.

    The event loop reports the end of a connection only while it reads from
    it.  Where reading is paused, since the client sends more than can be
    processed, its work would go on for nobody.

    Parameters
    ----------
    on_left : callable
        Called when the client has left.
    """

    def __init__(self, *, on_left: Callable[[], None]) -> None:
        self._on_left = on_left
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.BaseTransport) -> None:
        """Begin to check, unless it has begun."""
        if self._timer is None:
            self._schedule(transport)

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, transport: asyncio.BaseTransport) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            global_settings.CALLER_CHECK_MS / _MILLISECONDS,
            self._check,
            transport,
        )

    def _check(self, transport: asyncio.BaseTransport) -> None:
        self._timer = None
        if transport.is_closing():
            return
        connection = transport.get_extra_info('socket')
        poller = select.poll()
        poller.register(connection.fileno(), select.POLLRDHUP)
        if any(event & _LEFT for _, event in poller.poll(0)):
            self._on_left()
        else:
            self._schedule(transport)
