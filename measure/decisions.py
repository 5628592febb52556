"""Measure the decisions against baselines; print a table and write JSON."""

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, stdev

import msgspec

from measure.policies import POLICIES, Policy
from measure.scenarios import CAPACITY_PER_S, SCENARIOS, SPAN_MS, Scenario
from measure.simulated_pool import DEADLINE_MS, STAGES, SimulatedPool

_SEEDS = (1, 2, 3)
_WORKERS = 4
_OUT = Path('out') / 'decisions.json'
_ROWS = (
    'attainment',
    'share_of_ideal',
    'wasted',
    'busy_ms_per_attained',
    'further_per_request',
    'worst_guaranteed',
    'p50_ms',
    'p99_ms',
)


def measure(policy: Policy, scenario: Scenario, seed: int) -> dict[str, float]:
    pool = SimulatedPool(policy, scenario, seed)
    pool.run()
    attained = [one for one in pool.requests if _is_attained(one)]
    worth = sum(one.worth for one in pool.requests)
    got = sum(one.worth for one in attained)
    busy = sum(one.busy_ms for one in pool.requests)
    useful = sum(one.busy_ms for one in attained)
    elapsed = sorted(one.done_ms - one.arrived_ms for one in attained) or [0]
    return {
        'attainment': got / worth,
        'share_of_ideal': got / get_ideal_worth(pool, scenario),
        'wasted': 1 - useful / max(busy, 1),
        'busy_ms_per_attained': busy / max(len(attained), 1),
        'further_per_request': pool.further / len(pool.requests),
        'worst_guaranteed': get_worst_guaranteed(pool),
        'p50_ms': elapsed[len(elapsed) // 2],
        'p99_ms': elapsed[int(len(elapsed) * 0.99)],
    }


def _is_attained(request) -> bool:
    if request.done_ms is None:
        return False
    return request.done_ms - request.arrived_ms <= DEADLINE_MS


def get_ideal_worth(pool: SimulatedPool, scenario: Scenario) -> float:
    """
    Bound what a scheduler with perfect knowledge could reach.

    It serves the requests of most worth first, in each span of a second,
    with all the slots that work, and needs no time to decide.
    """
    slots = STAGES[-1][0] * STAGES[-1][1]
    broken = (scenario.slow * 0.9 + scenario.failing) * STAGES[-1][1]
    total = 0.0
    for start in range(0, SPAN_MS, 1000):
        working = slots - broken
        if scenario.lost and start >= 3000:
            working -= scenario.lost * STAGES[-1][1]
        if scenario.outage and start == 2000:
            working = 0
        # What comes late in a second may be served in the next.
        span_ms = 1000 + DEADLINE_MS
        fits = int(working * span_ms / STAGES[-1][2])
        arrived = [
            one.worth
            for one in pool.requests
            if start <= one.arrived_ms < start + 1000
        ]
        total += sum(sorted(arrived, reverse=True)[:fits])
    long_run = int(
        (slots - broken) * (SPAN_MS + DEADLINE_MS) / STAGES[-1][2],
    )
    worths = sorted((one.worth for one in pool.requests), reverse=True)
    return min(total, sum(worths[:long_run])) or 1


def get_worst_guaranteed(pool: SimulatedPool) -> float:
    """Return the lowest share attained of an organisation but the greedy."""
    shares = []
    for organisation in 'abc':
        own = [one for one in pool.requests if one.organisation == organisation]
        if own:
            shares.append(sum(map(_is_attained, own)) / len(own))
    return min(shares, default=1)


def run_cell(cell: tuple[Policy, Scenario]) -> dict:
    policy, scenario = cell
    runs = [measure(policy, scenario, seed) for seed in _SEEDS]
    figures = {
        row: {
            'mean': round(mean(run[row] for run in runs), 4),
            'deviation': round(stdev(run[row] for run in runs), 4),
        }
        for row in _ROWS
    }
    return {'scenario': scenario.name, 'policy': policy.name, **figures}


def main() -> None:
    started = time.monotonic()
    cells = [
        (policy, scenario) for scenario in SCENARIOS for policy in POLICIES
    ]
    with ProcessPoolExecutor(_WORKERS) as workers:
        results = list(workers.map(run_cell, cells))
    names = [policy.name for policy in POLICIES]
    for row in _ROWS:
        print(f'\n{row:24}' + ''.join(f'{name:>22}' for name in names))
        for scenario in SCENARIOS:
            line = [
                one[row] for one in results if one['scenario'] == scenario.name
            ]
            cells_text = ''.join(
                f'{one["mean"]:>13.3f} ± {one["deviation"]:.3f}'.rjust(22)
                for one in line
            )
            print(f'{scenario.name:24}{cells_text}')
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    print(
        f'capacity {CAPACITY_PER_S}/s, {len(_SEEDS)} seeds,'
        f' {time.monotonic() - started:.0f} s',
        file=sys.stderr,
    )


if __name__ == '__main__':
    main()
