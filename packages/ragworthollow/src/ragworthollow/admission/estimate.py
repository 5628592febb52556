"""Estimate how long a call will wait."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """
    Describe the calls before a new one.

    Attributes
    ----------
    total : int
        Waiting calls of all organisations.
    own : int
        Waiting calls of the same organisation with an earlier deadline.
    busy : int
        Slots in use.
    entitlement : float
        Share of the capacity, 0 to 1, the organisation has at present.
    """

    total: int
    own: int
    busy: int
    entitlement: float


def estimate_wait_ms(
    backlog: Backlog,
    *,
    capacity: int,
    service_ms: float,
) -> float:
    """
    Estimate the wait of a new call.

    The queue is work-conserving and fair: a call waits at most for
    everything before it at the full rate, and at most for its own
    organisation's calls at the entitled rate.

    Parameters
    ----------
    backlog : Backlog
        What is before it.
    capacity : int
        Slots of the upstream.
    service_ms : float
        Time one call holds a slot.

    Returns
    -------
    float
        Milliseconds; 0 while a slot is free and nothing waits.
    """
    if backlog.busy < capacity and not backlog.total:
        return 0
    residual_ms = service_ms / capacity
    total_ms = backlog.total * service_ms / capacity
    entitled = max(backlog.entitlement * capacity, 1e-6)
    own_ms = (backlog.own + 1) * service_ms / entitled
    return residual_ms + min(total_ms, own_ms)


def get_retry_after_ms(wait_ms: float) -> int:
    """
    Say when coming back is worth it.

    Parameters
    ----------
    wait_ms : float
        Estimated wait at present.

    Returns
    -------
    int
        Half of the wait, the time in which about half of the queue drains,
        within a floor and a ceiling.
    """
    floor = global_settings.RETRY_AFTER_FLOOR_MS
    ceiling = global_settings.RETRY_AFTER_CEILING_MS
    return int(min(max(wait_ms / 2, floor), ceiling))
