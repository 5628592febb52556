"""Estimate the time to the first event of a pool's responses."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class FirstEventLatency:
    """
    Estimate the time to the first event from the length of the prompt.

    An engine processes the prompt before it sends its first event: tens of
    milliseconds for a short prompt, a second for the longest, and more under
    load.  A request whose stages finish exactly at its objective is late by
    that time, so the latest start of each stage takes it into account.  The
    estimate is a least-squares line over exponentially weighted samples, so
    it follows the load and needs no configured engine parameters.
    """

    _weight: float = 0
    _tokens: float = 0
    _duration_ms: float = 0
    _tokens_squared: float = 0
    _tokens_times_duration: float = 0

    def record(self, tokens: int, took_ms: float) -> None:
        """
        Record one response.

        Parameters
        ----------
        tokens : int
            Length of the prompt.
        took_ms : float
            Time from sending the request to the first event.
        """
        decay = 1 - 1 / global_settings.FIRST_EVENT_LATENCY_SAMPLES
        self._weight = self._weight * decay + 1
        self._tokens = self._tokens * decay + tokens
        self._duration_ms = self._duration_ms * decay + took_ms
        self._tokens_squared = self._tokens_squared * decay + tokens**2
        self._tokens_times_duration = (
            self._tokens_times_duration * decay + tokens * took_ms
        )

    def estimate_ms(self, tokens: int) -> float:
        """Return the expected time to the first event; 0 if unknown."""
        if self._weight < global_settings.FIRST_EVENT_LATENCY_MIN_SAMPLES:
            return 0
        mean_tokens = self._tokens / self._weight
        mean_ms = self._duration_ms / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        covariance = (
            self._tokens_times_duration / self._weight - mean_tokens * mean_ms
        )
        # Prompts of a single length determine no slope, and a longer prompt is
        # never processed faster, so a slope below 0 is noise.
        slope = max(0, covariance / variance) if variance >= 1 else 0
        return max(0, mean_ms + slope * (tokens - mean_tokens))
