"""Print what each way of holding back costs and keeps."""

from measure.throttle_model.model import Fleet, play
from measure.throttle_model.pattern import PATTERNS
from measure.throttle_model.policies import POLICIES
from ragworthollow.throttling import RateLimits

_LIMITS = RateLimits(requests_per_s=8, burst=17)
_SIZES = (4, 21, 68, 300)
_INSTANCES = 20
_REQUESTS_PER_INSTANCE = 4
_SEEDS = range(2)


def main() -> None:
    """Print a row for each pattern and size, a column for each way."""
    print('| pattern, gateways |', ' | '.join(POLICIES), '|')
    print('| --- |', ' | '.join('---' for _ in POLICIES), '|')
    for name, pattern in PATTERNS.items():
        for gateways in _SIZES:
            fleet = Fleet(
                gateways=gateways,
                instances=_INSTANCES,
                requests_per_s=_INSTANCES * _REQUESTS_PER_INSTANCE,
            )
            cells = []
            for policy in POLICIES.values():
                plays = [
                    play(fleet, pattern, policy, _LIMITS, seed)
                    for seed in _SEEDS
                ]
                most = max(one.most for one in plays)
                served = sum(one.served for one in plays) / len(plays)
                cells.append(f'{most}; {served:.2f}')
            print(f'| {name}, {gateways} |', ' | '.join(cells), '|')


if __name__ == '__main__':
    main()
