"""Read the clocks in milliseconds."""

import time

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def get_monotonic_ms() -> float:
    """
    Return a clock that never goes back.

    Returns
    -------
    float
        Milliseconds since an arbitrary start of this machine.
    """
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND


def get_wall_ms() -> float:
    """
    Return the time of day.

    Returns
    -------
    float
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() / _NANOSECONDS_PER_MILLISECOND
