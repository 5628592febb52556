"""Divide the requests that an instance accepts among gateways."""

import math
from dataclasses import dataclass, replace

from ragworthollow.conf import global_settings
from ragworthollow.throttling.limits import RateLimits

# During a network partition, gateways may choose the senders from two
# different lists of members: both choices together must stay within the burst.
_MEMBER_VIEWS = 2
_SECOND_MS = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class SenderQuota:
    """
    Define how many gateways may send, and how much each of them.

    Attributes
    ----------
    senders : int
        Number of gateways that may send to one instance.
    requests : int
        Maximum number of requests of each of them in any window.
    window_ms : float
        Length of a window, in milliseconds.
    requests_at_once : int
        Maximum number of requests of each of them in any second.
    extra : int
        Number of senders, by rank, that may send one more request per window.
    """

    senders: int
    requests: int
    window_ms: float
    requests_at_once: int
    extra: int = 0

    def add_extra(self) -> 'SenderQuota':
        """Return the quota of a gateway that may send one more request."""
        return replace(
            self,
            requests=self.requests + 1,
            requests_at_once=self.requests_at_once + 1,
        )


def derive_quota(limits: RateLimits, gateways: int) -> SenderQuota:
    """
    Derive the quota of each sender.

    Parameters
    ----------
    limits : RateLimits
        Limits of the instance.
    gateways : int
        Number of gateways that could send to it.
    """
    window_s = limits.window_ms / _SECOND_MS
    total = min(limits.requests_per_s * window_s, limits.burst / _MEMBER_VIEWS)
    senders = max(1, min(gateways, math.floor(total)))
    requests = max(1, math.floor(total / senders))
    # A request arrives some time after its instance was chosen.
    window_ms = limits.window_ms + global_settings.REQUEST_TRANSIT_MS
    return SenderQuota(
        senders=senders,
        requests=requests,
        window_ms=window_ms / min(1, total),
        requests_at_once=math.ceil(requests / window_s),
        extra=max(0, math.floor(total) - senders * requests),
    )
