"""Learn by how much stages take longer than expected."""

import math
from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class WaitError:
    """
    Average the error of the expected duration of recent stages of a pool.

    Stages whose pieces are split among calls end with the last of them, and
    more urgent pieces come while others wait: neither is part of the estimate.
    In a burst all requests then miss their objective by the same tenth of a
    second.
    """

    _errors_ms: float = 0
    _weight: float = 0
    _updated_ms: float | None = None

    def record(self, error_ms: float, now_ms: float) -> None:
        """Record by how much a stage took longer than expected."""
        self._decay(now_ms)
        self._errors_ms += error_ms
        self._weight += 1

    def get_ms(self, now_ms: float) -> float:
        """Return the mean error; 0 if it is negative or little is known."""
        self._decay(now_ms)
        if self._weight < global_settings.WAIT_ERROR_MIN_STAGES:
            return 0
        return max(0, self._errors_ms / self._weight)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = (
            0 if self._updated_ms is None else now_ms - self._updated_ms
        )
        decay = math.exp(-elapsed_ms / global_settings.WAIT_ERROR_DECAY_MS)
        self._updated_ms = now_ms
        self._errors_ms *= decay
        self._weight *= decay
