"""Measure when the events of a stream arrive."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class StreamTiming:
    """
    Record the first event of a stream and the longest pause after it.

    Attributes
    ----------
    first_event_ms : float or None
        When the first event arrived, on the monotonic clock.
    longest_pause_ms : float
        Longest time between two arrivals of events, in milliseconds.
    """

    first_event_ms: float | None = None
    longest_pause_ms: float = 0
    _last_event_ms: float = 0

    def record(self, now_ms: float) -> None:
        """Record that events have arrived."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            pause_ms = now_ms - self._last_event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self._last_event_ms = now_ms
