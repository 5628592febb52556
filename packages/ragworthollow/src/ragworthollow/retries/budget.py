"""Limit retries and hedges in proportion to first attempts."""

from ragworthollow.conf import global_settings


class RetryBudget:
    """
    Limit further attempts to a fixed share of the traffic of one pool.

    Each first attempt adds a fraction of a token and each further attempt
    costs one token.  When a pool fails as a whole, the tokens run out and its
    load rises by no more than that fraction, which prevents a retry storm.

    Parameters
    ----------
    ratio : float
        Tokens added by each first attempt.
    burst : float
        Maximum number of tokens.
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
        """Set the maximum number of tokens."""
        self._burst = burst
        self.tokens = min(self.tokens, burst)

    def deposit(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(self._burst, self.tokens + self._ratio)

    def withdraw(self) -> bool:
        """Withdraw a token for a further attempt; return False without one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
