"""Measure the recent usage of an organisation."""

import math
from dataclasses import dataclass

WINDOW_MS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """
    Hold slot time that decays exponentially with age.

    Attributes
    ----------
    busy_ms : float
        Slot-milliseconds used, decayed up to `at_ms`.
    at_ms : float
        Time of the last update, on the monotonic clock.
    """

    busy_ms: float = 0
    at_ms: float = 0


NO_USAGE = Usage()


def fade(usage: Usage, now_ms: float) -> float:
    """Return the decayed usage at a later time, in slot-milliseconds."""
    age_ms = max(0, now_ms - usage.at_ms)
    return usage.busy_ms * math.exp(-age_ms / WINDOW_MS)


def charge(usage: Usage, busy_ms: float, now_ms: float) -> Usage:
    """
    Add slot time to a usage.

    Parameters
    ----------
    usage : Usage
        Usage so far.
    busy_ms : float
        Slot time to add, in milliseconds; negative to correct an estimate.
    now_ms : float
        Time on the monotonic clock.

    Returns
    -------
    Usage
        Updated usage, never below zero.
    """
    total_ms = max(0, fade(usage, now_ms) + busy_ms)
    return Usage(busy_ms=total_ms, at_ms=now_ms)
