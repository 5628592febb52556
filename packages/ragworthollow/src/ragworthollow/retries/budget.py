"""Pay for retries and hedges out of first attempts."""

from ragworthollow.conf import global_settings


class RetryBudget:
    """
    Keep further attempts a fixed share of the traffic of one pool.

    Each first attempt earns a fraction of a token and each further attempt
    costs one.  When a pool fails as a whole the tokens run out, and its load
    rises by no more than that fraction: a retry storm cannot build up.

    Parameters
    ----------
    ratio : float
        Tokens earned by a first attempt.
    burst : float
        Most tokens that are kept.
    """

    def __init__(
        self,
        *,
        ratio: float = global_settings.RETRY_RATIO,
        burst: float = global_settings.RETRY_BURST,
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self.tokens = burst

    def set_burst(self, burst: float) -> None:
        """Change how many tokens may be kept."""
        self._burst = burst
        self.tokens = min(self.tokens, burst)

    def earn(self) -> None:
        """Credit a first attempt."""
        self.tokens = min(self._burst, self.tokens + self._ratio)

    def spend(self) -> bool:
        """Pay for a further attempt; False when nothing is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
