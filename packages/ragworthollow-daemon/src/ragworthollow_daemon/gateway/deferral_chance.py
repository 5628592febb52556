"""Track the share of deferred requests that were started recently."""

import math
from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class DeferralChance:
    """Count started and expired deferred requests, with exponential decay."""

    _begun: float = 0
    _expired: float = 0
    _noted_ms: float | None = None

    def note(self, now_ms: float, *, may_begin: bool) -> None:
        """Record whether a request was started before its caller gave up."""
        self._fade(now_ms)
        if may_begin:
            self._begun += 1
        else:
            self._expired += 1

    def get(self, now_ms: float) -> float:
        """Return the share that was started; 1 without observations."""
        self._fade(now_ms)
        return (self._begun + 1) / (self._begun + self._expired + 1)

    def _fade(self, now_ms: float) -> None:
        passed_ms = 0 if self._noted_ms is None else now_ms - self._noted_ms
        kept = math.exp(-passed_ms / global_settings.DEFERRAL_MEMORY_MS)
        self._noted_ms = now_ms
        self._begun *= kept
        self._expired *= kept
