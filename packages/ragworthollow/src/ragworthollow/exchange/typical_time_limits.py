"""Distinguish retried requests from first attempts by their limits."""

import statistics
from collections import deque

from ragworthollow.conf import global_settings


class TypicalTimeLimits:
    """
    Track the time limits that callers of each route usually send.

    A caller that retries after a refusal sends its remaining time, which is
    shorter than its original limit by the time already spent.  Most requests
    are first attempts, so the median of the recent limits is the limit of a
    first attempt.  Some callers always send a shorter limit than most: a
    limit that recurs is taken as such a caller's own, since the time that
    remains after a pause differs on every retry.
    """

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}

    def record(self, route: str, limit_ms: float) -> float:
        """
        Record the limit of a request.

        Parameters
        ----------
        route : str
            Name of the request's route.
        limit_ms : float
            How long the caller will wait.

        Returns
        -------
        float
            Estimated time in milliseconds that the caller has already waited;
            0 for a first attempt.
        """
        recent = self._recent.setdefault(
            route,
            deque(maxlen=global_settings.TYPICAL_LIMIT_SAMPLES),
        )
        matching = sum(
            abs(recent_ms - limit_ms) <= global_settings.LIMIT_TOLERANCE_MS
            for recent_ms in recent
        )
        recent.append(limit_ms)
        if matching >= global_settings.TYPICAL_LIMIT_REPEATS:
            return 0
        waited_ms = statistics.median(recent) - limit_ms
        if waited_ms < global_settings.MIN_WAITED_MS:
            return 0
        return waited_ms
