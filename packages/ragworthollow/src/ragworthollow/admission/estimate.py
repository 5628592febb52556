"""Estimate the queueing delay of a call."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """
    Describe the calls ahead of a new one.

    Attributes
    ----------
    total : int
        Waiting calls of all organisations.
    own : int
        Waiting calls of the same organisation with an earlier deadline.
    busy : int
        Slots in use.
    fair_share : float
        Share of the capacity, 0 to 1, to which the organisation is entitled
        at present.
    """

    total: int
    own: int
    busy: int
    fair_share: float


def estimate_wait_ms(
    backlog: Backlog,
    *,
    capacity: int,
    service_ms: float,
) -> float:
    """
    Estimate the queueing delay of a new call.

    The queue is work-conserving and fair, which bounds the delay twice: by
    the time the full capacity takes for everything ahead of the call, and by
    the time the organisation's fair share takes for its own calls.

    Parameters
    ----------
    backlog : Backlog
        Calls ahead of it.
    capacity : int
        Number of slots of the upstream.
    service_ms : float
        Time for which one call holds a slot, in milliseconds.

    Returns
    -------
    float
        Milliseconds; 0 while a slot is free and nothing waits.
    """
    if backlog.busy < capacity and not backlog.total:
        return 0
    residual_ms = service_ms / capacity
    total_ms = backlog.total * service_ms / capacity
    fair_capacity = max(backlog.fair_share * capacity, 1e-6)
    own_ms = (backlog.own + 1) * service_ms / fair_capacity
    return residual_ms + min(total_ms, own_ms)


def get_retry_after_ms(wait_ms: float) -> int:
    """
    Return the delay after which a rejected caller should retry.

    Parameters
    ----------
    wait_ms : float
        Current estimate of the queueing delay.

    Returns
    -------
    int
        Milliseconds: half of the estimated delay, in which about half of the
        queue drains, clamped between a floor and a ceiling.
    """
    floor = global_settings.RETRY_AFTER_FLOOR_MS
    ceiling = global_settings.RETRY_AFTER_CEILING_MS
    return int(min(max(wait_ms / 2, floor), ceiling))
