"""Track which instances warm up, and until when."""

from ragworthollow.conf import global_settings


class WarmUpTracker:
    """
    Track until when each incarnation of an instance warms up.

    A record in the store states how much longer the warm-up takes, and a later
    record replaces it.  What the instance itself reports, or what follows from
    the end of a drain, is fresher than the record that is read next: it can
    only extend the time.

    Times are on the monotonic clock.  The time in a record counts from when it
    is read, which is after it was written, so that it is never too short.
    """

    def __init__(self) -> None:
        self._listed_until_ms: dict[str, float] = {}
        self._reported_until_ms: dict[str, float] = {}
        self._last_ms = float('-inf')

    def record_entry(self, incarnation: str, until_ms: float) -> None:
        """Apply a new store record of an instance."""
        self._last_ms = max(self._last_ms, until_ms)
        _store(self._listed_until_ms, incarnation, until_ms)

    def record(self, incarnation: str, until_ms: float) -> None:
        """Record that an instance warms up at least until some time."""
        known_ms = self._reported_until_ms.get(incarnation, until_ms)
        self._last_ms = max(self._last_ms, until_ms)
        _store(self._reported_until_ms, incarnation, max(known_ms, until_ms))

    def may_have_any(self, now_ms: float) -> bool:
        """Return whether any instance may still be warming up."""
        return now_ms < self._last_ms

    def get_remaining_ms(self, incarnation: str, now_ms: float) -> float:
        """Return the remaining warm-up time of an instance, or 0."""
        until_ms = max(
            self._listed_until_ms.get(incarnation, now_ms),
            self._reported_until_ms.get(incarnation, now_ms),
        )
        return max(0, until_ms - now_ms)


def _store(
    stored_until_ms: dict[str, float],
    incarnation: str,
    until_ms: float,
) -> None:
    """Store a time, and drop the times that were stored longest ago."""
    stored_until_ms.pop(incarnation, None)
    stored_until_ms[incarnation] = until_ms
    while len(stored_until_ms) > global_settings.MAX_WARM_UPS:
        stored_until_ms.pop(next(iter(stored_until_ms)))
