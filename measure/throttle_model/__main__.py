"""Compare throttling policies: `python -m measure.throttle_model`."""

from collections.abc import Iterator

from measure.throttle_model.model import Fleet, play
from measure.throttle_model.pattern import PATTERNS
from measure.throttle_model.policies import POLICIES
from ragworthollow.throttling import RateLimits, derive_advertised_limits

_WARM_UP = RateLimits(requests_per_s=8, burst=17)
_FLEET_SIZES = (4, 21, 68, 300)
_INSTANCES = 20
_REQUESTS_PER_INSTANCE = 4
_SEEDS = range(2)
_ADVERTISED_REQUESTS_PER_S = (1, 6, 20)
_INSTANCES_BY_GATEWAYS = {4: 5, 21: 20, 68: 59}
_ADVERTISED_SPAN_MS = 12_000
_MILLISECONDS = 1000
# Requests sent per request that the instances have capacity for.
_DEMAND_FACTOR = 2


def main() -> None:
    """Print a table for warm-up limits and a table for advertised limits."""
    print('| pattern, gateways |', ' | '.join(POLICIES), '|')
    print('| --- |', ' | '.join('---' for _ in POLICIES), '|')
    for name in PATTERNS:
        for gateways in _FLEET_SIZES:
            cells = _simulate_warm_up(name, gateways)
            print(f'| {name}, {gateways} |', ' | '.join(cells), '|')
    print(flush=True)
    print('| limit, pattern, gateways | by the second | by the window |')
    print('| --- | --- | --- |')
    for requests_per_s in _ADVERTISED_REQUESTS_PER_S:
        for name in PATTERNS:
            for gateways in _INSTANCES_BY_GATEWAYS:
                cells = _simulate_advertised_limit(
                    requests_per_s, name, gateways
                )
                print(
                    f'| {requests_per_s}, {name}, {gateways} |',
                    ' | '.join(cells),
                    '|',
                )


def _simulate_warm_up(pattern: str, gateways: int) -> Iterator[str]:
    fleet = Fleet(
        gateways=gateways,
        instances=_INSTANCES,
        requests_per_s=_INSTANCES * _REQUESTS_PER_INSTANCE,
    )
    for policy in POLICIES.values():
        outcomes = [
            play(fleet, PATTERNS[pattern], policy, _WARM_UP, seed)
            for seed in _SEEDS
        ]
        most = max(outcome.most for outcome in outcomes)
        served = sum(outcome.served for outcome in outcomes) / len(outcomes)
        yield f'{most}; {served:.2f}'


def _simulate_advertised_limit(
    requests_per_s: float,
    pattern: str,
    gateways: int,
) -> Iterator[str]:
    by_window = derive_advertised_limits(requests_per_s)
    windows = by_window.window_ms / _MILLISECONDS
    by_second = RateLimits(
        requests_per_s=requests_per_s,
        burst=max(1, int(by_window.burst / windows)),
    )
    fleet = Fleet(
        gateways=gateways,
        instances=_INSTANCES_BY_GATEWAYS[gateways],
        requests_per_s=_DEMAND_FACTOR
        * _INSTANCES_BY_GATEWAYS[gateways]
        * requests_per_s,
        span_ms=_ADVERTISED_SPAN_MS,
        window_ms=by_window.window_ms,
        is_uneven=True,
    )
    for limits in (by_second, by_window):
        outcomes = [
            play(fleet, PATTERNS[pattern], POLICIES['ranked'], limits, seed)
            for seed in _SEEDS
        ]
        most = max(outcome.most for outcome in outcomes)
        used = sum(outcome.used for outcome in outcomes) / len(outcomes)
        yield f'{most} of {by_window.burst}; {used:.2f}'


if __name__ == '__main__':
    main()
