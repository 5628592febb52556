"""Decide what a gateway that stops still takes, and when it gives up."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeVar

from ragworthollow.conf import global_settings
from ragworthollow.routes import Route
from ragworthollow.utils import get_boottime_ms

Outcome = TypeVar('Outcome')
_MILLISECONDS = 1000


def _may_always_end() -> bool:
    return True


class StopState:
    """
    Know when the process ends.

    A request that is taken shortly before the end would be cut, which tells
    its caller nothing.  So a stopping process refuses what it cannot finish,
    and shortly before its end it answers everything that has no answer yet.

    Times are on the clock that counts suspended time, as the platform's grace
    time does: one that stands still lets a process serve on until it is killed.
    """

    def __init__(self) -> None:
        self._began_ms: float | None = None
        self._ends_ms = float('inf')
        self._closing = asyncio.Event()

    def begin(self, now_ms: float, grace_ms: float) -> None:
        """Note that the process stops, and when it has to be gone."""
        self._began_ms = now_ms
        margin_ms = (
            global_settings.GATEWAY_STOP_MARGIN_MS
            + global_settings.GATEWAY_LAST_ANSWERS_MS
        )
        self._ends_ms = now_ms + grace_ms - margin_ms

    def get_left_ms(self, now_ms: float) -> float:
        """Return the time in which requests can still be finished."""
        return self._ends_ms - now_ms

    async def wait(self, longest_ms: float) -> None:
        """Wait for so long, and no longer than requests can be finished."""
        end_ms = min(get_boottime_ms() + longest_ms, self._ends_ms)
        while get_boottime_ms() < end_ms:
            await asyncio.sleep(global_settings.STOP_STEP_MS / _MILLISECONDS)

    def accepts(self, route: Route, limit_ms: float, now_ms: float) -> bool:
        """
        Tell whether a request can still be finished here.

        Parameters
        ----------
        route : Route
            Its route; how long a stream lasts is known to nobody.
        limit_ms : float
            Longest time that it may take.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        if self._began_ms is None:
            return True
        if route.is_stream():
            stopping_ms = now_ms - self._began_ms
            return stopping_ms < global_settings.GATEWAY_LATE_STREAM_MS
        return limit_ms < self.get_left_ms(now_ms)

    def give_up(self) -> None:
        """Have everything answered that has no answer yet."""
        self._closing.set()

    async def run(
        self,
        work: Coroutine[None, None, Outcome],
        may_end: Callable[[], bool] = _may_always_end,
    ) -> Outcome | None:
        """
        Do work until it is done or the process gives up.

        Parameters
        ----------
        work : coroutine
            Cancelled when the process gives up.
        may_end : callable
            Tells then whether it may be cancelled.

        Returns
        -------
        object or None
            What the work returned; None when it was given up.
        """
        task = asyncio.ensure_future(work)
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            await asyncio.wait(
                {task, closing},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or not may_end():
                return await task
            return None
        finally:
            closing.cancel()
            task.cancel()
