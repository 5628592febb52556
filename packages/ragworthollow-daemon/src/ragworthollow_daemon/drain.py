"""Track the requests in flight during a graceful shutdown."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from math import isinf

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.request_in_flight import RequestInFlight

_MS_PER_SECOND = 1000
_STEP = 'lifecycle'


class DrainState:
    """Hold whether the process is draining and its requests in flight."""

    def __init__(self) -> None:
        self.is_draining = False
        self._requests: set[RequestInFlight] = set()
        self._last_activity_ms = float('-inf')
        self._wait_ended_ms = float('inf')

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    @contextmanager
    def serving(self, request_id: str = '', peer: str = '') -> Iterator[None]:
        """
        Count a request as in flight while the context is active.

        Parameters
        ----------
        request_id : str
            Its identifier, for the log.
        peer : str
            Who sent it, for the log.
        """
        request = RequestInFlight(
            request_id=request_id, peer=peer, started_ms=get_monotonic_ms()
        )
        self._requests.add(request)
        self._last_activity_ms = request.started_ms
        try:
            yield
        finally:
            self._requests.discard(request)
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
        is_idle = self.is_idle()
        while not is_idle and get_boottime_ms() < end_ms:
            await asyncio.sleep(
                global_settings.SHUTDOWN_POLL_MS / _MS_PER_SECOND
            )
            is_idle = self.is_idle()
        if isinf(self._wait_ended_ms):
            self._wait_ended_ms = get_monotonic_ms()
            log_event(
                'drain_wait_ended',
                step=_STEP,
                is_idle=is_idle,
                in_flight=self.in_flight,
            )
        return is_idle

    def log_interrupted_requests(self) -> None:
        """Log each request in flight, just before the process exits."""
        now_ms = get_monotonic_ms()
        for request in self._requests:
            log_error(
                'request_interrupted',
                step=_STEP,
                peer=request.peer,
                request_id=request.request_id,
                age_ms=round(now_ms - request.started_ms),
                since_wait_ended_ms=round(now_ms - self._wait_ended_ms),
            )
