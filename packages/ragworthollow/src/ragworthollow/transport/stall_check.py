"""Notice that a client reads nothing of its response."""

import asyncio
from collections.abc import Callable

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000


class StallCheck:
    """
    Check at intervals that a connection sends bytes that wait.

    Parameters
    ----------
    on_stall : callable
        Called when nothing was sent for `RESPONSE_STALL_MS`.
    """

    def __init__(self, *, on_stall: Callable[[], None]) -> None:
        self._on_stall = on_stall
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.WriteTransport) -> None:
        """Begin to check, unless it has begun."""
        if self._timer is None:
            self._schedule(transport)

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, transport: asyncio.WriteTransport) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            global_settings.RESPONSE_STALL_MS / _MILLISECONDS,
            self._check,
            transport,
            transport.get_write_buffer_size(),
        )

    def _check(
        self, transport: asyncio.WriteTransport, previous_bytes: int
    ) -> None:
        self._timer = None
        if transport.get_write_buffer_size() < previous_bytes:
            self._schedule(transport)
        else:
            self._on_stall()
