"""Learn how long stages take."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings

_HALVING_MS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Estimate:
    """
    Hold what was learnt of one stage.

    Attributes
    ----------
    elapsed_ms : float
        Smoothed time an attempt takes, waiting included.
    at_ms : float
        When it was last learnt.
    """

    elapsed_ms: float
    at_ms: float


class Estimates:
    """
    Estimate stages from their recent attempts.

    An estimate that nothing confirms halves every second: otherwise one
    slow minute would make an entry refuse everything, and nothing would
    ever show it that the minute is over.
    """

    def __init__(self) -> None:
        self._known: dict[str, Estimate] = {}

    def record(self, stage_key: str, elapsed_ms: float, now_ms: float) -> None:
        """Learn from an attempt with a whole result."""
        known = self._known.get(stage_key)
        if known is None:
            smoothed_ms = elapsed_ms
        else:
            decay = global_settings.LATENCY_DECAY
            smoothed_ms = known.elapsed_ms * (1 - decay) + elapsed_ms * decay
        self._known[stage_key] = Estimate(elapsed_ms=smoothed_ms, at_ms=now_ms)

    def get_ms(self, stage_key: str, now_ms: float) -> float:
        """Return the estimate of one stage; 0 when nothing is known."""
        known = self._known.get(stage_key)
        if known is None:
            return 0
        silence_ms = max(0, now_ms - known.at_ms - _HALVING_MS)
        return known.elapsed_ms * 0.5 ** (silence_ms / _HALVING_MS)
