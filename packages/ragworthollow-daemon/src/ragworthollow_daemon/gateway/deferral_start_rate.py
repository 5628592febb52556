"""Track the share of deferred requests that were started recently."""

import math
from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class DeferralStartRate:
    """Count started and expired deferred requests, with exponential decay."""

    _started: float = 0
    _expired: float = 0
    _updated_ms: float | None = None

    def record(self, now_ms: float, *, may_begin: bool) -> None:
        """Record whether a request was started before its caller gave up."""
        self._decay(now_ms)
        if may_begin:
            self._started += 1
        else:
            self._expired += 1

    def get(self, now_ms: float) -> float:
        """Return the share that was started; 1 without observations."""
        self._decay(now_ms)
        return (self._started + 1) / (self._started + self._expired + 1)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = (
            0 if self._updated_ms is None else now_ms - self._updated_ms
        )
        decay = math.exp(-elapsed_ms / global_settings.DEFERRAL_DECAY_MS)
        self._updated_ms = now_ms
        self._started *= decay
        self._expired *= decay
