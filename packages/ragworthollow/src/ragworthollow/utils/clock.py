"""Read the system clocks in milliseconds."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def _read_monotonic_ms() -> float:
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND


def _read_boottime_ms() -> float:
    elapsed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return elapsed_ns / _NANOSECONDS_PER_MILLISECOND


@dataclass(kw_only=True, slots=True)
class _Clock:
    """Hold the functions that read the clocks."""

    read_ms: Callable[[], float]
    read_boottime_ms: Callable[[], float]


_clock = _Clock(
    read_ms=_read_monotonic_ms,
    read_boottime_ms=_read_boottime_ms,
)


def get_monotonic_ms() -> float:
    """
    Return the time of the monotonic clock.

    Returns
    -------
    float
        Milliseconds since an arbitrary origin, never decreasing on one
        machine, without time in suspend.
    """
    return _clock.read_ms()


def get_boottime_ms() -> float:
    """
    Return the time of CLOCK_BOOTTIME, which includes time in suspend.

    Returns
    -------
    float
        Milliseconds since an arbitrary origin, never decreasing on one
        machine.  The monotonic clock stops while the machine is suspended.
    """
    return _clock.read_boottime_ms()


@contextmanager
def override_clocks(
    read_ms: Callable[[], float],
    read_boottime_ms: Callable[[], float] | None = None,
) -> Iterator[None]:
    """
    Replace both clocks within a context, to simulate in virtual time.

    Parameters
    ----------
    read_ms : callable
        Returns milliseconds and never decreases.
    read_boottime_ms : callable, optional
        Returns the same clock including time in suspend; `read_ms` by
        default, for a machine that is never suspended.
    """
    previous_read_ms = _clock.read_ms
    previous_read_boottime_ms = _clock.read_boottime_ms
    _clock.read_ms = read_ms
    _clock.read_boottime_ms = read_boottime_ms or read_ms
    try:
        yield
    finally:
        _clock.read_ms = previous_read_ms
        _clock.read_boottime_ms = previous_read_boottime_ms


def get_wall_ms() -> float:
    """
    Return the wall-clock time.

    Returns
    -------
    float
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() / _NANOSECONDS_PER_MILLISECOND
