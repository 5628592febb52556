"""Define how much an instance that warms up can bear."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimits:
    """
    Bound what all gateways together send to one instance that warms up.

    Attributes
    ----------
    requests_per_s : float
        Requests a second that it tolerates; well above it, it crashes.
    burst : int
        Most requests in any one second.
    """

    requests_per_s: float
    burst: int


def derive_limits(
    *,
    requests_per_s: float,
    burst_ratio: float,
    burst_slack: float,
) -> RateLimits | None:
    """
    Derive the limits of a pool from its configuration and the settings.

    Parameters
    ----------
    requests_per_s : float
        Requests a second that an instance tolerates; 0 for any number.
    burst_ratio, burst_slack : float
        What the installation allows in one second, as a multiple of that
        rate and as a number beside it.

    Returns
    -------
    RateLimits or None
        None where instances need no protection.
    """
    if requests_per_s <= 0:
        return None
    burst = math.floor(requests_per_s * burst_ratio + burst_slack)
    return RateLimits(requests_per_s=requests_per_s, burst=max(1, burst))
