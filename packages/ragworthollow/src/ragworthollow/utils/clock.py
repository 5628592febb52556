"""Read the system clocks in milliseconds."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def _read_ms() -> float:
    elapsed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return elapsed_ns / _NANOSECONDS_PER_MILLISECOND


@dataclass(kw_only=True, slots=True)
class _Clock:
    """Hold the function that reads the clock."""

    read_ms: Callable[[], float]


_clock = _Clock(read_ms=_read_ms)


def get_monotonic_ms() -> float:
    """
    Return the time that ages, deadlines and leases are measured with.

    It is that of CLOCK_BOOTTIME.  CLOCK_MONOTONIC stops while the machine is
    suspended: what was learnt before would look seconds younger than it is,
    and a promise to a caller or peer would last longer than they count on.

    Returns
    -------
    float
        Milliseconds since an arbitrary origin, never decreasing on one
        machine, including time in suspend.
    """
    return _clock.read_ms()


def get_boottime_ms() -> float:
    """Return `get_monotonic_ms`, for ages that are sent to other machines."""
    return get_monotonic_ms()


@contextmanager
def override_clocks(read_ms: Callable[[], float]) -> Iterator[None]:
    """
    Replace the clock within a context, to simulate in virtual time.

    Parameters
    ----------
    read_ms : callable
        Returns milliseconds and never decreases.
    """
    previous_read_ms = _clock.read_ms
    _clock.read_ms = read_ms
    try:
        yield
    finally:
        _clock.read_ms = previous_read_ms


def get_wall_ms() -> float:
    """
    Return the wall-clock time.

    Returns
    -------
    float
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() / _NANOSECONDS_PER_MILLISECOND
