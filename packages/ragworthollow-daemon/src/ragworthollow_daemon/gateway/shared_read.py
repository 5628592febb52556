"""Share reads of the store among callers that wait at the same time."""

import asyncio
from collections.abc import Awaitable, Callable

from ragworthollow.utils import get_monotonic_ms

_MILLISECONDS = 1000


class SharedRead:
    """
    Repeat a read on demand, one at a time.

    Each caller gets a read that began after its call, so that it contains
    everything that was written before.

    Parameters
    ----------
    read : callable
        Makes the read, handles its failure, and returns whether it succeeded.
    get_interval_ms : callable
        Returns the shortest time between the beginnings of two reads.
    """

    def __init__(
        self,
        *,
        read: Callable[[], Awaitable[bool]],
        get_interval_ms: Callable[[], float],
    ) -> None:
        self._read = read
        self._get_interval_ms = get_interval_ms
        self._began_ms = float('-inf')
        self._current: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def run(self, limit_ms: float) -> bool:
        """
        Wait for a read that begins from now on.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        bool
            Whether the read has succeeded in time.
        """
        if self._next is None:
            self._next = asyncio.ensure_future(self._run_next(self._current))
        try:
            async with asyncio.timeout(limit_ms / _MILLISECONDS):
                # A caller that leaves must not cancel the read of the others.
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    async def _run_next(self, previous: asyncio.Task[bool] | None) -> bool:
        try:
            if previous is not None:
                await asyncio.wait((previous,))
            pause_ms = (
                self._began_ms + self._get_interval_ms() - get_monotonic_ms()
            )
            await asyncio.sleep(max(0, pause_ms) / _MILLISECONDS)
        finally:
            self._current = self._next
            self._next = None
        self._began_ms = get_monotonic_ms()
        return await self._read()
