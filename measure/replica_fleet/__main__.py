"""Compare sources of store updates: `python -m measure.replica_fleet`."""

from dataclasses import replace

from measure.replica_fleet.fleet import play
from measure.replica_fleet.fleet_plan import FleetPlan, Trouble
from measure.replica_fleet.troubles import PATTERNS

_FLEET_SIZES = (4, 25, 68, 300)
_SOURCES = ('none', 'domains', 'hosts')
_CHANGES_MS = tuple(range(4000, 14_000, 617))
_END_MS = 18_000


def _find_unaffected_gateways(plan: FleetPlan) -> list[int]:
    """Return the gateways without any injected fault."""
    faulty = frozenset().union(*(one.gateways for one in plan.troubles))
    return [one for one in range(plan.gateways) if one not in faulty]


def _spare_last_gateway(trouble: Trouble, gateways: int) -> Trouble:
    """Exclude the last gateway so that at least one has no fault."""
    affected = frozenset(
        number for number in trouble.gateways if number < gateways - 1
    )
    return replace(trouble, gateways=affected)


def main() -> None:
    """Print store calls per second and the longest propagation delay."""
    print('pattern', 'gateways', 'asked', 'calls/s', 'worst ms', 'asked/s')
    for name, changes in PATTERNS.items():
        for gateways in _FLEET_SIZES:
            for sources in _SOURCES:
                plan = FleetPlan(
                    gateways=gateways,
                    sources=sources,
                    changes_ms=_CHANGES_MS,
                    end_ms=_END_MS,
                )
                plan = replace(plan, **changes)
                troubles = (
                    _spare_last_gateway(trouble, gateways)
                    for trouble in plan.troubles
                )
                plan = replace(plan, troubles=tuple(troubles))
                outcome = play(plan)
                print(
                    name,
                    gateways,
                    sources,
                    round(outcome.calls_per_s, 1),
                    round(
                        outcome.find_worst_ms(_find_unaffected_gateways(plan))
                    ),
                    round(outcome.max_queries_per_s),
                    flush=True,
                )


if __name__ == '__main__':
    main()
