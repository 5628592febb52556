"""Track the requests in flight during a graceful shutdown."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ragworthollow.conf import global_settings
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms

_MS_PER_SECOND = 1000


class DrainState:
    """Hold whether the process is draining and its requests in flight."""

    def __init__(self) -> None:
        self.is_draining = False
        self.in_flight = 0
        self._last_activity_ms = float('-inf')

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Count a request as in flight while the context is active."""
        self.in_flight += 1
        self._last_activity_ms = get_monotonic_ms()
        try:
            yield
        finally:
            self.in_flight -= 1
            self._last_activity_ms = get_monotonic_ms()

    def is_idle(self) -> bool:
        """Return whether nothing is in flight and nothing arrived recently."""
        inactive_ms = get_monotonic_ms() - self._last_activity_ms
        is_inactive = inactive_ms >= global_settings.DRAIN_QUIET_MS
        return not self.in_flight and is_inactive

    async def wait_until_idle(self, limit_ms: float) -> bool:
        """
        Wait until the process is idle.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        bool
            False if the limit passed before the process was idle.
        """
        # Uses CLOCK_BOOTTIME, which includes time in suspend: a process that is
        # suspended while it waits gets no additional time.
        end_ms = get_boottime_ms() + limit_ms
        while not self.is_idle():
            if get_boottime_ms() >= end_ms:
                return False
            await asyncio.sleep(
                global_settings.SHUTDOWN_POLL_MS / _MS_PER_SECOND
            )
        return True
