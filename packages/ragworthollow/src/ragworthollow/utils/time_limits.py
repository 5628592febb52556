"""Limit the time of work, including time in which the machine is suspended."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ragworthollow.utils.clock import get_monotonic_ms

_MS_PER_SECOND = 1000
# Differences between the clocks that no suspension has caused.
_TOLERANCE_MS = 20


class TimeLimits:
    """
    Hold the time limits of work in progress.

    Timers of the event loop stand still while the machine is suspended, but
    callers do not wait any longer.  `adjust` makes up for it.

    Must be created inside the running event loop.
    """

    def __init__(self) -> None:
        self._ends_ms: dict[asyncio.Timeout, float] = {}
        self._offset_ms = _get_offset_ms()

    @asynccontextmanager
    async def limit(self, limit_ms: float) -> AsyncIterator[None]:
        """Raise TimeoutError in the enclosed work at the limit."""
        async with asyncio.timeout(limit_ms / _MS_PER_SECOND) as timeout:
            self._ends_ms[timeout] = get_monotonic_ms() + limit_ms
            try:
                yield
            finally:
                self._ends_ms.pop(timeout)

    def adjust(self) -> None:
        """Adjust all timers after a suspension since the previous call."""
        previous_ms = self._offset_ms
        self._offset_ms = _get_offset_ms()
        if self._offset_ms <= previous_ms + _TOLERANCE_MS:
            return
        for timeout, end_ms in self._ends_ms.items():
            if not timeout.expired():
                timeout.reschedule((end_ms - self._offset_ms) / _MS_PER_SECOND)


def _get_offset_ms() -> float:
    """Return by how much the clock is ahead of that of the event loop."""
    loop_ms = asyncio.get_running_loop().time() * _MS_PER_SECOND
    return get_monotonic_ms() - loop_ms
