"""Define how many requests an instance accepts."""

import math
from dataclasses import dataclass

from ragworthollow.conf import global_settings

_SECOND_MS = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimits:
    """
    Limit the requests that all gateways together send to one instance.

    Attributes
    ----------
    requests_per_s : float
        Requests per second that it accepts.
    burst : int
        Maximum number of requests in any window.
    window_ms : float
        Length of a window, in milliseconds.
    """

    requests_per_s: float
    burst: int
    window_ms: float = _SECOND_MS


def derive_limits(
    *,
    requests_per_s: float,
    burst_ratio: float,
    burst_slack: float,
) -> RateLimits | None:
    """
    Derive the limits of the instances of a pool while they warm up.

    Parameters
    ----------
    requests_per_s : float
        Requests per second that an instance tolerates; 0 for no limit.
    burst_ratio, burst_slack : float
        Requests that the installation allows in one second: a multiple of
        that rate, plus a constant number.

    Returns
    -------
    RateLimits or None
        None if the instances need no protection.
    """
    if requests_per_s <= 0:
        return None
    burst = math.floor(requests_per_s * burst_ratio + burst_slack)
    return RateLimits(requests_per_s=requests_per_s, burst=max(1, burst))


def derive_advertised_limits(requests_per_s: float) -> RateLimits:
    """
    Derive the limits of an instance that advertises a rate limit.

    Parameters
    ----------
    requests_per_s : float
        Advertised limit.  Even if it is 0, a request is sent now and then to
        find out whether it still applies.
    """
    rate = max(requests_per_s, global_settings.ADVERTISED_LIMIT_MIN_PER_S)
    window_ms = global_settings.ADVERTISED_LIMIT_WINDOW_MS
    max_requests = (
        rate * window_ms / _SECOND_MS * global_settings.ADVERTISED_LIMIT_RATIO
    )
    return RateLimits(
        requests_per_s=rate,
        burst=math.floor(max_requests + global_settings.ADVERTISED_LIMIT_SLACK),
        window_ms=window_ms,
    )
