"""Decide what a stopping gateway accepts, and when it aborts requests."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import TypeVar

from ragworthollow.conf import global_settings
from ragworthollow.routes import Route
from ragworthollow.utils import get_boottime_ms

Outcome = TypeVar('Outcome')
RequestShutdown = Callable[[], None]
_MILLISECONDS = 1000


def send_sigterm() -> None:
    """Send SIGTERM to this process, as the platform does."""
    signal.raise_signal(signal.SIGTERM)


def _always_allow() -> bool:
    return True


class ShutdownState:
    """
    Track the shutdown deadline of the process.

    A request accepted shortly before the exit would be interrupted without a
    response to its caller.  So a stopping process refuses requests that it
    cannot finish, and shortly before it exits it responds to all requests
    that have no response yet.

    Times are on CLOCK_BOOTTIME, which includes time in suspend, like the
    platform's grace period.  With a clock that stops during suspend, the
    process would keep serving until it is killed.
    """

    def __init__(self) -> None:
        self._started_ms: float | None = None
        self._deadline_ms = float('inf')
        self._abort_requested = asyncio.Event()

    def begin(self, now_ms: float, grace_ms: float) -> None:
        """Record the start of the shutdown, and set its deadline."""
        self._started_ms = now_ms
        margin_ms = (
            global_settings.GATEWAY_STOP_MARGIN_MS
            + global_settings.GATEWAY_FINAL_RESPONSES_MS
        )
        self._deadline_ms = now_ms + grace_ms - margin_ms

    def get_remaining_ms(self, now_ms: float) -> float:
        """Return the time left in which requests can still finish."""
        return self._deadline_ms - now_ms

    async def wait(self, max_ms: float) -> None:
        """Wait for `max_ms`, but only while requests can still finish."""
        wait_until_ms = min(get_boottime_ms() + max_ms, self._deadline_ms)
        while get_boottime_ms() < wait_until_ms:
            await asyncio.sleep(
                global_settings.SHUTDOWN_POLL_MS / _MILLISECONDS
            )

    def accepts(self, route: Route, limit_ms: float, now_ms: float) -> bool:
        """
        Return whether a request can still finish in this process.

        Parameters
        ----------
        route : Route
            Its route; the duration of a stream is not known in advance.
        limit_ms : float
            Maximum time that it may take.
        now_ms : float
            Time on CLOCK_BOOTTIME.
        """
        if self._started_ms is None:
            return True
        if route.is_stream():
            since_stop_ms = now_ms - self._started_ms
            return since_stop_ms < global_settings.GATEWAY_LATE_STREAM_MS
        return limit_ms < self.get_remaining_ms(now_ms)

    def abort(self) -> None:
        """Abort unanswered work, so that its callers get a response."""
        self._abort_requested.set()

    async def run(
        self,
        work: Coroutine[None, None, Outcome],
        may_cancel: Callable[[], bool] = _always_allow,
    ) -> Outcome | None:
        """
        Run work until it is done or the process aborts it.

        Parameters
        ----------
        work : coroutine
            The work, which is cancelled if the process aborts it.
        may_cancel : callable
            Called at that point; returns whether the work may be cancelled.

        Returns
        -------
        object or None
            The result of the work; None if it was aborted.
        """
        task = asyncio.ensure_future(work)
        abort_wait = asyncio.ensure_future(self._abort_requested.wait())
        try:
            await asyncio.wait(
                {task, abort_wait},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done() or not may_cancel():
                return await task
            return None
        finally:
            abort_wait.cancel()
            task.cancel()
