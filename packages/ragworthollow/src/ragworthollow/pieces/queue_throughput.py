"""Measure the rate at which a scheduler's queue drains."""

import math

from ragworthollow.conf import global_settings


class QueueThroughput:
    """
    Measure the rate at which pieces leave a backlogged queue.

    The rate that call times suggest is higher than the actual one when calls
    are delayed by a lack of space for results, by suspect instances or by
    pieces that wait for an instance in a preferred failure domain.  An
    estimate from call times alone admits requests that are given up hundreds
    of milliseconds later, when their callers have less time left to retry.
    """

    def __init__(self) -> None:
        self._pieces: float = 0
        self._backlog_ms: float = 0
        self._was_backlogged = False
        self._recorded_ms: float | None = None

    def record(
        self,
        *,
        started: int,
        is_backlogged: bool,
        now_ms: float,
    ) -> None:
        """
        Record one scheduling cycle.

        Parameters
        ----------
        started : int
            Number of pieces that were sent to instances.
        is_backlogged : bool
            Whether pieces remained in the queue.
        now_ms : float
            Current time on the monotonic clock.
        """
        elapsed_ms = (
            0 if self._recorded_ms is None else now_ms - self._recorded_ms
        )
        decay = math.exp(
            -elapsed_ms / global_settings.QUEUE_THROUGHPUT_DECAY_MS
        )
        self._recorded_ms = now_ms
        self._pieces *= decay
        self._backlog_ms *= decay
        if self._was_backlogged:
            self._pieces += started
            self._backlog_ms += elapsed_ms
        self._was_backlogged = is_backlogged

    def estimate_ms(self, pieces_ahead: int) -> float:
        """Return the time for a number of pieces; 0 while it is unknown."""
        if self._backlog_ms < global_settings.QUEUE_THROUGHPUT_MIN_MS:
            return 0
        return pieces_ahead * self._backlog_ms / max(1, self._pieces)
