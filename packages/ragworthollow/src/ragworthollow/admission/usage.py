"""Measure the recent usage of an organisation."""

import math
from dataclasses import dataclass

DECAY_TIME_MS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DecayedUsage:
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


NO_USAGE = DecayedUsage()


def decay(usage: DecayedUsage, now_ms: float) -> float:
    """Return the decayed usage at a later time, in slot-milliseconds."""
    age_ms = max(0, now_ms - usage.at_ms)
    return usage.busy_ms * math.exp(-age_ms / DECAY_TIME_MS)


def charge(usage: DecayedUsage, busy_ms: float, now_ms: float) -> DecayedUsage:
    """
    Add slot time to a usage.

    Parameters
    ----------
    usage : DecayedUsage
        Usage so far.
    busy_ms : float
        Slot time to add, in milliseconds; negative to correct an estimate.
    now_ms : float
        Time on the monotonic clock.

    Returns
    -------
    DecayedUsage
        Updated usage, never below zero.
    """
    total_ms = max(0, decay(usage, now_ms) + busy_ms)
    return DecayedUsage(busy_ms=total_ms, at_ms=now_ms)
