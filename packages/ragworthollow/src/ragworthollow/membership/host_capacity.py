"""Determine the capacity of a gateway to host schedulers."""

import math

from ragworthollow.conf import global_settings


def compute_capacity(*, cores: float, link_mbps: float) -> float:
    """
    Return the number of cores that a host of schedulers can use.

    Parameters
    ----------
    cores : float
        Cores of the gateway, limited by its CPU share.
    link_mbps : float
        Bandwidth of its network link in Mbit/s; the traffic of a busy
        scheduler may saturate the link before the cores.
    """
    return min(cores, link_mbps / global_settings.HOST_MBPS_PER_CORE)


def get_size_class(capacity: float) -> int:
    """
    Return the size class of a capacity; each class doubles the capacity.

    Within a class, hosts are chosen by rank, so that schedulers are spread
    over all gateways of about the same size.

    Parameters
    ----------
    capacity : float
        Number of cores; 0 for a gateway that does not report it, which comes
        last.
    """
    if capacity <= 0:
        return global_settings.HOST_MIN_SIZE_CLASS
    return max(
        global_settings.HOST_MIN_SIZE_CLASS,
        math.floor(math.log2(capacity)),
    )
