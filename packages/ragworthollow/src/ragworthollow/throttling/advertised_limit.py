"""Define the rate limit that an instance advertises."""

import math
from dataclasses import dataclass, replace

UNLIMITED_PER_S = math.inf


@dataclass(frozen=True, kw_only=True, slots=True)
class AdvertisedLimit:
    """
    Hold the rate limit that one response of an instance advertises.

    The instance stated it at some moment between the request and the response.
    One of two responses is certainly fresher only if its request was sent
    after the other response had arrived.  Responses that overlap in time are
    merged.

    Attributes
    ----------
    requests_per_s : float
        Requests per second that it accepts from all gateways together;
        `UNLIMITED_PER_S` if the response advertises no limit.
    sent_ms, received_ms : float
        When the request was sent and when the head of its response arrived,
        on CLOCK_BOOTTIME, which includes time in suspend: on another clock,
        a limit that this machine sends to other gateways after a suspend
        would seem fresher than it is.
    """

    requests_per_s: float
    sent_ms: float
    received_ms: float

    def is_limit(self) -> bool:
        """Return whether a limit was advertised."""
        return math.isfinite(self.requests_per_s)

    def merge(self, other: 'AdvertisedLimit') -> 'AdvertisedLimit':
        """
        Return the limit that applies after two responses.

        If they overlap, the lower limit applies for as long as either of them
        may be the fresher: with the higher limit, the instance could
        receive more than it accepts.
        """
        if other.received_ms <= self.sent_ms:
            return self
        if other.sent_ms >= self.received_ms:
            return other
        lower, higher = sorted(
            (self, other),
            key=lambda limit: (limit.requests_per_s, -limit.sent_ms),
        )
        if not higher.is_limit():
            return lower
        return replace(
            lower, received_ms=max(lower.received_ms, higher.received_ms)
        )
