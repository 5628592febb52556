"""Define the simulated patterns of load and faults."""

from measure.fleet_model.load_sheet import (
    Burst,
    GatewayFault,
    LoadSheet,
    LostInstance,
    Pattern,
    SlowInstance,
)

# Duration of a simulated day, the same as in the users' benchmark.
DAY_DURATION_MS = 34_000
# The users' benchmark has bursts of 1.5 to 2.5 times the rate of a kind for 4
# to 7 s, instances that are five times as slow for 4 to 6 s, and instances that
# are removed permanently.
_BURST_DURATION_MS = 6_000
_FAULT_DURATION_MS = 6_000
_BURST_FACTOR = 2.3
_ALL_KINDS_BURST_FACTOR = 1.6
_SLOW_FACTOR = 5.0
_FIRST_BURST_MS = 5_000
_SECOND_BURST_MS = 16_000
_LAST_BURST_MS = 26_000
_FAULT_START_MS = 11_000
# Time until killed processes have restarted and loaded their state.
_RESTART_DURATION_MS = 1_500


def make_patterns(sheet: LoadSheet) -> dict[str, Pattern]:
    """
    Return the patterns for a deployment.

    Parameters
    ----------
    sheet : LoadSheet
        Deployment whose kinds have bursts and whose pools have faults.

    Returns
    -------
    dict
        Patterns by name.
    """
    by_worth = sorted(
        sheet.kinds,
        key=lambda name: -sheet.kinds[name].worth,
    )
    bursts = (
        _make_burst(by_worth[0], _FIRST_BURST_MS, _BURST_FACTOR),
        _make_burst(by_worth[1], _SECOND_BURST_MS, _BURST_FACTOR),
        _make_burst('', _LAST_BURST_MS, _ALL_KINDS_BURST_FACTOR),
    )
    pools = list(sheet.pools)
    patterns = [
        Pattern(name='calm'),
        Pattern(name='bursts', bursts=bursts),
        *(
            Pattern(
                name=f'lost-{pool}',
                bursts=bursts,
                lost=(_make_lost_instance(pool),),
            )
            for pool in pools
        ),
        *(
            Pattern(
                name=f'slow-{pool}',
                bursts=bursts,
                slow=(_make_slow_instance(pool),),
            )
            for pool in pools
        ),
        *(
            Pattern(
                name=f'host-{kind}',
                bursts=bursts,
                gateway_fault=GatewayFault(
                    kind=kind,
                    start_ms=_FIRST_BURST_MS + _BURST_DURATION_MS / 2,
                    end_ms=_FIRST_BURST_MS
                    + _BURST_DURATION_MS / 2
                    + _FAULT_DURATION_MS,
                ),
            )
            for kind in ('kill', 'freeze', 'cut')
        ),
        Pattern(
            name='all-killed',
            bursts=bursts,
            all_killed=GatewayFault(
                kind='kill',
                start_ms=_SECOND_BURST_MS + _BURST_DURATION_MS / 2,
                end_ms=_SECOND_BURST_MS
                + _BURST_DURATION_MS / 2
                + _RESTART_DURATION_MS,
            ),
        ),
    ]
    return {pattern.name: pattern for pattern in patterns}


def _make_burst(kind: str, start_ms: float, factor: float) -> Burst:
    return Burst(
        kind=kind,
        start_ms=start_ms,
        end_ms=start_ms + _BURST_DURATION_MS,
        factor=factor,
    )


def _make_lost_instance(pool: str) -> LostInstance:
    return LostInstance(
        pool=pool,
        number=0,
        start_ms=_FAULT_START_MS,
        end_ms=DAY_DURATION_MS,
    )


def _make_slow_instance(pool: str) -> SlowInstance:
    return SlowInstance(
        pool=pool,
        number=0,
        start_ms=_FAULT_START_MS,
        end_ms=_FAULT_START_MS + _FAULT_DURATION_MS,
        factor=_SLOW_FACTOR,
    )
