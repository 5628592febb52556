"""Print what each way of holding back costs and keeps."""

from collections.abc import Iterator

from measure.throttle_model.model import Fleet, play
from measure.throttle_model.pattern import PATTERNS
from measure.throttle_model.policies import POLICIES
from ragworthollow.throttling import RateLimits, derive_advertised_limits

_WARM_UP = RateLimits(requests_per_s=8, burst=17)
_SIZES = (4, 21, 68, 300)
_INSTANCES = 20
_REQUESTS_PER_INSTANCE = 4
_SEEDS = range(2)
_NAMED_PER_S = (1, 6, 20)
_NAMED_SIZES = {4: 5, 21: 20, 68: 59}
_NAMED_SPAN_MS = 12_000
_SECOND_MS = 1000
# Requests for each that the instances would take.
_DEMAND = 2


def main() -> None:
    """Print a table for instances that warm up and one for named limits."""
    print('| pattern, gateways |', ' | '.join(POLICIES), '|')
    print('| --- |', ' | '.join('---' for _ in POLICIES), '|')
    for name in PATTERNS:
        for gateways in _SIZES:
            cells = _play_warm_up(name, gateways)
            print(f'| {name}, {gateways} |', ' | '.join(cells), '|')
    print(flush=True)
    print('| limit, pattern, gateways | by the second | by the window |')
    print('| --- | --- | --- |')
    for requests_per_s in _NAMED_PER_S:
        for name in PATTERNS:
            for gateways in _NAMED_SIZES:
                cells = _play_named(requests_per_s, name, gateways)
                print(
                    f'| {requests_per_s}, {name}, {gateways} |',
                    ' | '.join(cells),
                    '|',
                )


def _play_warm_up(pattern: str, gateways: int) -> Iterator[str]:
    fleet = Fleet(
        gateways=gateways,
        instances=_INSTANCES,
        requests_per_s=_INSTANCES * _REQUESTS_PER_INSTANCE,
    )
    for policy in POLICIES.values():
        plays = [
            play(fleet, PATTERNS[pattern], policy, _WARM_UP, seed)
            for seed in _SEEDS
        ]
        most = max(one.most for one in plays)
        served = sum(one.served for one in plays) / len(plays)
        yield f'{most}; {served:.2f}'


def _play_named(
    requests_per_s: float,
    pattern: str,
    gateways: int,
) -> Iterator[str]:
    by_window = derive_advertised_limits(requests_per_s)
    windows = by_window.window_ms / _SECOND_MS
    by_second = RateLimits(
        requests_per_s=requests_per_s,
        burst=max(1, int(by_window.burst / windows)),
    )
    fleet = Fleet(
        gateways=gateways,
        instances=_NAMED_SIZES[gateways],
        requests_per_s=_DEMAND * _NAMED_SIZES[gateways] * requests_per_s,
        span_ms=_NAMED_SPAN_MS,
        window_ms=by_window.window_ms,
        is_uneven=True,
    )
    for limits in (by_second, by_window):
        plays = [
            play(fleet, PATTERNS[pattern], POLICIES['ranked'], limits, seed)
            for seed in _SEEDS
        ]
        most = max(one.most for one in plays)
        used = sum(one.used for one in plays) / len(plays)
        yield f'{most} of {by_window.burst}; {used:.2f}'


if __name__ == '__main__':
    main()
