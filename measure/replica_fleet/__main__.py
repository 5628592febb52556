"""Compare ways to follow the store: `python -m measure.replica_fleet`."""

from dataclasses import replace

from measure.replica_fleet.fleet import play
from measure.replica_fleet.fleet_plan import FleetPlan, Trouble
from measure.replica_fleet.troubles import PATTERNS

_SIZES = (4, 25, 68, 300)
_SOURCES = ('none', 'domains', 'hosts')
_CHANGES_MS = tuple(range(4000, 14_000, 617))
_END_MS = 18_000


def _find_others(plan: FleetPlan) -> list[int]:
    """Return the gateways that no trouble befalls."""
    befallen = frozenset().union(*(one.gateways for one in plan.troubles))
    return [one for one in range(plan.gateways) if one not in befallen]


def _clip(trouble: Trouble, gateways: int) -> Trouble:
    """Leave at least one gateway in peace."""
    kept = frozenset(one for one in trouble.gateways if one < gateways - 1)
    return replace(trouble, gateways=kept)


def main() -> None:
    """Print calls a second and the longest time until a change is seen."""
    print('pattern', 'gateways', 'asked', 'calls/s', 'worst ms', 'asked/s')
    for name, changes in PATTERNS.items():
        for gateways in _SIZES:
            for sources in _SOURCES:
                plan = FleetPlan(
                    gateways=gateways,
                    sources=sources,
                    changes_ms=_CHANGES_MS,
                    end_ms=_END_MS,
                )
                plan = replace(plan, **changes)
                troubles = (_clip(one, gateways) for one in plan.troubles)
                plan = replace(plan, troubles=tuple(troubles))
                outcome = play(plan)
                print(
                    name,
                    gateways,
                    sources,
                    round(outcome.calls_per_s, 1),
                    round(outcome.find_worst_ms(_find_others(plan))),
                    round(outcome.busiest_asked_per_s),
                    flush=True,
                )


if __name__ == '__main__':
    main()
