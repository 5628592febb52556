"""Share what an instance that warms up can bear among gateways."""

import math
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.throttling.limits import RateLimits

# Gateways that a cut keeps apart may choose the senders from two lists of
# members: both choices together have to stay within the burst.
_VIEWS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SenderShare:
    """
    Say how many gateways may send, and how much each of them.

    Attributes
    ----------
    senders : int
        Gateways that may send to one instance.
    requests : int
        Requests of each of them in any window.
    window_ms : float
        Length of a window.
    """

    senders: int
    requests: int
    window_ms: float


def derive_share(limits: RateLimits, gateways: int) -> SenderShare:
    """
    Derive the share of each sender.

    Parameters
    ----------
    limits : RateLimits
        What the instance can bear.
    gateways : int
        Gateways that could send to it.
    """
    total = min(limits.requests_per_s, limits.burst / _VIEWS)
    senders = max(1, min(gateways, math.floor(total)))
    return SenderShare(
        senders=senders,
        requests=max(1, math.floor(total / senders)),
        window_ms=global_settings.WARM_UP_WINDOW_MS / min(1, total),
    )
