"""Track a graceful shutdown."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ragworthollow.conf import global_settings
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms

_MILLISECONDS = 1000


class DrainState:
    """Know whether the process stops and what it still serves."""

    def __init__(self) -> None:
        self.is_draining = False
        self.in_flight = 0
        self._last_seen_ms = float('-inf')

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Count one piece of work while it is served."""
        self.in_flight += 1
        self._last_seen_ms = get_monotonic_ms()
        try:
            yield
        finally:
            self.in_flight -= 1
            self._last_seen_ms = get_monotonic_ms()

    def is_quiet(self) -> bool:
        """Tell whether nothing is served and nothing came of late."""
        silence_ms = get_monotonic_ms() - self._last_seen_ms
        is_silent = silence_ms >= global_settings.DRAIN_QUIET_MS
        return not self.in_flight and is_silent

    async def wait_quiet(self, limit_ms: float) -> bool:
        """
        Wait until the process is quiet.

        Parameters
        ----------
        limit_ms : float
            Longest wait.

        Returns
        -------
        bool
            False when work is still being served at the limit.
        """
        # A process that is suspended meanwhile has no more time than before.
        end_ms = get_boottime_ms() + limit_ms
        while not self.is_quiet():
            if get_boottime_ms() >= end_ms:
                return False
            await asyncio.sleep(global_settings.STOP_STEP_MS / _MILLISECONDS)
        return True
