"""Track how long work takes on instances."""

from ragworthollow.conf import global_settings


class WorkTimes:
    """
    Track the usual work time of instances from what they report.

    Other programs on an instance lengthen its work time for some hundred
    milliseconds at a time, and nothing shortens it, so the shortest recent one
    is the usual one.  It is taken over two periods, so that an instance that
    turns slow for longer is noticed.

    Attributes
    ----------
    has_reports : bool
        Whether any work time was ever recorded.
    """

    def __init__(self) -> None:
        self.has_reports = False
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._period_ends_ms = float('-inf')

    def record(self, incarnation: str, ratio: float, now_ms: float) -> None:
        """Record a reported work time, relative to that of other instances."""
        self.has_reports = True
        self._start_period(now_ms)
        known = self._current.get(incarnation, ratio)
        self._current[incarnation] = min(ratio, known)

    def get(self, incarnation: str, now_ms: float) -> float | None:
        """Return the shortest recent work time; None if none was reported."""
        self._start_period(now_ms)
        ratios = [
            period[incarnation]
            for period in (self._current, self._previous)
            if incarnation in period
        ]
        return min(ratios, default=None)

    def _start_period(self, now_ms: float) -> None:
        period_ms = global_settings.WORK_TIME_PERIOD_MS
        if now_ms < self._period_ends_ms:
            return
        is_consecutive = now_ms < self._period_ends_ms + period_ms
        self._previous = self._current if is_consecutive else {}
        self._current = {}
        self._period_ends_ms = now_ms + period_ms
