"""Weigh what a gateway can carry for others."""

import math

from ragworthollow.conf import global_settings


def measure_capacity(*, cores: float, link_mbps: float) -> float:
    """
    Return the cores that a host of gates can use.

    Parameters
    ----------
    cores : float
        Cores of the gateway, its share of them taken into account.
    link_mbps : float
        Bandwidth of its link, Mbit/s; what a busy gate sends and receives
        may fill it before the cores are busy.
    """
    return min(cores, link_mbps / global_settings.HOST_MBPS_PER_CORE)


def get_capacity_class(capacity: float) -> int:
    """
    Return the class of a capacity; a higher one carries twice as much.

    Hosts are drawn by name within a class, so that gates are spread over all
    gateways that are about as large.

    Parameters
    ----------
    capacity : float
        In cores; 0 for a gateway that does not tell it, which comes last.
    """
    if capacity <= 0:
        return global_settings.HOST_LEAST_CLASS
    return max(
        global_settings.HOST_LEAST_CLASS,
        math.floor(math.log2(capacity)),
    )
