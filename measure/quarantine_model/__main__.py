"""Compare crash limits at which a request is quarantined."""

import dataclasses
import sys
from collections import Counter

from measure.quarantine_model.model import CrashModel
from measure.quarantine_model.scenario import Scenario

_SEEDS = range(20)
_CRASH_LIMITS = (0, 1, 2, 3)
_COLUMNS = (
    'crashes',
    'harmful runs',
    'served',
    'lost in crashes',
    'refused',
    'no engine',
)
_SCENARIOS = {
    'one': Scenario(),
    'three': Scenario(harmful=3),
    'one, random crashes': Scenario(crashes_per_s=0.2),
    'none, random crashes': Scenario(harmful=0, crashes_per_s=0.5),
    'one, a hot request': Scenario(hot_share=0.4),
    'three, 68 gateways, 59 engines': Scenario(
        harmful=3,
        gateways=68,
        engines=59,
        requests_per_s=143,
        length_s=20,
    ),
}


def main() -> None:
    """Print the mean counts for each scenario and crash limit."""
    write = sys.stdout.write
    write(f'{"scenario":32}{"limit":>6}')
    write(''.join(f'{name:>17}' for name in _COLUMNS) + '\n')
    for name, scenario in _SCENARIOS.items():
        for limit in _CRASH_LIMITS:
            counts = _run_scenario(
                dataclasses.replace(scenario, crash_limit=limit)
            )
            write(f'{name:32}{limit or "none":>6}')
            write(''.join(f'{counts[key]:17.1f}' for key in _COLUMNS) + '\n')


def _run_scenario(scenario: Scenario) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for seed in _SEEDS:
        totals.update(CrashModel(scenario=scenario, seed=seed).play())
    return {key: totals[key] / len(_SEEDS) for key in _COLUMNS}


if __name__ == '__main__':
    main()
