"""Define what an instance says of the rate that it takes."""

import math
from dataclasses import dataclass

UNLIMITED_PER_S = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedLimit:
    """
    Hold what one answer of an instance says of its limit.

    The instance said so at some moment between the request and the answer.
    Of two answers one is younger for certain only if its request was sent
    after the other one had come.

    Attributes
    ----------
    requests_per_s : float
        Requests a second that it takes from all gateways together;
        `UNLIMITED_PER_S` where the answer names no limit.
    asked_ms, heard_ms : float
        When the request was sent and when the head of its answer came, on
        the monotonic clock.
    """

    requests_per_s: float
    asked_ms: float
    heard_ms: float

    def is_limit(self) -> bool:
        """Tell whether a limit was named."""
        return math.isfinite(self.requests_per_s)

    def replaces(self, known: 'NamedLimit') -> bool:
        """
        Tell whether this is to be believed instead of what is known.

        Of two answers that crossed the lower limit holds: taking the other
        one could bring the instance more than it takes.
        """
        if self.heard_ms <= known.asked_ms:
            return False
        if self.asked_ms >= known.heard_ms:
            return True
        if self.requests_per_s == known.requests_per_s:
            return self.heard_ms > known.heard_ms
        return self.requests_per_s < known.requests_per_s
