"""Limit the duration of a graceful shutdown."""

import asyncio
from collections.abc import Awaitable

from ragworthollow.utils import get_boottime_ms

_MS_PER_SECOND = 1000


class ShutdownLimit:
    """
    Hold the time by which all parts of a shutdown have to end.

    It is kept on CLOCK_BOOTTIME, which includes time in suspend.

    Parameters
    ----------
    limit_ms : float
        Maximum duration from now, in milliseconds.
    """

    def __init__(self, *, limit_ms: float) -> None:
        self._end_ms = get_boottime_ms() + limit_ms

    def get_remaining_ms(self) -> float:
        """Return the remaining time in milliseconds, at least 0."""
        return max(self._end_ms - get_boottime_ms(), 0)

    async def run(self, awaitable: Awaitable[object]) -> bool:
        """
        Wait for an awaitable, and cancel it at the limit.

        Parameters
        ----------
        awaitable : Awaitable
            What to wait for.

        Returns
        -------
        bool
            False if it was cancelled.
        """
        try:
            async with asyncio.timeout(
                self.get_remaining_ms() / _MS_PER_SECOND
            ):
                await awaitable
        except TimeoutError:
            return False
        return True
