"""Learn how long a pool takes to the first event of an answer."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class AnswerTime:
    """
    Fit the time to the first event to the length of the prompt.

    An engine reads the prompt before its first event: tens of milliseconds
    for a short one, a second for the longest, more where it serves many.  A
    request whose stage work ends at its objective is late by that time, so
    the latest start of each stage has to know it.  The fit is a least-squares
    line whose older samples fade, so that it follows the load and needs no
    figure of the engines.
    """

    _weight: float = 0
    _tokens: float = 0
    _took: float = 0
    _tokens_squared: float = 0
    _tokens_took: float = 0

    def note(self, tokens: int, took_ms: float) -> None:
        """
        Take one answer.

        Parameters
        ----------
        tokens : int
            Length of its prompt.
        took_ms : float
            From sending the request to its first event.
        """
        kept = 1 - 1 / global_settings.ANSWER_TIME_SAMPLES
        self._weight = self._weight * kept + 1
        self._tokens = self._tokens * kept + tokens
        self._took = self._took * kept + took_ms
        self._tokens_squared = self._tokens_squared * kept + tokens**2
        self._tokens_took = self._tokens_took * kept + tokens * took_ms

    def estimate_ms(self, tokens: int) -> float:
        """Return the expected time to the first event; 0 when not known."""
        if self._weight < global_settings.ANSWER_TIME_LEAST_SAMPLES:
            return 0
        mean_tokens = self._tokens / self._weight
        mean_ms = self._took / self._weight
        spread = self._tokens_squared / self._weight - mean_tokens**2
        shared = self._tokens_took / self._weight - mean_tokens * mean_ms
        # Prompts of one length tell nothing of the others, and a longer one
        # is never read sooner: a slope below 0 is chance.
        slope = max(0, shared / spread) if spread >= 1 else 0
        return max(0, mean_ms + slope * (tokens - mean_tokens))
