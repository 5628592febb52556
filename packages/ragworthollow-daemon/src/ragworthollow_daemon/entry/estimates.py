"""Estimate the duration of stages."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings

_HALF_LIFE_MS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Estimate:
    """
    Store the estimated duration of one stage.

    Attributes
    ----------
    elapsed_ms : float
        Smoothed duration of an attempt, including time in queues.
    recorded_ms : float
        Time of the last update, on the monotonic clock.
    """

    elapsed_ms: float
    recorded_ms: float


class Estimates:
    """
    Estimate stage durations from recent attempts.

    An estimate without new samples halves every second. Otherwise one slow
    minute could make an entry refuse every request, and with no attempts
    left to sample, it would never learn that stages are fast again.
    """

    def __init__(self) -> None:
        self._known: dict[str, Estimate] = {}

    def record(self, stage_key: str, elapsed_ms: float, now_ms: float) -> None:
        """Update the estimate with the duration of a successful attempt."""
        known = self._known.get(stage_key)
        if known is None:
            smoothed_ms = elapsed_ms
        else:
            decay = global_settings.LATENCY_DECAY
            smoothed_ms = known.elapsed_ms * (1 - decay) + elapsed_ms * decay
        self._known[stage_key] = Estimate(
            elapsed_ms=smoothed_ms, recorded_ms=now_ms
        )

    def get_ms(self, stage_key: str, now_ms: float) -> float:
        """Return the estimate of one stage in ms; 0 without samples."""
        known = self._known.get(stage_key)
        if known is None:
            return 0
        stale_ms = max(0, now_ms - known.recorded_ms - _HALF_LIFE_MS)
        return known.elapsed_ms * 0.5 ** (stale_ms / _HALF_LIFE_MS)
