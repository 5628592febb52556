"""Read the clocks in milliseconds."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

_NANOSECONDS_PER_MILLISECOND = 1_000_000


def _read_steady_ms() -> float:
    return time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND


def _read_boottime_ms() -> float:
    ticks = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return ticks / _NANOSECONDS_PER_MILLISECOND


@dataclass(kw_only=True, slots=True)
class _Clock:
    """Hold what the clocks are read from."""

    read_ms: Callable[[], float]
    read_boottime_ms: Callable[[], float]


_clock = _Clock(
    read_ms=_read_steady_ms,
    read_boottime_ms=_read_boottime_ms,
)


def get_monotonic_ms() -> float:
    """
    Return a clock that never goes back.

    Returns
    -------
    float
        Milliseconds since an arbitrary start of this machine.
    """
    return _clock.read_ms()


def get_boottime_ms() -> float:
    """
    Return a clock that never goes back and counts suspended time.

    Returns
    -------
    float
        Milliseconds since an arbitrary start of this machine.  The monotonic
        clock stands still while the machine is suspended.
    """
    return _clock.read_boottime_ms()


@contextmanager
def use_monotonic(
    read_ms: Callable[[], float],
    read_boottime_ms: Callable[[], float] | None = None,
) -> Iterator[None]:
    """
    Read other clocks for a while, for models in virtual time.

    Parameters
    ----------
    read_ms : callable
        Returns milliseconds and never goes back.
    read_boottime_ms : callable, optional
        The same with suspended time; without it nothing is suspended.
    """
    earlier_ms = _clock.read_ms
    earlier_boottime_ms = _clock.read_boottime_ms
    _clock.read_ms = read_ms
    _clock.read_boottime_ms = read_boottime_ms or read_ms
    try:
        yield
    finally:
        _clock.read_ms = earlier_ms
        _clock.read_boottime_ms = earlier_boottime_ms


def get_wall_ms() -> float:
    """
    Return the time of day.

    Returns
    -------
    float
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() / _NANOSECONDS_PER_MILLISECOND
