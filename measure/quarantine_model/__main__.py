"""Compare crash limits at which a request is quarantined."""

import dataclasses
import sys
from collections import Counter

from measure.quarantine_model.model import CrashModel
from measure.quarantine_model.scenario import Scenario

_SEEDS = range(20)
_CRASH_LIMITS = (0, 1, 2, 3)
_PART_CRASH_LIMITS = (0, 2, 3, 4)
_COLUMNS = (
    'crashes',
    'harmful runs',
    'served',
    'lost in crashes',
    'refused',
    'no engine',
)
_PART_COLUMNS = (
    'crashes',
    'part crashes',
    'late part runs',
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
_PROMPTS = Scenario(harmful=0, templates=3, documents=40, harmful_from_s=15)
_LARGE = dataclasses.replace(
    _PROMPTS, gateways=68, engines=59, requests_per_s=143, length_s=30
)
_PART_SCENARIOS = {
    'one part': dataclasses.replace(_PROMPTS, harmful_parts=1),
    'one part, from the start': dataclasses.replace(
        _PROMPTS, harmful_parts=1, harmful_from_s=0
    ),
    'one part, often': dataclasses.replace(
        _PROMPTS, harmful_parts=1, harmful_part_per_s=8
    ),
    'one part, random crashes': dataclasses.replace(
        _PROMPTS, harmful_parts=1, crashes_per_s=0.2
    ),
    'two parts': dataclasses.replace(_PROMPTS, harmful_parts=2),
    'three requests': dataclasses.replace(_PROMPTS, harmful=3),
    'three requests, from the start': dataclasses.replace(
        _PROMPTS, harmful=3, harmful_from_s=0
    ),
    'none, random crashes': dataclasses.replace(_PROMPTS, crashes_per_s=0.5),
    'none, outages': dataclasses.replace(_PROMPTS, outages_per_s=0.2),
    'none, outages of all': dataclasses.replace(
        _PROMPTS, outages_per_s=0.2, outage_share=1
    ),
    'one part, 68 gateways': dataclasses.replace(_LARGE, harmful_parts=1),
    'outages, 68 gateways': dataclasses.replace(_LARGE, outages_per_s=0.2),
}


def main() -> None:
    """Print the mean counts for each scenario and crash limit."""
    _print_scenarios(_SCENARIOS, _CRASH_LIMITS, 'crash_limit', _COLUMNS)
    _print_scenarios(
        _PART_SCENARIOS,
        _PART_CRASH_LIMITS,
        'part_crash_limit',
        _PART_COLUMNS,
    )


def _print_scenarios(
    scenarios: dict[str, Scenario],
    limits: tuple[int, ...],
    limit_name: str,
    columns: tuple[str, ...],
) -> None:
    write = sys.stdout.write
    write(f'{"scenario":34}{limit_name:>18}')
    write(''.join(f'{name:>17}' for name in columns) + '\n')
    for name, scenario in scenarios.items():
        for limit in limits:
            counts = _run_scenario(
                dataclasses.replace(scenario, **{limit_name: limit}), columns
            )
            write(f'{name:34}{limit or "none":>18}')
            write(''.join(f'{counts[key]:17.1f}' for key in columns) + '\n')


def _run_scenario(
    scenario: Scenario, columns: tuple[str, ...]
) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for seed in _SEEDS:
        totals.update(CrashModel(scenario=scenario, seed=seed).play())
    return {key: totals[key] / len(_SEEDS) for key in columns}


if __name__ == '__main__':
    main()
