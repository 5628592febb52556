"""Define which instances are throttled and which gateways know each other."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

# Returns the numbers of the gateways that a gateway knows at a given time;
# see `Pattern`.
GetView = Callable[[int, int, float], frozenset[int]]

_MAX_REGISTRATION_MS = 500
_PARTITION_START_MS = 1_000
# Maximum time until a gateway discovers another that has registered.
_MAX_DISCOVERY_MS = 1_900


@dataclass(frozen=True, kw_only=True, slots=True)
class Pattern:
    """
    Define a throttling and membership scenario.

    Attributes
    ----------
    throttled_share : float
        Fraction of the pool that is throttled from the start.
    get_view : callable
        Returns the members that a gateway knows, by its number, the number of
        gateways and the time in ms.
    """

    throttled_share: float
    get_view: GetView


def _view_all(
    _gateway: int,
    gateways: int,
    _now_ms: float,
) -> frozenset[int]:
    return frozenset(range(gateways))


def _view_own_partition(
    gateway: int,
    gateways: int,
    now_ms: float,
) -> frozenset[int]:
    """Drop the gateways of the other partition once their leases expire."""
    gateway_numbers = range(gateways)
    if now_ms < _PARTITION_START_MS:
        return frozenset(gateway_numbers)
    return frozenset(
        other_gateway
        for other_gateway in gateway_numbers
        if other_gateway % 2 == gateway % 2
    )


def _view_registered(
    gateway: int,
    gateways: int,
    now_ms: float,
) -> frozenset[int]:
    """Discover gateways after a delay while all register at the same time."""
    return frozenset(
        other_gateway
        for other_gateway in range(gateways)
        if _get_registered_ms(other_gateway)
        + _get_discovery_delay_ms(gateway, other_gateway)
        <= now_ms
    )


def _get_registered_ms(gateway: int) -> float:
    rng = random.Random(gateway)  # noqa: S311
    return rng.uniform(0, _MAX_REGISTRATION_MS)


def _get_discovery_delay_ms(gateway: int, other: int) -> float:
    if gateway == other:
        return 0
    rng = random.Random(f'{gateway}/{other}')  # noqa: S311
    return rng.uniform(0, _MAX_DISCOVERY_MS)


PATTERNS: dict[str, Pattern] = {
    'one instance': Pattern(throttled_share=0.05, get_view=_view_all),
    'a failure domain': Pattern(throttled_share=0.35, get_view=_view_all),
    'the whole pool': Pattern(throttled_share=1, get_view=_view_all),
    'two sides of a cut': Pattern(
        throttled_share=1, get_view=_view_own_partition
    ),
    'all gateways new': Pattern(throttled_share=1, get_view=_view_registered),
}


def count_max_in_window(times_ms: Sequence[float], window_ms: float) -> int:
    """Return the maximum number of times in any window of the given length."""
    ordered = sorted(times_ms)
    max_count = 0
    window_start = 0
    for position, time_ms in enumerate(ordered):
        while time_ms - ordered[window_start] >= window_ms:
            window_start += 1
        max_count = max(max_count, position - window_start + 1)
    return max_count
