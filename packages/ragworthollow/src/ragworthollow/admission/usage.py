"""Measure what an organisation has used of late."""

import math
from dataclasses import dataclass

WINDOW_MS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """
    Hold a busy time that fades with age.

    Attributes
    ----------
    busy_ms : float
        Slot-milliseconds used, faded up to `at_ms`.
    at_ms : float
        When it was last brought up to date.
    """

    busy_ms: float = 0
    at_ms: float = 0


NO_USAGE = Usage()


def fade(usage: Usage, now_ms: float) -> float:
    """Return what is left of a usage at a later time, in milliseconds."""
    age_ms = max(0, now_ms - usage.at_ms)
    return usage.busy_ms * math.exp(-age_ms / WINDOW_MS)


def charge(usage: Usage, busy_ms: float, now_ms: float) -> Usage:
    """
    Add busy time to a usage.

    Parameters
    ----------
    usage : Usage
        What was used so far.
    busy_ms : float
        What is added; negative to correct an estimate.
    now_ms : float
        Time on the monotonic clock.

    Returns
    -------
    Usage
        Never below zero.
    """
    total_ms = max(0, fade(usage, now_ms) + busy_ms)
    return Usage(busy_ms=total_ms, at_ms=now_ms)
