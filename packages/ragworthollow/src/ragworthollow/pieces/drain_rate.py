"""Measure how fast a gate's queue is worked off."""

import math

from ragworthollow.conf import global_settings


class DrainRate:
    """
    Know the rate at which pieces leave a queue that is never empty.

    What instances could do by their call times is more than what they do
    where space for results, suspect instances or pieces that wait for a near
    one hold calls back.  An estimate by call times lets requests in that are
    given up hundreds of milliseconds later, when their caller has less time
    left to come back.
    """

    def __init__(self) -> None:
        self._pieces: float = 0
        self._backlog_ms: float = 0
        self._was_backlogged = False
        self._noted_ms: float | None = None

    def note(self, *, started: int, is_backlogged: bool, now_ms: float) -> None:
        """
        Take one turn of the gate.

        Parameters
        ----------
        started : int
            Pieces that it gave to instances.
        is_backlogged : bool
            Whether pieces stayed behind.
        now_ms : float
            Time on the monotonic clock.
        """
        passed_ms = 0 if self._noted_ms is None else now_ms - self._noted_ms
        kept = math.exp(-passed_ms / global_settings.DRAIN_RATE_MEMORY_MS)
        self._noted_ms = now_ms
        self._pieces *= kept
        self._backlog_ms *= kept
        if self._was_backlogged:
            self._pieces += started
            self._backlog_ms += passed_ms
        self._was_backlogged = is_backlogged

    def estimate_ms(self, ahead: int) -> float:
        """Return how long so many pieces take; 0 while that is not known."""
        if self._backlog_ms < global_settings.DRAIN_RATE_LEAST_MS:
            return 0
        return ahead * self._backlog_ms / max(1, self._pieces)
